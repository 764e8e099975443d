package caller

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

const (
	recordTimeout       = 5 * time.Second
	recordRetryInterval = 200 * time.Millisecond
	recordQueueSize     = 10_000
	// maxClaimDelay exceeds the longest time between the proposal of a claim and its commit.
	maxClaimDelay = 10 * time.Second
)

// outcomeRecorder commits the outcomes of claimed requests to the replicated log. It retries in the background those
// that fail, until the process ends; the remaining claims are then orphaned, and the next resend of the request fences
// the attempt at its agent.
type outcomeRecorder struct {
	claimer *Claimer
	queue   chan registrar.RequestStep
}

func newOutcomeRecorder(c *Claimer) *outcomeRecorder {
	return &outcomeRecorder{claimer: c, queue: make(chan registrar.RequestStep, recordQueueSize)}
}

// record commits an outcome, or queues it for retry if that fails within recordTimeout.
func (s *outcomeRecorder) record(step registrar.RequestStep) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := s.claimer.Step(ctx, step); err != nil {
		s.enqueue(step)
	}
}

// enqueue queues an outcome for the background. It drops the outcome if the queue is full.
func (s *outcomeRecorder) enqueue(step registrar.RequestStep) {
	select {
	case s.queue <- step:
	default:
	}
}

func (s *outcomeRecorder) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case step := <-s.queue:
			s.recordWithRetry(ctx, step)
		}
	}
}

// recordWithRetry retries until an outcome is committed. The outcome of a claim whose commit is uncertain may be
// committed before the claim, and then has no effect: it is retried until the claim is seen or maxClaimDelay has passed.
func (s *outcomeRecorder) recordWithRetry(ctx context.Context, step registrar.RequestStep) {
	deadline := time.Now().Add(maxClaimDelay)
	for ctx.Err() == nil {
		view, err := s.tryRecord(ctx, step)
		claimPending := step.Attempt == 0 && !view.Granted && view.Request.Nonce != step.Nonce && time.Now().Before(deadline)
		if err == nil && !claimPending {
			return
		}
		sleep(ctx, recordRetryInterval)
	}
}

func (s *outcomeRecorder) tryRecord(ctx context.Context, step registrar.RequestStep) (registrar.RequestView, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return s.claimer.Step(ctx, step)
}
