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
	// claimBound exceeds the time in which a proposed claim may still be committed.
	claimBound = 10 * time.Second
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
			s.persist(ctx, step)
		}
	}
}

// persist tries until a step is recorded. The end of a claim that is not known may overtake the claim itself, which
// can still be committed: it is tried again until the claim is seen or cannot come any more.
func (s *settler) persist(ctx context.Context, step registrar.RequestStep) {
	deadline := time.Now().Add(claimBound)
	for ctx.Err() == nil {
		view, err := s.try(ctx, step)
		waits := step.Attempt == 0 && !view.Granted && view.Request.Nonce != step.Nonce && time.Now().Before(deadline)
		if err == nil && !waits {
			return
		}
		pause(ctx, settlePause)
	}
}

func (s *settler) try(ctx context.Context, step registrar.RequestStep) (registrar.RequestView, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.claimer.Step(ctx, step)
}
