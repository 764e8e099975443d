package coordinator

import (
	"context"
	"sync"
)

// confirmer batches quorum confirmations: the calls that wait for one share a round. A call joins the next round, never
// one that started before the call.
type confirmer struct {
	read func(context.Context) (uint64, error)

	mu      sync.Mutex
	running bool
	next    *round
}

type round struct {
	done chan struct{}
	err  error
}

func (c *confirmer) confirm(ctx context.Context) error {
	r := c.joinNextRound()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *confirmer) joinNextRound() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	r := c.next
	if !c.running {
		c.running = true
		c.startRound()
	}
	return r
}

// startRound starts the next round. The caller holds mu. The goroutine ends when no more calls wait.
func (c *confirmer) startRound() {
	r := c.next
	c.next = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		_, r.err = c.read(ctx)
		close(r.done)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.next == nil {
			c.running = false
			return
		}
		c.startRound()
	}()
}
