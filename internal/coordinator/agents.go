package coordinator

import (
	"context"
	"errors"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// WatchTimeout is the longest time for which a watch is held while nothing changes. It is a fraction of a lease, so
// that a lease is renewed several times before it ends.
const WatchTimeout timekeeper.Millis = 1000

// maxLoggedName bounds a name in the log that was refused, in bytes.
const maxLoggedName = 64

func (c *Coordinator) attach(ctx context.Context, r *AttachRequest) (*AttachResponse, error) {
	if c.confirm(ctx) != nil {
		return &AttachResponse{Reply: c.notLeader()}, nil
	}
	a := r.Attach
	if err := a.Check(); err != nil {
		name := a.Worker[:min(len(a.Worker), maxLoggedName)]
		c.log.Log(logger.WorkerAttached, logger.F("worker", name), logger.F("accepted", false), logger.F("error", err))
		return &AttachResponse{Reply: c.reply()}, nil
	}
	answer, err := c.propose(ctx, tracker.Command{Attach: &a})
	if err != nil {
		return &AttachResponse{Reply: c.notLeader()}, nil
	}
	c.leases.grant(a.Worker, answer.Epoch, c.clock.Now()) // the worker must not expire before the agent's first watch
	c.log.Log(logger.WorkerAttached, logger.F("worker", a.Worker), logger.F("runner", a.Incarnation.ID), logger.F("born", int(a.Incarnation.StartedAt)),
		logger.F("epoch", answer.Epoch), logger.F("accepted", answer.Code == tracker.Accepted), logger.F("zone", a.Profile.Zone),
		logger.F("rack", a.Profile.Rack()), logger.F("accelerators", a.Profile.Capacity.Accelerators), logger.F("index", answer.Index))
	return &AttachResponse{Reply: c.reply(), Accepted: answer.Code == tracker.Accepted, Epoch: answer.Epoch}, nil
}

// watch answers once the worker's runs differ from the version that the agent holds and none of them is withheld from it, or
// after WatchTimeout.
func (c *Coordinator) watch(ctx context.Context, r *WatchRequest) (*WatchResponse, error) {
	if c.confirm(ctx) != nil {
		return &WatchResponse{Reply: c.notLeader()}, nil
	}
	now := c.clock.Now()
	c.leases.recordCall(r.Worker, now, r.RunnerUnresponsive)
	c.observer.recordReports(now, r.Running)
	c.observer.recordBegun(r)
	c.recordStarts(r, now)
	if r.Draining {
		c.recordDraining(ctx, r, now)
	}
	wait, cancel := context.WithTimeout(ctx, WatchTimeout.Duration())
	defer cancel()
	if r.RunnerUnresponsive {
		c.waitForChange(wait, r, r.KnownVersion)
		return &WatchResponse{Reply: c.reply(), Version: r.KnownVersion}, nil
	}
	c.starts.watchBegins(r.Worker)
	defer func() { c.starts.watchEnds(r.Worker, c.clock.Now(), ctx.Err() != nil) }()
	c.waitForChange(wait, r, r.KnownVersion)
	response, withheld := c.answerWatch(ctx, r)
	if withheld != 0 {
		c.waitForChange(wait, r, withheld) // until the withdrawal is committed
		response, _ = c.answerWatch(ctx, r)
	}
	return response, nil
}

// answerWatch returns the worker's runs, and the version at which a run is withheld from the agent, or zero if none is.
func (c *Coordinator) answerWatch(ctx context.Context, r *WatchRequest) (response *WatchResponse, withheld uint64) {
	before := c.machine.State()
	if c.confirm(ctx) != nil {
		return &WatchResponse{Reply: c.notLeader()}, 0
	}
	return c.watchResponse(r, before, c.machine.State())
}

func (c *Coordinator) recordDraining(ctx context.Context, r *WatchRequest, now timekeeper.Millis) {
	c.observer.setLeaveTime(r.Worker, now+max(r.DrainTimeLeft, c.settings.MinDrainTime))
	w, ok := c.machine.State().Worker(r.Worker)
	if !ok || w.Draining || w.Epoch != r.Epoch {
		return
	}
	_, err := c.propose(ctx, tracker.Command{Drain: &tracker.Drain{Worker: r.Worker, Epoch: r.Epoch}})
	if err != nil {
		c.log.Log(logger.ProposalFailed, logger.F("worker", r.Worker), logger.F("error", err)) // the next watch retries
		return
	}
	c.log.Log(logger.WorkerDraining, logger.F("worker", r.Worker), logger.F("epoch", r.Epoch), logger.F("left", r.DrainTimeLeft))
}

// waitForChange waits until the worker's version is not the known one any more, another process controls the worker, this replica
// does not lead, or ctx ends.
func (c *Coordinator) waitForChange(ctx context.Context, r *WatchRequest, known uint64) {
	for {
		changed := c.node.Changed()
		w, ok := c.machine.State().Worker(r.Worker)
		if !ok || w.Detached || w.Epoch != r.Epoch || w.ModifiedIndex != known {
			return
		}
		if c.node.Status().Role != replicator.Leader {
			return // the agent looks for the new leader
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// watchResponse returns the runs that a worker holds in both of two states. The one from before the confirmation holds no
// run that a later leader has assigned, the one from after it none that an earlier leader has withdrawn. The version is
// that of the first state, so that the agent asks again at once for what came since.
//
// While this leader withdraws a run, the agent is told of no run, so that it does not take an incomplete list for that of the
// version: the next leader, which may not withdraw the run, would never tell it. watchResponse then returns that version.
func (c *Coordinator) watchResponse(r *WatchRequest, before, state tracker.State) (response *WatchResponse, withheld uint64) {
	w, ok := state.Worker(r.Worker)
	if !ok || w.Detached || w.Epoch != r.Epoch {
		return &WatchResponse{Reply: c.reply(), Lost: true}, 0
	}
	lease, ok := c.leases.grant(r.Worker, r.Epoch, c.clock.Now())
	if !ok {
		return &WatchResponse{Reply: c.reply(), Version: r.KnownVersion}, 0 // the worker is being detached
	}
	response = &WatchResponse{Reply: c.reply(), Version: r.KnownVersion, CommittedEnd: w.CommittedEnd, Lease: lease}
	send := func(run tracker.RunKey) bool {
		if c.starts.send(run, w.Name, w.Epoch, c.clock.Now()) {
			return true
		}
		withheld = w.ModifiedIndex
		return false
	}
	assignments := Assignments(w.Name, before, state, send)
	if withheld == 0 && w.ModifiedIndex != r.KnownVersion {
		old, _ := before.Worker(r.Worker)
		response.Version, response.Assignments = old.ModifiedIndex, assignments
	}
	return response, withheld
}

// Assignments returns what a worker's agent is told of the runs that the worker holds in both of two states and that send
// permits. They include runs that have nothing left to do but end, whether or not the agent knew them: it reports the end of no
// other run that its runner does not list, and a run takes room until its end is reported.
func Assignments(worker string, before, state tracker.State, send func(tracker.RunKey) bool) []Assignment {
	var assignments []Assignment
	w, _ := state.Worker(worker)
	for _, run := range w.Runs {
		if !before.Holds(worker, run.Key) || !send(run.Key) {
			continue
		}
		assignments = append(assignments, newAssignment(worker, run, state))
	}
	return assignments
}

// newAssignment returns what the agent is told of a run: to execute it, or to stop it once nothing needs it any more.
func newAssignment(worker string, run tracker.Run, state tracker.State) Assignment {
	a := Assignment{Run: run.Key, Epoch: run.Epoch, Stop: run.Stopping || !state.IsCurrent(worker, run.Key)}
	if a.Stop {
		return a
	}
	j, _ := state.Job(run.Key.Task.Job)
	t, _ := j.Task(run.Key.Task)
	a.Payload, a.Checkpoint = j.Payload, t.Checkpoint
	return a
}

func (c *Coordinator) report(ctx context.Context, r *ReportRequest) (*ReportResponse, error) {
	if c.confirm(ctx) != nil {
		return &ReportResponse{Reply: c.notLeader()}, nil
	}
	r.Report.At = c.wall.Now()
	c.observer.fillCheckpoints(r.Report.Ends)
	answer, err := c.propose(ctx, tracker.Command{Report: &r.Report})
	if err != nil {
		return &ReportResponse{Reply: c.notLeader()}, nil
	}
	if answer.Code != tracker.Accepted {
		return &ReportResponse{Reply: c.reply(), Lost: true}, nil
	}
	for _, end := range r.Report.Ends {
		c.recordRunEnd(r.Report.Worker, end, answer.Index)
	}
	return &ReportResponse{Reply: c.reply()}, nil
}

func (c *Coordinator) recordRunEnd(worker string, end tracker.End, index uint64) {
	c.log.Log(logger.RunEnded, logger.F("job", string(end.Run.Task.Job)), logger.F("run", end.Run.String()),
		logger.F("worker", worker), logger.F("end", end.Kind.String()), logger.F("number", end.Number), logger.F("took", end.RunTime), logger.F("index", index))
	c.meter.Count("runs_ended", "", worker, end.Kind.String())
	switch end.Kind {
	case tracker.EndDone:
		c.observer.recordResult(worker, result{good: true, runTime: end.RunTime}, c.clock.Now())
	case tracker.EndFailed, tracker.EndNeverStarted:
		c.recordBadRun(worker, result{runTime: end.RunTime}, end.Kind.String()+" run")
	}
}

func (c *Coordinator) recordBadRun(worker string, r result, reason string) {
	if c.observer.recordResult(worker, r, c.clock.Now()) {
		c.log.Log(logger.WorkerAvoided, logger.F("worker", worker), logger.F("reason", reason), logger.F("for", avoidTime))
	}
}

func (c *Coordinator) deregister(ctx context.Context, r *DeregisterRequest) (*DeregisterResponse, error) {
	err := c.confirm(ctx)
	if err == nil {
		err = c.detach(ctx, r.Worker, r.Epoch, "its runner has left")
	}
	if err != nil && !errors.Is(err, errStaleEpoch) {
		return &DeregisterResponse{c.notLeader()}, nil
	}
	return &DeregisterResponse{c.reply()}, nil
}

var errStaleEpoch = errors.New("stale epoch: the worker has been attached again or detached")

// detach declares all runs of a worker lost. The caller has made sure that none of them runs any more.
func (c *Coordinator) detach(ctx context.Context, worker string, epoch uint64, reason string) error {
	w, ok := c.machine.State().Worker(worker)
	if !ok || w.Epoch != epoch || w.Detached {
		return errStaleEpoch
	}
	command := tracker.Command{Detach: &tracker.Detach{Worker: worker, Epoch: epoch, Checkpoints: c.observer.checkpoints(w)}}
	answer, err := c.propose(ctx, command)
	if err != nil {
		return err
	}
	c.log.Log(logger.WorkerDetached, logger.F("worker", worker), logger.F("epoch", epoch), logger.F("runs", len(w.Runs)),
		logger.F("reason", reason), logger.F("index", answer.Index))
	return nil
}
