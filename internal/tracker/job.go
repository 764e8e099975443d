package tracker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TaskKey names one task of one job.
type TaskKey struct {
	Job   modeler.JobID `cbor:"1,keyasint"`
	Step  int           `cbor:"2,keyasint"`
	Index int           `cbor:"3,keyasint"`
}

// String returns the key as it stands in logs.
func (k TaskKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// Compare orders keys by job, step and index.
func (k TaskKey) Compare(o TaskKey) int {
	if c := strings.Compare(string(k.Job), string(o.Job)); c != 0 {
		return c
	}
	if k.Step != o.Step {
		return k.Step - o.Step
	}
	return k.Index - o.Index
}

// RunKey names one run of one task; numbers of runs rise.
type RunKey struct {
	Task    TaskKey `cbor:"1,keyasint"`
	Attempt int     `cbor:"2,keyasint"`
}

// String returns the key as it stands in logs.
func (k RunKey) String() string { return fmt.Sprintf("%s#%d", k.Task, k.Attempt) }

// TaskPhase is how far a task has come.
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
	Worker        string    `cbor:"2,keyasint,omitempty"` // of the present run
	Attempt       int       `cbor:"3,keyasint,omitempty"` // of the present or last run
	Failures      int       `cbor:"4,keyasint,omitempty"` // runs that ended as failed; for a gang, of any member
	Checkpoint    string    `cbor:"5,keyasint,omitempty"` // where the next run resumes; empty means from the start
	FailedOn      string    `cbor:"6,keyasint,omitempty"` // the worker of the last failed run
	FailedAttempt int       `cbor:"7,keyasint,omitempty"` // the last attempt that Failures counts
}

// JobPhase is how far a job has come.
type JobPhase uint8

// The phases of a job.
const (
	JobQueued JobPhase = iota
	JobRunning
	JobDone
	JobFailed
	JobCancelled
)

// String returns the phase as callers know it.
func (p JobPhase) String() string {
	return [...]string{"queued", "running", "done", "failed", "cancelled"}[p]
}

// Ended reports whether the phase is final.
func (p JobPhase) Ended() bool { return p >= JobDone }

// Job is a submitted job with its tasks; it is immutable.
type Job struct {
	modeler.Job
	Phase JobPhase
	Ended timekeeper.Millis // since the Unix epoch, by the leader that proposed the end
	Tasks [][]Task          // by step
}

func newJob(j modeler.Job) Job {
	tasks := make([][]Task, len(j.Steps))
	for i, s := range j.Steps {
		tasks[i] = make([]Task, s.Count)
	}
	return Job{Job: j, Tasks: tasks}
}

// Task returns the task that key names.
func (j Job) Task(key TaskKey) (Task, bool) {
	if key.Step < 0 || key.Step >= len(j.Tasks) || key.Index < 0 || key.Index >= len(j.Tasks[key.Step]) {
		return Task{}, false
	}
	return j.Tasks[key.Step][key.Index], true
}

// WithTask returns a copy in which the task that key names is t.
func (j Job) WithTask(key TaskKey, t Task) Job {
	j.Tasks = slices.Clone(j.Tasks)
	j.Tasks[key.Step] = slices.Clone(j.Tasks[key.Step])
	j.Tasks[key.Step][key.Index] = t
	return j
}

// withStep returns a copy in which change was applied to every task of a step.
func (j Job) withStep(step int, change func(Task) Task) Job {
	j.Tasks = slices.Clone(j.Tasks)
	j.Tasks[step] = slices.Clone(j.Tasks[step])
	for i, t := range j.Tasks[step] {
		j.Tasks[step][i] = change(t)
	}
	return j
}

// StepDone reports whether all tasks of a step are done.
func (j Job) StepDone(step int) bool {
	return !slices.ContainsFunc(j.Tasks[step], func(t Task) bool { return t.Phase != TaskDone })
}

// StepReady reports whether the steps that a step waits for are done.
func (j Job) StepReady(step int) bool {
	return !slices.ContainsFunc(j.Steps[step].After, func(before int) bool { return !j.StepDone(before) })
}

// allDone reports whether every task of the job is done.
func (j Job) allDone() bool {
	for step := range j.Tasks {
		if !j.StepDone(step) {
			return false
		}
	}
	return true
}
