package planner

import (
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// demand is a number of equal tasks of one step that want a place.
type demand struct {
	candidate
	step  int
	tasks []tracker.TaskKey
}

func newDemand(c candidate, step int, tasks []tracker.TaskKey) demand {
	return demand{c, step, tasks}
}

func (d demand) withTasks(tasks []tracker.TaskKey) demand {
	d.tasks = tasks
	return d
}

func (d demand) spec() modeler.Step { return d.job.Steps[d.step] }

func (d demand) nextAttempt(key tracker.TaskKey) int {
	return d.job.Tasks[key.Step][key.Index].Attempt + 1
}

// checkpoint returns where the task resumes; the members of a gang hold the same value.
func (d demand) checkpoint(key tracker.TaskKey) string {
	return d.job.Tasks[key.Step][key.Index].Checkpoint
}

// shuns reports whether the last failed run of one of the tasks was on the worker.
func (d demand) shuns(worker string) bool {
	for _, key := range d.tasks {
		if d.job.Tasks[key.Step][key.Index].FailedOn == worker {
			return true
		}
	}
	return false
}

// allows reports whether the worker may run the tasks at all, room aside.
func (d demand) allows(w tracker.Worker) bool {
	return w.Profile.Service == d.queue.Service && hasLabel(w, d.spec().Label)
}
