package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// Progress is the last known progress of a run, which is not part of the replicated state.
type Progress struct {
	Percent    int               // completed share of the task's work
	Checkpoint string            // last saved checkpoint
	Elapsed    timekeeper.Millis // since the run was assigned
	Stalled    bool              // Percent has not changed for too long
	Slow       bool              // far slower than its estimate and its peers
}

// Input holds everything that a plan depends on.
type Input struct {
	State         tracker.State
	Now           timekeeper.Millis // since the Unix epoch, on the clock that stamps submissions
	Progress      map[tracker.RunKey]Progress
	Avoided       map[string]bool                     // workers whose runs fail, hang or run slowly
	Suspect       map[string]bool                     // workers on which one run went wrong recently
	Unresponsive  map[string]bool                     // workers whose agents have missed heartbeats
	Standing      map[modeler.JobID]timekeeper.Millis // for each job with Wait.RoomTwice: for how long it has had it
	DrainTimeLeft map[string]timekeeper.Millis        // for each draining worker, the least time until it leaves
}

// Plan returns the runs to start and the runs to stop now. It does not change in.
func Plan(in Input) tracker.Assign {
	return Decide(in).Assign
}

// planInstance starts the waiting tasks of a step of one occurrence, or reserves or frees resources for them. A gang is
// planned only if all its members wait.
func (b *planBuilder) planInstance(plan *tracker.Assign, c *candidate, instance int) {
	if b.in.Now < c.job.DueAt(c.job.Occurrence(instance)) || !c.job.InstanceReady(instance) {
		return
	}
	waiting := waitingTasks(c.job, instance)
	if len(waiting) == 0 {
		return
	}
	d := newDemand(c, instance, waiting)
	if !d.step.Gang {
		b.planSingles(plan, d)
		return
	}
	if len(waiting) == d.step.Count {
		b.planGang(plan, d)
	}
}

func waitingTasks(j tracker.Job, instance int) []tracker.TaskKey {
	n := j.WaitingTasks(instance)
	if n == 0 {
		return nil
	}
	keys := make([]tracker.TaskKey, 0, n)
	for index, t := range j.Tasks[instance] {
		if t.Phase == tracker.TaskWaiting {
			keys = append(keys, j.Key(instance, index))
		}
	}
	return keys
}

// planSingles starts as many tasks as fit, and reserves or preempts for the rest if their rank allows it.
func (b *planBuilder) planSingles(plan *tracker.Assign, d demand) {
	for i, key := range d.tasks {
		one := d.withTasks(d.tasks[i : i+1])
		one.planned = i
		if one.atParallelismLimit() {
			b.noteWait(one)
			return
		}
		p, ok := b.placeNow(one)
		if !ok {
			b.noteWait(one)
			if !b.reserveOrPreemptRest(plan, d, i) {
				b.reserveEarliest(one)
			}
			return
		}
		b.allocate(p)
		d.started = true
		plan.Starts = append(plan.Starts, b.start(d, key, d.nextAttempt(key), p[0]))
	}
}

// reserveOrPreemptRest reserves or preempts for d.tasks[from:], up to the first task for which neither is possible. It
// reports whether it succeeded for at least one task.
func (b *planBuilder) reserveOrPreemptRest(plan *tracker.Assign, d demand, from int) bool {
	for i := from; i < len(d.tasks); i++ {
		one := d.withTasks(d.tasks[i : i+1])
		one.planned = i
		if !b.reserveOrPreempt(plan, one) {
			return i > from
		}
	}
	return true
}

// planGang starts all members, or reserves or preempts for all.
func (b *planBuilder) planGang(plan *tracker.Assign, d demand) {
	p, ok := b.placeNow(d)
	if !ok {
		b.noteWait(d)
		if !b.reserveOrPreempt(plan, d) {
			b.reserveEarliest(d)
		}
		return
	}
	b.allocate(p)
	d.started = true
	attempt := 0
	for _, key := range d.tasks {
		attempt = max(attempt, d.nextAttempt(key))
	}
	for i, key := range d.tasks {
		plan.Starts = append(plan.Starts, b.start(d, key, attempt, p[i]))
	}
}

func (b *planBuilder) start(d demand, key tracker.TaskKey, attempt int, at taskPlacement) tracker.Start {
	return tracker.Start{
		Run:        tracker.RunKey{Task: key, Attempt: attempt},
		Worker:     at.worker.info.Name,
		Epoch:      at.worker.info.Epoch,
		Checkpoint: d.checkpoint(key),
	}
}

// stopStalled stops runs that are stalled or slow, so that their tasks are retried elsewhere.
func (b *planBuilder) stopStalled(plan *tracker.Assign) {
	for _, key := range b.stalledOrSlow() {
		b.stop(plan, key)
	}
}

// stopDraining stops runs that are not expected to end before their draining worker leaves.
func (b *planBuilder) stopDraining(plan *tracker.Assign) {
	for _, w := range b.in.State.Workers() {
		if !w.Draining || w.Detached {
			continue
		}
		for _, r := range w.Runs {
			if !r.Stopping && !b.returnOf(r.Key).within(b.in.DrainTimeLeft[w.Name]) {
				b.stop(plan, r.Key)
			}
		}
	}
}

// stalledOrSlow returns the keys of stalled and slow runs, sorted by task and attempt.
func (b *planBuilder) stalledOrSlow() []tracker.RunKey {
	var keys []tracker.RunKey
	for key, p := range b.in.Progress {
		if p.Stalled || p.Slow {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y tracker.RunKey) int {
		if c := x.Task.Compare(y.Task); c != 0 {
			return c
		}
		return x.Attempt - y.Attempt
	})
	return keys
}
