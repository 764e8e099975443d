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
		return c.refuse(r, lastSegment(r.Address.Path), CallResponse{Outcome: outcome}), nil
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
		return c.refuse(r, id, CallResponse{Outcome: OutcomeInvalid, Reason: err.Error()}), nil
	}
	if refusal := admit(state, q, j); refusal != nil {
		return c.refuse(r, id, *refusal), nil
	}
	if !c.node.HasRoom() {
		return c.refuse(r, id, CallResponse{Outcome: OutcomeRefused, Reason: noRoom, RetryAfter: noRoomRetryAfter}), nil
	}
	return c.accept(ctx, q, j), nil
}

// lastSegment returns the part of a path after its last slash, which names the job if the queue is not known.
func lastSegment(path string) modeler.JobID {
	return modeler.JobID(path[strings.LastIndexByte(path, '/')+1:])
}

// refuse returns the refusal of a submission, unless an earlier attempt may have been taken. Then the job may run, and
// the reply says that its outcome is undecided.
func (c *Coordinator) refuse(r *SubmitRequest, id modeler.JobID, refusal CallResponse) *CallResponse {
	if r.Resent || c.maybeTaken(id) {
		return c.undecided(r.Address.Path, refusal.Outcome)
	}
	refusal.Reply = c.reply()
	c.log.Log(logger.JobRefused, logger.F("path", r.Address.Path), logger.F("outcome", int(refusal.Outcome)), logger.F("reason", refusal.Reason),
		logger.F("configuration", c.machine.State().Configuration.Version), logger.F("retry-after", refusal.RetryAfter))
	return &refusal
}

// maybeTaken reports whether the state holds the job or a proposal of it may still be committed.
func (c *Coordinator) maybeTaken(id modeler.JobID) bool {
	_, known := c.machine.State().Job(id)
	return known || c.submissions.open(c.node.Status().Term, id)
}

// undecided answers a call that can neither be accepted nor truthfully be refused.
func (c *Coordinator) undecided(path string, refusal Outcome) *CallResponse {
	c.log.Log(logger.RefusalWithheld, logger.F("path", path), logger.F("outcome", int(refusal)),
		logger.F("configuration", c.machine.State().Configuration.Version))
	reply := c.notLeader()
	reply.Status.Uncertain, reply.Status.Undecided = true, true
	return &CallResponse{Reply: reply}
}

func (c *Coordinator) accept(ctx context.Context, q modeler.Queue, j modeler.Job) *CallResponse {
	term := c.node.Status().Term
	c.submissions.begin(term, j.ID)
	answer, err := c.propose(ctx, tracker.Command{Submit: &j})
	if !errors.Is(err, replicator.ErrUncertain) {
		c.submissions.settle(term, j.ID)
	}
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
	if outcome != OutcomeOK && r.Kind == CallCancel && r.Resent {
		return c.undecided(r.Address.Path, outcome), nil
	}
	if outcome != OutcomeOK {
		return &CallResponse{Reply: c.reply(), Outcome: outcome}, nil
	}
	id := modeler.JobID(strings.TrimPrefix(r.Address.Path, q.Prefix))
	if id == "" {
		return &CallResponse{Reply: c.reply(), Outcome: OutcomeOK, Count: c.observer.pending(state, q.Name), IsCount: true}, nil
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
	if r.Configuration.Version > current && !c.node.HasRoom() {
		return &ConfigurationResponse{Reply: c.reply(), Outcome: OutcomeRefused, Reason: noRoom}, nil
	}
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
