package scheduler

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// step is a step in progress: a private copy of the state, and the output so far.
type step struct {
	State
	out            Output
	changedWorkers map[string]struct{}
	freedWorkers   map[string]struct{} // workers on which accelerators or cores came free
	slotIdled      bool                // a slot lost its last job
	retryQueue     bool                // queued jobs may fit now
	unreserved     map[string]unreservedCells
	newlyQueued    []string // jobs queued in this step
}

// Step returns the state after event, and the decisions. Time does not go back: if at is before the last step, the
// time of the last step counts. If the event is refused, Output.Err is set and the state is unchanged.
func (s State) Step(at timekeeper.Millis, event Event) (State, Output) {
	t := &step{State: s, changedWorkers: map[string]struct{}{}, freedWorkers: map[string]struct{}{}}
	t.now = max(s.now, at)
	if err := t.apply(event); err != nil {
		return s, Output{Err: err}
	}
	t.schedule()
	t.pruneEnded()
	t.out.ChangedWorkers = slices.Sorted(maps.Keys(t.changedWorkers))
	return t.State, t.out
}

func (t *step) apply(e Event) error {
	switch {
	case e.WorkerJoined != nil:
		return t.joinWorker(*e.WorkerJoined)
	case e.WorkerLost != nil:
		return t.loseWorker(e.WorkerLost.Worker)
	case e.WorkerDrained != nil:
		return t.drainWorker(*e.WorkerDrained)
	case e.JobSubmitted != nil:
		return t.submit(*e.JobSubmitted)
	case e.JobsCancelled != nil:
		t.cancel(e.JobsCancelled.Jobs)
		return nil
	case e.MemberArmed != nil:
		return t.memberArmed(*e.MemberArmed)
	case e.MemberRefused != nil:
		return t.memberRefused(*e.MemberRefused)
	case e.MemberEnded != nil:
		return t.memberEnded(*e.MemberEnded)
	case e.TimePassed != nil:
		t.fireTimers()
		return nil
	case e.WorkspaceSet != nil:
		return t.setWorkspace(*e.WorkspaceSet)
	case e.WorkspaceRemoved != nil:
		return t.removeWorkspace(e.WorkspaceRemoved.Name)
	case e.PolicySet != nil:
		t.setPolicy(*e.PolicySet)
		return nil
	}
	return errors.New("empty event")
}

// updateJob replaces old by next and updates everything that is derived from jobs: loads, jobsByWorker, queues,
// accounts and slots. Either may be nil.
func (t *step) updateJob(old, next *Job) {
	t.updateLoads(old, next)
	t.updateQueues(old, next)
	t.updateAccount(old, next)
	t.updateSlot(old, next)
	if next == nil {
		t.jobs = t.jobs.Delete(old.Spec.ID)
		return
	}
	t.jobs = t.jobs.Set(next.Spec.ID, next)
}

// usage is the load that a part of a job puts on its worker.
type usage struct {
	used, usedCores, reserved, reservedCores, guaranteed int
	present                                              bool
}

// frees reports whether a part whose usage changes from u to next frees capacity for other jobs.
func (u usage) frees(next usage) bool {
	return u.used > next.used || u.usedCores > next.usedCores ||
		u.used+u.reserved > next.used+next.reserved ||
		u.usedCores+u.reservedCores > next.usedCores+next.reservedCores
}

func usageOf(j *Job, worker string) usage {
	if j == nil {
		return usage{}
	}
	i := j.partIndex(worker)
	if i < 0 || j.Released.has(i) {
		return usage{}
	}
	u := usage{present: true}
	members := j.Placement[i].Members
	accelerators, cores := members*j.Spec.Demand.Accelerators, members*j.Spec.Demand.Cores
	switch j.Phase {
	case PhaseWaiting:
		u.reserved, u.reservedCores = accelerators, cores
	case PhaseArming, PhaseRunning, PhaseStopping:
		u.used, u.usedCores = accelerators, cores
	default:
		return usage{}
	}
	if !j.Borrowed() && j.Phase != PhaseStopping {
		u.guaranteed = accelerators
	}
	return u
}

func (t *step) updateLoads(old, next *Job) {
	var loads []placer.Load
	for _, worker := range workersOf(old, next) {
		before, after := usageOf(old, worker), usageOf(next, worker)
		if visibleToWorkers(old, next) {
			t.changedWorkers[worker] = struct{}{}
		}
		if before == after {
			continue
		}
		load, known := t.cells.Load(worker)
		if !known {
			continue
		}
		load.Used += after.used - before.used
		load.UsedCores += after.usedCores - before.usedCores
		load.Reserved += after.reserved - before.reserved
		load.ReservedCores += after.reservedCores - before.reservedCores
		load.NonReclaimable += after.guaranteed - before.guaranteed
		loads = append(loads, load)
		t.updateJobsByWorker(worker, before.present, after.present, old, next)
		if before.frees(after) {
			t.freedWorkers[worker] = struct{}{}
			t.retryQueue = true
		}
	}
	if len(loads) > 0 {
		t.cells = t.cells.WithLoads(loads...)
	}
}

