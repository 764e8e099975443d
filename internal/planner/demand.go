package planner

import (
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// demand is a set of equal tasks of one step to be placed together.
type demand struct {
	*candidate
	step     modeler.Step
	instance int
	tasks    []tracker.TaskKey
	planned  int // tasks of the step that this plan has started or reserved resources for
}

func newDemand(c *candidate, instance int, tasks []tracker.TaskKey) demand {
	return demand{candidate: c, step: c.job.StepOf(instance), instance: instance, tasks: tasks}
}

func (d demand) withTasks(tasks []tracker.TaskKey) demand {
	d.tasks = tasks
	return d
}

// group returns the group of the demand's tasks.
func (d demand) group() groupKey { return groupKey{d.job.ID, d.instance} }

func (d demand) nextAttempt(key tracker.TaskKey) int {
	return d.job.Tasks[d.instance][key.Index].Attempt + 1
}

// checkpoint returns the checkpoint to resume the task from, which is the same for all members of a gang.
func (d demand) checkpoint(key tracker.TaskKey) string {
	return d.job.Tasks[d.instance][key.Index].Checkpoint
}

// assigned returns the number of the step's tasks that hold resources, those of this plan included.
func (d demand) assigned() int {
	n := d.planned
	for _, t := range d.job.Tasks[d.instance] {
		if t.Phase == tracker.TaskAssigned {
			n++
		}
	}
	return n
}

// work returns the expected work of the tasks, in thousandths of a core times milliseconds.
func (d demand) work() int { return len(d.tasks) * d.step.Need.Weight() * int(d.step.Estimate) }

// expectedParallelism returns how many tasks of the step are expected to run at once.
func (d demand) expectedParallelism() int {
	waves := d.step.Waves(d.capacity)
	return (d.step.Count + waves - 1) / waves
}

// urgentParallelismFactor bounds the tasks that an urgent step beyond the guarantee runs at once, as a multiple of its
// expected parallelism. Only guaranteed jobs preempt urgent runs, so that a wide step would block all others.
const urgentParallelismFactor = 2

// atParallelismLimit reports whether the step must not start more tasks now, even if they fit. No long-running step is at the limit:
// none of its tasks makes room for the next one by ending.
func (d demand) atParallelismLimit() bool {
	return d.rank == rankUrgent && !d.step.Gang && !d.step.LongRunning && d.assigned() >= urgentParallelismFactor*d.expectedParallelism()
}

// maxProtectedRank returns the rank above which runs may be preempted for the demand. Only guaranteed jobs preempt
// urgent runs.
func (d demand) maxProtectedRank() int {
	if d.rank == rankGuaranteed {
		return rankGuaranteed
	}
	return rankBatch - 1
}

// failedOn reports whether one of the tasks last failed on the worker.
func (d demand) failedOn(worker string) bool {
	for _, key := range d.tasks {
		if d.job.Tasks[d.instance][key.Index].FailedOn == worker {
			return true
		}
	}
	return false
}

// hasFailed reports whether one of the tasks has failed before.
func (d demand) hasFailed() bool {
	for _, key := range d.tasks {
		if d.job.Tasks[d.instance][key.Index].FailedOn != "" {
			return true
		}
	}
	return false
}
