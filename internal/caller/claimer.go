package caller

import (
	"context"
	"fmt"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

const (
	maxClaimBatch  = 256
	claimQueueSize = 1024
)

// proposer proposes commands to the replicated log.
type proposer interface {
	Propose(context.Context, registrar.Command) (registrar.Answer, error)
}

// Claimer commits steps of requests that must not run twice to the replicated log, many in one command. It proposes
// a step again if the outcome of the proposal is unknown, which is safe since steps are idempotent.
type Claimer struct {
	log   proposer
	queue chan pendingStep
}

type pendingStep struct {
	ctx  context.Context
	step registrar.RequestStep
	done chan registrar.RequestView
}

// NewClaimer returns a claimer that proposes to log. Steps make progress only while Run runs.
func NewClaimer(log proposer) *Claimer {
	return &Claimer{log: log, queue: make(chan pendingStep, claimQueueSize)}
}

// Step commits one step and returns the request after it. With an error, which is that of ctx, the step may still be
// committed later.
func (c *Claimer) Step(ctx context.Context, step registrar.RequestStep) (registrar.RequestView, error) {
	p := pendingStep{ctx, step, make(chan registrar.RequestView, 1)}
	select {
	case c.queue <- p:
	case <-ctx.Done():
		return registrar.RequestView{}, fmt.Errorf("wait to record request: %w", ctx.Err())
	}
	select {
	case v := <-p.done:
		return v, nil
	case <-ctx.Done():
		return registrar.RequestView{}, fmt.Errorf("record request: %w", ctx.Err())
	}
}

// Run proposes batches until ctx ends. Several are in flight at once, so that a slow commit does not delay others.
func (c *Claimer) Run(ctx context.Context) error {
	const maxInFlight = 8
	slots := make(chan struct{}, maxInFlight)
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			batch := c.collectBatch(first)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				c.propose(ctx, batch)
			}()
		}
	}
}

func (c *Claimer) collectBatch(first pendingStep) []pendingStep {
	batch := []pendingStep{first}
	for len(batch) < maxClaimBatch {
		select {
		case p := <-c.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (c *Claimer) propose(ctx context.Context, batch []pendingStep) {
	for ctx.Err() == nil {
		batch = dropCanceled(batch)
		if len(batch) == 0 {
			return
		}
		command := registrar.Command{}
		for _, p := range batch {
			command.Requests = append(command.Requests, p.step)
		}
		answer, err := c.log.Propose(ctx, command)
		if err != nil || len(answer.Requests) != len(batch) {
			continue
		}
		for i, p := range batch {
			p.done <- answer.Requests[i]
		}
		return
	}
}

// dropCanceled returns the steps whose context has not ended.
func dropCanceled(batch []pendingStep) []pendingStep {
	var kept []pendingStep
	for _, p := range batch {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}
