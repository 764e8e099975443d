package caller

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

const (
	settleTimeout = 5 * time.Second
	settlePause   = 200 * time.Millisecond
	settleQueue   = 10_000
)

// settler records how claimed requests ended. What cannot be recorded at once is tried again for as long as the
// process lives; after that the claims are orphaned and the next resend asks the agent.
type settler struct {
	claimer *Claimer
	queue   chan registrar.RequestStep
}

func newSettler(c *Claimer) *settler {
	return &settler{claimer: c, queue: make(chan registrar.RequestStep, settleQueue)}
}

// settle records an end now, or queues it.
func (s *settler) settle(step registrar.RequestStep) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := s.claimer.Step(ctx, step); err != nil {
		s.later(step)
	}
}

// later queues an end.
func (s *settler) later(step registrar.RequestStep) {
	select {
	case s.queue <- step:
	default:
	}
}

func (s *settler) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case step := <-s.queue:
			for ctx.Err() == nil && !s.try(ctx, step) {
				pause(ctx, settlePause)
			}
		}
	}
}

func (s *settler) try(ctx context.Context, step registrar.RequestStep) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err := s.claimer.Step(ctx, step)
	return err == nil
}
