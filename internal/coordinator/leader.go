package coordinator

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/planner"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// planInterval is the longest pause between two rounds of planning while this replica leads.
	planInterval = 250 * time.Millisecond
	// proposeTimeout bounds one round of the leader's own proposals, and one request to join.
	proposeTimeout = 2 * time.Second
	// agentTimeout is how long an agent may be silent before its worker gets no new runs: two watches and a margin.
	agentTimeout = 2*WatchTimeout + 300
	// endedJobRetention is how long ended jobs are kept for queries. The platform's pages require two minutes.
	endedJobRetention = 10 * timekeeper.Minute
)

// Lead plans runs and detaches lost workers while this replica leads, until ctx ends.
func (c *Coordinator) Lead(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		changed := c.node.Changed()
		c.term = c.updateTerm(c.term)
		if c.term != 0 {
			c.step(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// updateTerm returns the term that this replica leads, or zero. It logs a change from leading, the previous result, and
// resets the leases and the waits of jobs in a new term.
func (c *Coordinator) updateTerm(leading uint64) uint64 {
	status := c.node.Status()
	if status.Role != replicator.Leader {
		if leading != 0 {
			c.dropWaits()
			c.resetStarts()
			c.log.Log(logger.LeadershipEnded, logger.F("term", leading), logger.F("now", status.Term))
		}
		return 0
	}
	if status.Term != leading {
		c.leases.reset(c.clock.Now())
		c.resetStarts()
		c.dropWaits()
		c.log.Log(logger.LeadershipAcquired, logger.F("term", status.Term), logger.F("commit", status.CommitIndex), logger.F("members", len(status.Members.Members)))
	}
	return status.Term
}

// step makes the leader's decisions that are due now.
func (c *Coordinator) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if c.confirm(ctx) != nil {
		return
	}
	c.detachExpired(ctx)
	c.withdrawUnsent(ctx)
	c.plan(ctx)
	c.dropEndedJobs(ctx)
}

// dropEndedJobs drops jobs that ended more than endedJobRetention ago. It does so at most once in that time.
func (c *Coordinator) dropEndedJobs(ctx context.Context) {
	if now := c.clock.Now(); now-c.jobsDroppedAt > endedJobRetention {
		c.jobsDroppedAt = now
		state := c.machine.State()
		c.submissions.settleKnown(func(id modeler.JobID) bool { _, known := state.Job(id); return known })
		command := tracker.Command{Prune: &tracker.Prune{Before: c.wall.Now() - endedJobRetention}}
		if _, err := c.propose(ctx, command); err != nil {
			c.log.Log(logger.ProposalFailed, logger.F("error", err)) // the jobs are dropped next time
		}
	}
}

// detachExpired detaches the workers whose leases have ended.
func (c *Coordinator) detachExpired(ctx context.Context) {
	for _, w := range c.machine.State().Workers() {
		if w.Detached || !c.leases.expire(w.Name, w.Epoch, c.clock.Now()) {
			continue
		}
		if err := c.detach(ctx, w.Name, w.Epoch, "its lease has ended"); err != nil {
			c.log.Log(logger.ProposalFailed, logger.F("worker", w.Name), logger.F("error", err))
		}
	}
}

// withdrawUnsent ends the assigned runs for which no agent has asked, so that they start elsewhere. It does so only in
// the term in which they were assigned: another leader may have sent them.
func (c *Coordinator) withdrawUnsent(ctx context.Context) {
	state := c.machine.State()
	for worker, runs := range c.starts.withdraw(state, c.clock.Now()) {
		w, _ := state.Worker(worker)
		report := tracker.Report{Worker: worker, Epoch: w.Epoch, At: c.wall.Now()}
		for _, key := range runs {
			report.Ends = append(report.Ends, tracker.End{Run: key, Kind: tracker.EndLost})
		}
		answer, err := c.proposeInTerm(ctx, c.term, tracker.Command{Report: &report})
		if err != nil {
			c.log.Log(logger.ProposalFailed, logger.F("worker", worker), logger.F("error", err)) // the next step retries
			continue
		}
		for _, key := range runs {
			c.log.Log(logger.RunWithdrawn, logger.F("job", string(key.Task.Job)), logger.F("run", key.String()), logger.F("worker", worker), logger.F("index", answer.Index))
			c.meter.Count("runs_ended", "", worker, "withdrawn")
		}
	}
}

func (c *Coordinator) plan(ctx context.Context) {
	started := time.Now()
	now := c.clock.Now()
	state := c.machine.State()
	in := c.observer.plannerInput(state, now)
	in.Now, in.Unresponsive, in.Standing = c.wall.Now(), c.unresponsiveWorkers(state, now), c.waits.standing(now)
	decision := planner.Decide(in)
	plan := decision.Assign
	c.meter.Observe("plan_time", "", "", time.Since(started))
	c.waits.record(now, decision.Waits, plan.Starts)
	c.publishWaits(in, plan.Starts, now)
	c.publishLateRuns(state, now)
	if len(plan.Starts) == 0 && len(plan.Stops) == 0 {
		return
	}
	c.starts.assign(plan.Starts, now)
	answer, err := c.propose(ctx, tracker.Command{Assign: &plan})
	if err != nil {
		c.log.Log(logger.ProposalFailed, logger.F("starts", len(plan.Starts)), logger.F("stops", len(plan.Stops)), logger.F("error", err))
		return
	}
	c.logPlan(in, plan, answer.Index)
}

func (c *Coordinator) unresponsiveWorkers(state tracker.State, now timekeeper.Millis) map[string]bool {
	unresponsive := map[string]bool{}
	for _, w := range state.Workers() {
		if !w.Detached && (c.leases.silent(w.Name, now, agentTimeout) || c.starts.agentAbsent(w.Name)) {
			unresponsive[w.Name] = true
		}
	}
	return unresponsive
}

// logPlan logs a committed plan and records the stuck runs that it stops against their workers. It skips starts that no
// longer fitted when the plan was applied.
func (c *Coordinator) logPlan(in planner.Input, plan tracker.Assign, index uint64) {
	after := c.machine.State()
	for _, s := range plan.Starts {
		if !wasAssigned(after, s.Run) {
			continue
		}
		fields := []logger.Field{
			logger.F("job", string(s.Run.Task.Job)), logger.F("run", s.Run.String()),
			logger.F("worker", s.Worker), logger.F("epoch", s.Epoch), logger.F("resumes", s.Checkpoint != ""),
			logger.F("state", in.State.Index), logger.F("index", index),
		}
		c.log.Log(logger.RunAssigned, append(fields, c.endWait(after, s.Run.Task.Job)...)...)
	}
	for _, key := range plan.Stops {
		p := in.Progress[key]
		if p.Stalled {
			c.observer.recordStall(key)
		}
		if p.Stalled || p.Slow {
			c.recordStuckRun(in.State, key)
		}
		c.log.Log(logger.RunStopping, logger.F("job", string(key.Task.Job)), logger.F("run", key.String()),
			logger.F("reason", stopReason(in, key)), logger.F("percent", p.Percent), logger.F("running", p.Elapsed),
			logger.F("state", in.State.Index), logger.F("index", index))
	}
}

// wasAssigned reports whether a run was assigned, even if it has ended since.
func wasAssigned(s tracker.State, run tracker.RunKey) bool {
	j, ok := s.Job(run.Task.Job)
	if !ok {
		return false
	}
	t, ok := j.Task(run.Task)
	return ok && t.Attempt >= run.Attempt
}

// stopReason returns why a plan stops a run.
func stopReason(in planner.Input, key tracker.RunKey) string {
	if p := in.Progress[key]; p.Stalled || p.Slow {
		return "no progress"
	}
	if j, ok := in.State.Job(key.Task.Job); ok {
		t, _ := j.Task(key.Task)
		if w, _ := in.State.Worker(t.Worker); w.Draining {
			return "worker leaves"
		}
	}
	return "room"
}

func (c *Coordinator) recordStuckRun(s tracker.State, key tracker.RunKey) {
	if j, ok := s.Job(key.Task.Job); ok {
		t, _ := j.Task(key.Task)
		c.recordBadRun(t.Worker, result{}, "run without progress")
	}
}
