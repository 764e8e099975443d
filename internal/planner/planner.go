package planner

import (
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// Progress is what is known of a run beyond the log.
type Progress struct {
	Percent    int               // of the task's work
	Checkpoint string            // last one saved
	Running    timekeeper.Millis // since the run was assigned
	Stalled    bool              // its percentage has stood still for too long
	Slow       bool              // it is far behind what its estimate and its peers suggest
}

// Input is what a plan is made from.
type Input struct {
	State    tracker.State
	Now      timekeeper.Millis // since the Unix epoch, as the jobs' times of submission
	Progress map[tracker.RunKey]Progress
	Avoid    map[string]bool              // workers that fail, hang or slow what they run
	Suspect  map[string]bool              // workers that may be such: one run went wrong lately
	Silent   map[string]bool              // workers whose agents were not heard for a while
	Leaving  map[string]timekeeper.Millis // what is left at least to workers that drain
}

// Plan returns what to start and what to stop now.
func Plan(in Input) tracker.Assign {
	b := newPlanBuilder(in)
	var plan tracker.Assign
	b.stopStalled(&plan)
	b.stopDraining(&plan)
	for _, c := range b.candidates {
		for instance := range c.job.Tasks {
			b.planInstance(&plan, c, instance)
		}
	}
	return plan
}

// planInstance starts what it can of a step of one occurrence, or makes room for it.
func (b *planBuilder) planInstance(plan *tracker.Assign, c *candidate, instance int) {
	if b.in.Now < c.job.DueAt(c.job.Occurrence(instance)) || !c.job.Ready(instance) {
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
	n := j.Waiting(instance)
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

// planSingles starts as many tasks as there is room for, and makes room for the rest where the rank allows it.
func (b *planBuilder) planSingles(plan *tracker.Assign, d demand) {
	for i, key := range d.tasks {
		one := d.withTasks(d.tasks[i : i+1])
		one.planned = i
		if one.atParallelismLimit() {
			return
		}
		p, ok := b.placeNow(one)
		if !ok {
			if !b.reserveOrPreemptRest(plan, d, i) {
				b.reserveEarliest(one)
			}
			return
		}
		b.allocate(p)
		plan.Starts = append(plan.Starts, b.start(d, key, d.nextAttempt(key), p[0]))
	}
}

// reserveOrPreemptRest makes room for the tasks from a number on, until one gets none; it reports whether the first did.
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

// planGang starts all members, or makes room for all.
func (b *planBuilder) planGang(plan *tracker.Assign, d demand) {
	p, ok := b.placeNow(d)
	if !ok {
		if !b.reserveOrPreempt(plan, d) {
			b.reserveEarliest(d)
		}
		return
	}
	b.allocate(p)
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

// stopStalled takes back runs that make no progress, so that they run elsewhere.
func (b *planBuilder) stopStalled(plan *tracker.Assign) {
	for _, key := range b.stalledOrSlow() {
		b.stop(plan, key)
	}
}

// stopDraining takes back runs that cannot end before their worker leaves.
func (b *planBuilder) stopDraining(plan *tracker.Assign) {
	for _, w := range b.in.State.Workers() {
		if !w.Draining || w.Gone {
			continue
		}
		for _, r := range w.Runs {
			if !r.Stopping && b.remainingTime(r.Key) > b.in.Leaving[w.Name] {
				b.stop(plan, r.Key)
			}
		}
	}
}

// stalledOrSlow returns the runs that make no progress or too little, in their order.
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

// hasLabel reports whether a worker carries a label; no label is carried by all.
func hasLabel(w tracker.Worker, label string) bool {
	return label == "" || slices.ContainsFunc(w.Profile.Labels, func(l string) bool { return strings.EqualFold(l, label) })
}
