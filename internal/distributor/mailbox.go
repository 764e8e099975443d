package distributor

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/liaison"
)

// mailbox keeps the newest of each kind of message for one agent, so that a slow agent costs no memory and learns
// the present state, not the past ones. mu guards what waits.
type mailbox struct {
	mu      sync.Mutex
	waiting liaison.EntryMessage
	ready   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (m *mailbox) put(orders *liaison.Orders, config *liaison.Config) {
	m.update(func(w *liaison.EntryMessage) {
		if orders != nil {
			w.Orders = orders
		}
		if config != nil {
			w.Config = config
		}
	})
}

func (m *mailbox) grant(g *liaison.Grant) {
	m.update(func(w *liaison.EntryMessage) { w.Grant = g })
}

func (m *mailbox) leave() {
	m.update(func(w *liaison.EntryMessage) { w.Leave = true })
}

func (m *mailbox) update(change func(*liaison.EntryMessage)) {
	m.mu.Lock()
	change(&m.waiting)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

func (m *mailbox) take() liaison.EntryMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.waiting
	m.waiting = liaison.EntryMessage{}
	return taken
}

// run sends what waits until ctx ends or the stream fails.
func (m *mailbox) run(ctx context.Context, stream grpc.ServerStream) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.ready:
		}
		message := m.take()
		if err := stream.SendMsg(&message); err != nil {
			return fmt.Errorf("send to agent: %w", err)
		}
	}
}