// visibleToWorkers reports whether the change from old to next must be sent to the job's workers.
func visibleToWorkers(old, next *Job) bool {
	if old == nil || next == nil {
		return true
	}
	return old.Phase != next.Phase || old.Attempt != next.Attempt || old.StopCause != next.StopCause
}

func workersOf(old, next *Job) []string {
	var workers []string
	if old != nil {
		for _, p := range old.Placement {
			workers = append(workers, p.Worker)
		}
	}
	if next == nil {
		return workers
	}
	for _, p := range next.Placement {
		if old == nil || old.partIndex(p.Worker) < 0 {
			workers = append(workers, p.Worker)
		}
	}
	return workers
}

func (t *step) updateJobsByWorker(worker string, before, after bool, old, next *Job) {
	t.changedWorkers[worker] = struct{}{}
	if before == after {
		return
	}
	list, _ := t.jobsByWorker.Get(worker)
	if after {
		t.jobsByWorker = t.jobsByWorker.Set(worker, append(slices.Clip(slices.Clone(list)), next.Spec.ID))
		return
	}
	rest := slices.DeleteFunc(slices.Clone(list), func(id string) bool { return id == old.Spec.ID })
	if len(rest) == 0 {
		t.jobsByWorker = t.jobsByWorker.Delete(worker)
		return
	}
	t.jobsByWorker = t.jobsByWorker.Set(worker, rest)
}

func (t *step) updateQueues(old, next *Job) {
	if old != nil && old.Phase == PhaseQueued {
		t.queue = t.queue.Delete(t.queueKey(old))
	}
	if old != nil && old.Phase == PhaseWaiting {
		t.waiting = t.waiting.Delete(old.Spec.ID)
	}
	if next == nil {
		return
	}
	switch next.Phase {
	case PhaseQueued:
		t.queue = t.queue.Set(t.queueKey(next), struct{}{})
	case PhaseWaiting:
		t.waiting = t.waiting.Set(next.Spec.ID, struct{}{})
	case PhaseEnded:
		t.ended = t.ended.Set(endedKey{next.EndedAt, next.Spec.ID}, struct{}{})
	}
}

// queueKey returns the position of a job in the queue. It must not depend on what changes while the job is queued; the
// rank is therefore computed when the job is enqueued.
func (t *step) queueKey(j *Job) queueKey {
	key := queueKey{class: j.Spec.Class, workspace: j.Spec.Workspace, enqueued: j.Enqueued, rank: j.Rank, job: j.Spec.ID}
	if t.policy.IgnoreClasses {
		key.class, key.workspace = 0, ""
	}
	return key
}

func (t *step) updateAccount(old, next *Job) {
	t.addToAccount(old, -1)
	t.addToAccount(next, +1)
}

func (t *step) addToAccount(j *Job, sign int) {
	if j == nil || j.Phase == PhaseQueued || j.Phase == PhaseEnded {
		return
	}
	a, ok := t.accounts.Get(j.Spec.Workspace)
	if !ok {
		return
	}
	next := *a
	next.Running += sign * j.Spec.Demand.Total()
	if j.Borrowed() {
		next.Borrowed += sign * j.Spec.Demand.Total()
	}
	t.accounts = t.accounts.Set(j.Spec.Workspace, &next)
}

func (t *step) updateSlot(old, next *Job) {
	var before, after SlotKey
	if old != nil && old.Phase != PhaseQueued && old.Phase != PhaseEnded {
		before = old.Slot
	}
	if next != nil && next.Phase != PhaseQueued && next.Phase != PhaseEnded {
		after = next.Slot
	}
	if before == after {
		return
	}
	if slot, ok := t.slots.Get(before); ok {
		slot.Jobs = slices.DeleteFunc(slices.Clone(slot.Jobs), func(id string) bool { return id == old.Spec.ID })
		t.slots = t.slots.Set(before, slot)
		t.slotIdled = t.slotIdled || len(slot.Jobs) == 0
	}
	if slot, ok := t.slots.Get(after); ok {
		slot.Jobs = append(slices.Clone(slot.Jobs), next.Spec.ID)
		t.slots = t.slots.Set(after, slot)
	}
}

func (t *step) decide(kind DecisionKind, j *Job, reclaim bool) {
	t.out.Decisions = append(t.out.Decisions, Decision{Kind: kind, Job: j, Reclaim: reclaim})
}

func (t *step) setTimer(at timekeeper.Millis, kind timerKind, id string, attempt int) {
	t.timers = t.timers.Set(timerKey{at, kind, id, attempt}, struct{}{})
}

func (t *step) pruneEnded() {
	for t.ended.Len() > maxEndedJobs {
		it := t.ended.Iterator()
		key, _, _ := it.Next()
		t.ended = t.ended.Delete(key)
		t.jobs = t.jobs.Delete(key.job)
	}
}

// refusal returns a RefusalError. It is for errors that the caller can correct.
func refusal(format string, args ...any) error {
	return &RefusalError{Reason: fmt.Sprintf(format, args...)}
}

// RefusalError is the error of an event that was refused. The event has changed nothing.
type RefusalError struct {
	Reason string
}

// Error returns the reason.
func (e *RefusalError) Error() string { return e.Reason }
