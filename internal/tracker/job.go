package tracker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TaskKey identifies one task of one job.
type TaskKey struct {
	Job        modeler.JobID `cbor:"1,keyasint"`
	Step       int           `cbor:"2,keyasint"`
	Index      int           `cbor:"3,keyasint"`
	Occurrence int           `cbor:"4,keyasint,omitempty"`
}

// String returns the key in the form that logs use.
func (k TaskKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// Compare orders keys by job, occurrence, step and index.
func (k TaskKey) Compare(o TaskKey) int {
	if c := strings.Compare(string(k.Job), string(o.Job)); c != 0 {
		return c
	}
	if k.Occurrence != o.Occurrence {
		return k.Occurrence - o.Occurrence
	}
	if k.Step != o.Step {
		return k.Step - o.Step
	}
	return k.Index - o.Index
}

// RunKey identifies one run of one task. Attempt increases with every run of the task.
type RunKey struct {
	Task    TaskKey `cbor:"1,keyasint"`
	Attempt int     `cbor:"2,keyasint"`
}

// String returns the key in the form that logs use.
func (k RunKey) String() string { return fmt.Sprintf("%s#%d", k.Task, k.Attempt) }

// TaskPhase is the state of a task.
type TaskPhase uint8

// The phases of a task.
const (
	TaskWaiting TaskPhase = iota
	TaskAssigned
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Phase         TaskPhase `cbor:"1,keyasint,omitempty"`
	Worker        string    `cbor:"2,keyasint,omitempty"` // worker of the current run
	Attempt       int       `cbor:"3,keyasint,omitempty"` // attempt of the current or last run
	Failures      int       `cbor:"4,keyasint,omitempty"` // failed attempts; for a gang, of any member
	Checkpoint    string    `cbor:"5,keyasint,omitempty"` // where the next run resumes; empty to start over
	FailedOn      string    `cbor:"6,keyasint,omitempty"` // the worker of the last failed run
	FailedAttempt int       `cbor:"7,keyasint,omitempty"` // last attempt counted in Failures
}

// JobPhase is the state of a job.
type JobPhase uint8

// The phases of a job.
const (
	JobQueued JobPhase = iota
	JobRunning
	JobDone
	JobFailed
	JobCancelled
)

// String returns the name of the phase in the public API.
func (p JobPhase) String() string {
	names := [...]string{"queued", "running", "done", "failed", "cancelled"}
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// Ended reports whether the phase is final.
func (p JobPhase) Ended() bool { return p >= JobDone }

// Job is a submitted job with the state of its tasks. It is immutable.
type Job struct {
	modeler.Job
	Phase JobPhase
	Ended timekeeper.Millis // since the Unix epoch, by the clock of the leader that proposed the command
	Tasks [][]Task          // by instance
}

// An instance is one step of one occurrence. The instances of a job are numbered occurrence by occurrence.

// HasBegun reports whether the end of a run shows that something of the job has started. A run that was assigned, and one
// that was stopped or lost, show nothing.
func (j Job) HasBegun() bool {
	for _, tasks := range j.Tasks {
		for _, t := range tasks {
			if t.Phase == TaskDone || t.Failures > 0 || t.Checkpoint != "" {
				return true
			}
		}
	}
	return false
}

func newJob(j modeler.Job) Job {
	tasks := make([][]Task, 0, j.Occurrences()*len(j.Steps))
	for range j.Occurrences() {
		for _, s := range j.Steps {
			tasks = append(tasks, make([]Task, s.Count))
		}
	}
	return Job{Job: j, Tasks: tasks}
}

// check returns an error if the tasks are not those of the steps, or a phase is unknown.
func (j Job) check() error {
	if err := j.CheckShape(); err != nil {
		return err
	}
	if j.Phase > JobCancelled || len(j.Tasks) != j.Occurrences()*len(j.Steps) {
		return fmt.Errorf("phase %d and %d instances for %d steps", j.Phase, len(j.Tasks), len(j.Steps))
	}
	for instance, tasks := range j.Tasks {
		if len(tasks) != j.StepOf(instance).Count || slices.ContainsFunc(tasks, func(t Task) bool { return t.Phase > TaskDone }) {
			return fmt.Errorf("the tasks of instance %d are not those of its step", instance)
		}
	}
	return nil
}

// Instance returns the index of the instance that a task belongs to.
func (j Job) Instance(key TaskKey) int { return key.Occurrence*len(j.Steps) + key.Step }

// Occurrence returns the occurrence that an instance belongs to.
func (j Job) Occurrence(instance int) int { return instance / len(j.Steps) }

// StepOf returns the step of an instance.
func (j Job) StepOf(instance int) modeler.Step { return j.Steps[instance%len(j.Steps)] }

// Key returns the key of a task of an instance.
func (j Job) Key(instance, index int) TaskKey {
	return TaskKey{Job: j.ID, Occurrence: j.Occurrence(instance), Step: instance % len(j.Steps), Index: index}
}

// Task returns the task with the given key.
func (j Job) Task(key TaskKey) (Task, bool) {
	if key.Occurrence < 0 || key.Occurrence >= j.Occurrences() || key.Step < 0 || key.Step >= len(j.Steps) {
		return Task{}, false
	}
	tasks := j.Tasks[j.Instance(key)]
	if key.Index < 0 || key.Index >= len(tasks) {
		return Task{}, false
	}
	return tasks[key.Index], true
}

// IsCurrent reports whether a run is the one that its task is assigned to on the worker.
func (j Job) IsCurrent(worker string, run RunKey) bool {
	t, ok := j.Task(run.Task)
	return ok && t.Phase == TaskAssigned && t.Attempt == run.Attempt && t.Worker == worker
}

// WithTask returns a copy of j in which t replaces the task with the given key, which must exist.
func (j Job) WithTask(key TaskKey, t Task) Job {
	instance := j.Instance(key)
	j.Tasks = slices.Clone(j.Tasks)
	j.Tasks[instance] = slices.Clone(j.Tasks[instance])
	j.Tasks[instance][key.Index] = t
	return j
}

// withInstance returns a copy of j with change applied to every task of an instance.
func (j Job) withInstance(instance int, change func(Task) Task) Job {
	j.Tasks = slices.Clone(j.Tasks)
	j.Tasks[instance] = slices.Clone(j.Tasks[instance])
	for i, t := range j.Tasks[instance] {
		j.Tasks[instance][i] = change(t)
	}
	return j
}

// InstanceDone reports whether all tasks of an instance are done.
func (j Job) InstanceDone(instance int) bool {
	return !slices.ContainsFunc(j.Tasks[instance], func(t Task) bool { return t.Phase != TaskDone })
}

// WaitingTasks returns the number of tasks of an instance that have no current run and are not done.
func (j Job) WaitingTasks(instance int) int {
	n := 0
	for i := range j.Tasks[instance] {
		if j.Tasks[instance][i].Phase == TaskWaiting {
			n++
		}
	}
	return n
}

// InstanceReady reports whether the steps that an instance depends on are done in the same occurrence.
func (j Job) InstanceReady(instance int) bool {
	first := j.Occurrence(instance) * len(j.Steps)
	return !slices.ContainsFunc(j.StepOf(instance).After, func(before int) bool { return !j.InstanceDone(first + before) })
}

// allDone reports whether every task of the job is done.
func (j Job) allDone() bool {
	for instance := range j.Tasks {
		if !j.InstanceDone(instance) {
			return false
		}
	}
	return true
}
