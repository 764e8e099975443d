package distributor

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
)

// mailbox keeps only the latest message of each kind for one agent. A slow agent thus uses bounded memory and receives
// the current state, without the earlier ones. mu guards pending.
type mailbox struct {
	mu      sync.Mutex
	pending attacher.EntryMessage
	ready   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (m *mailbox) set(assignments *attacher.Assignments, config *attacher.Config) {
	m.update(func(pending *attacher.EntryMessage) {
		if assignments != nil {
			pending.Assignments = assignments
		}
		if config != nil {
			pending.Config = config
		}
	})
}

func (m *mailbox) setGrant(g *attacher.Grant) {
	m.update(func(pending *attacher.EntryMessage) { pending.Grant = g })
}

func (m *mailbox) setReattach() {
	m.update(func(pending *attacher.EntryMessage) { pending.Reattach = true })
}

func (m *mailbox) update(change func(*attacher.EntryMessage)) {
	m.mu.Lock()
	change(&m.pending)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// drain returns the pending message and clears it.
func (m *mailbox) drain() attacher.EntryMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	message := m.pending
	m.pending = attacher.EntryMessage{}
	return message
}

// run sends pending messages until ctx ends or the stream fails.
func (m *mailbox) run(ctx context.Context, stream grpc.ServerStream) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.ready:
		}
		message := m.drain()
		if err := stream.SendMsg(&message); err != nil {
			return fmt.Errorf("send to agent: %w", err)
		}
	}
}
