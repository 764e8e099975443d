package planner

import (
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// demand is a number of equal tasks of one step that want a place.
type demand struct {
	*candidate
	step     modeler.Step
	instance int
	tasks    []tracker.TaskKey
	planned  int // tasks of the step for which this plan has started or kept room already
}

func newDemand(c *candidate, instance int, tasks []tracker.TaskKey) demand {
	return demand{candidate: c, step: c.job.Spec(instance), instance: instance, tasks: tasks}
}

func (d demand) withTasks(tasks []tracker.TaskKey) demand {
	d.tasks = tasks
	return d
}

// group returns what the demand's tasks belong to.
func (d demand) group() groupKey { return groupKey{d.job.ID, d.instance} }

func (d demand) nextAttempt(key tracker.TaskKey) int {
	return d.job.Tasks[d.instance][key.Index].Attempt + 1
}

// checkpoint returns where the task resumes; the members of a gang hold the same value.
func (d demand) checkpoint(key tracker.TaskKey) string {
	return d.job.Tasks[d.instance][key.Index].Checkpoint
}

// assigned returns the number of the step's tasks that hold room, those of this plan included.
func (d demand) assigned() int {
	n := d.planned
	for _, t := range d.job.Tasks[d.instance] {
		if t.Phase == tracker.TaskAssigned {
			n++
		}
	}
	return n
}

// work returns the weight of the tasks times their estimate, in thousandths of a core times milliseconds.
func (d demand) work() int { return len(d.tasks) * d.step.Need.Weight() * int(d.step.Estimate) }

// expectedParallelism returns how many tasks of the step are expected to run at once.
func (d demand) expectedParallelism() int {
	waves := d.step.Waves(d.capacity)
	return (d.step.Count + waves - 1) / waves
}

// urgentParallelismFactor is how many times its expected share of the room an urgent step may hold at once. Urgent runs are not
// stopped for others, so that a wide step would keep them all waiting.
const urgentParallelismFactor = 2

// atParallelismLimit reports whether the step must not begin more tasks now, although there may be room.
func (d demand) atParallelismLimit() bool {
	return d.rank == rankUrgent && !d.step.Gang && d.assigned() >= urgentParallelismFactor*d.expectedParallelism()
}

// maxProtectedRank returns the rank above which runs may be stopped for the demand. Urgent runs are stopped only for what
// a guarantee covers.
func (d demand) maxProtectedRank() int {
	if d.rank == rankGuaranteed {
		return rankGuaranteed
	}
	return rankBatch - 1
}

// failedOn reports whether the last failed run of one of the tasks was on the worker.
func (d demand) failedOn(worker string) bool {
	for _, key := range d.tasks {
		if d.job.Tasks[d.instance][key.Index].FailedOn == worker {
			return true
		}
	}
	return false
}

// hasFailed reports whether a run of one of the tasks has failed, so that a worker is shunned.
func (d demand) hasFailed() bool {
	for _, key := range d.tasks {
		if d.job.Tasks[d.instance][key.Index].FailedOn != "" {
			return true
		}
	}
	return false
}
