package coordinator

import (
	"context"
	"errors"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// resolveAddress returns the queue that an address routes to and the workspace of its key.
func resolveAddress(c modeler.Configuration, a Address) (modeler.Queue, modeler.Workspace, Outcome) {
	if c.Version == 0 {
		return modeler.Queue{}, modeler.Workspace{}, OutcomeUnconfigured
	}
	q, ok := c.Route(a.Host, a.Path)
	if !ok {
		return q, modeler.Workspace{}, OutcomeNoQueue
	}
	w, ok := c.WorkspaceByKey(a.Key)
	if !ok && !q.Public {
		return q, w, OutcomeUnauthorized
	}
	return q, w, OutcomeOK
}

func (c *Coordinator) submit(ctx context.Context, r *SubmitRequest) (*CallResponse, error) {
	if c.confirm(ctx) != nil {
		return &CallResponse{Reply: c.notLeader()}, nil
	}
	state := c.machine.State()
	q, w, outcome := resolveAddress(state.Configuration, r.Address)
	if outcome != OutcomeOK {
		return c.refuse(r.Address, CallResponse{Outcome: outcome}), nil
	}
	id := modeler.JobID(strings.TrimPrefix(r.Address.Path, q.Prefix))
	if _, known := state.Job(id); known {
		return &CallResponse{Reply: c.reply(), Outcome: OutcomeOK}, nil
	}
	j := modeler.Job{
		ID: id, Queue: q.Name, Workspace: w.Name, Payload: r.Payload, Steps: r.Steps, Submitted: c.wall.Now(),
		Repeat: r.Repeat, StartAt: r.StartAt, Period: r.Period,
	}
	if err := j.Check(); err != nil {
		return c.refuse(r.Address, CallResponse{Outcome: OutcomeInvalid, Reason: err.Error()}), nil
	}
	if refusal := admit(state, q, j); refusal != nil {
		return c.refuse(r.Address, *refusal), nil
	}
	return c.accept(ctx, q, j), nil
}

func (c *Coordinator) refuse(a Address, r CallResponse) *CallResponse {
	r.Reply = c.reply()
	c.log.Log(logger.JobRefused, logger.F("path", a.Path), logger.F("outcome", int(r.Outcome)), logger.F("reason", r.Reason),
		logger.F("configuration", c.machine.State().Configuration.Version), logger.F("retry-after", r.RetryAfter))
	return &r
}

func (c *Coordinator) accept(ctx context.Context, q modeler.Queue, j modeler.Job) *CallResponse {
	answer, err := c.propose(ctx, tracker.Command{Submit: &j})
	if err != nil {
		return c.proposalFailure(j.ID, err)
	}
	c.log.Log(logger.JobAccepted, logger.F("job", string(j.ID)), logger.F("queue", q.Name), logger.F("workspace", j.Workspace),
		logger.F("steps", len(j.Steps)), logger.F("shape", j.Shape()), logger.F("accelerators", j.Accelerators()), logger.F("chain", j.CriticalPath(c.machine.State().TotalCapacity(q.Service))),
		logger.F("priority", q.Priority), logger.F("index", answer.Index))
	c.meter.Count("jobs_accepted", j.Workspace, q.Name, "accepted")
	return &CallResponse{Reply: c.reply(), Outcome: OutcomeOK}
}

// proposalFailure answers a call whose proposal failed. If the proposal was never appended to the log, the caller may
// send it to the next leader at once. Otherwise the reply says that the outcome is uncertain.
func (c *Coordinator) proposalFailure(id modeler.JobID, err error) *CallResponse {
	if errors.Is(err, replicator.ErrNotLeader) {
		return &CallResponse{Reply: c.notLeader()}
	}
	c.log.Log(logger.CommitUncertain, logger.F("job", string(id)), logger.F("error", err))
	reply := c.notLeader()
	reply.Status.Uncertain = true
	return &CallResponse{Reply: reply}
}

func (c *Coordinator) call(ctx context.Context, r *CallRequest) (*CallResponse, error) {
	if c.confirm(ctx) != nil {
		return &CallResponse{Reply: c.notLeader()}, nil
	}
	state := c.machine.State()
	q, _, outcome := resolveAddress(state.Configuration, r.Address)
	if outcome != OutcomeOK {
		return &CallResponse{Reply: c.reply(), Outcome: outcome}, nil
	}
	id := modeler.JobID(strings.TrimPrefix(r.Address.Path, q.Prefix))
	if id == "" {
		return &CallResponse{Reply: c.reply(), Outcome: OutcomeOK, Count: state.QueuedCount(q.Name), IsCount: true}, nil
	}
	if r.Kind == CallCancel {
		return c.cancel(ctx, state, id), nil
	}
	j, ok := state.Job(id)
	if !ok {
		return &CallResponse{Reply: c.reply(), Outcome: OutcomeUnknownJob}, nil
	}
	return &CallResponse{Reply: c.reply(), Outcome: OutcomeOK, Phase: j.Phase}, nil
}

func (c *Coordinator) cancel(ctx context.Context, state tracker.State, id modeler.JobID) *CallResponse {
	j, ok := state.Job(id)
	if !ok {
		return &CallResponse{Reply: c.reply(), Outcome: OutcomeUnknownJob}
	}
	if j.Phase.Ended() {
		return &CallResponse{Reply: c.reply(), Outcome: OutcomeOK, Phase: j.Phase}
	}
	answer, err := c.propose(ctx, tracker.Command{Cancel: &tracker.Cancel{Job: id, At: c.wall.Now()}})
	if err != nil {
		return c.proposalFailure(id, err)
	}
	c.log.Log(logger.JobCancelled, logger.F("job", string(id)), logger.F("phase", j.Phase.String()), logger.F("index", answer.Index))
	return &CallResponse{Reply: c.reply(), Outcome: OutcomeOK, Phase: tracker.JobCancelled}
}

func (c *Coordinator) configure(ctx context.Context, r *ConfigureRequest) (*ConfigurationResponse, error) {
	if c.confirm(ctx) != nil {
		return &ConfigurationResponse{Reply: c.notLeader()}, nil
	}
	if err := r.Configuration.Check(); err != nil {
		return &ConfigurationResponse{Reply: c.reply(), Outcome: OutcomeNotAcceptable}, nil
	}
	current := c.machine.State().Configuration.Version
	if r.Configuration.Version > current {
		if _, err := c.propose(ctx, tracker.Command{Configure: &r.Configuration}); err != nil {
			return &ConfigurationResponse{Reply: c.notLeader()}, nil
		}
	}
	c.log.Log(logger.ConfigurationAccepted, logger.F("version", r.Configuration.Version), logger.F("held", current))
	return &ConfigurationResponse{Reply: c.reply(), Outcome: OutcomeOK, Version: c.machine.State().Configuration.Version}, nil
}

func (c *Coordinator) read(ctx context.Context, _ *ReadRequest) (*ConfigurationResponse, error) {
	if c.confirm(ctx) != nil {
		return &ConfigurationResponse{Reply: c.notLeader()}, nil
	}
	current := c.machine.State().Configuration
	if current.Version == 0 {
		return &ConfigurationResponse{Reply: c.reply(), Outcome: OutcomeUnconfigured}, nil
	}
	return &ConfigurationResponse{Reply: c.reply(), Outcome: OutcomeOK, Version: current.Version, Source: current.Source}, nil
}
