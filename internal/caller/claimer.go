package caller

import (
	"context"
	"fmt"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

const (
	maxClaimBatch = 256
	claimQueue    = 1024
)

// proposer puts commands on the log.
type proposer interface {
	Propose(context.Context, registrar.Command) (registrar.Answer, error)
}

// Claimer carries steps of requests that must not run twice to the log, many in one command. A step whose outcome
// is not known is proposed again; steps are made so that a second time changes nothing.
type Claimer struct {
	log   proposer
	queue chan pendingStep
}

type pendingStep struct {
	ctx  context.Context
	step registrar.RequestStep
	done chan registrar.RequestView
}

// NewClaimer returns a claimer; Run starts it.
func NewClaimer(log proposer) *Claimer {
	return &Claimer{log: log, queue: make(chan pendingStep, claimQueue)}
}

// Step carries out one step and returns the request as it then is.
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

// Run proposes batches until ctx ends. Several are in progress at once, so that one slow commit holds up nothing.
func (c *Claimer) Run(ctx context.Context) error {
	const inProgress = 8
	slots := make(chan struct{}, inProgress)
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			batch := c.gather(first)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				c.propose(ctx, batch)
			}()
		}
	}
}

func (c *Claimer) gather(first pendingStep) []pendingStep {
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
		batch = living(batch)
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

// living drops steps whose caller no longer waits.
func living(batch []pendingStep) []pendingStep {
	var kept []pendingStep
	for _, p := range batch {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}
