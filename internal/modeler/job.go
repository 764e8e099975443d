package modeler

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// JobID names a job for good; the caller chooses it.
type JobID string

// Resources is an amount of what a worker has.
type Resources struct {
	MilliCores   int `cbor:"1,keyasint,omitempty"`
	MemoryMB     int `cbor:"2,keyasint,omitempty"`
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o; amounts may fall below zero.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCores * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether r is no more than room in any amount.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCores <= room.MilliCores && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// CountIn returns how many times r fits into room, at most limit.
func (r Resources) CountIn(room Resources, limit int) int {
	n := fitCount(r.MilliCores, room.MilliCores, limit)
	n = fitCount(r.MemoryMB, room.MemoryMB, n)
	return fitCount(r.Accelerators, room.Accelerators, n)
}

func fitCount(need, room, limit int) int {
	if need <= 0 {
		return limit
	}
	return max(min(limit, room/need), 0)
}

// Weight returns the amount as one number, an accelerator counting as eight cores, in thousandths of a core.
func (r Resources) Weight() int { return r.MilliCores + acceleratorMilliCores*r.Accelerators }

// acceleratorMilliCores is what an accelerator counts for against cores, as the users price both.
const acceleratorMilliCores = 8000

// Step is a number of equal tasks of a job.
type Step struct {
	Count         int               `cbor:"1,keyasint"`
	Need          Resources         `cbor:"2,keyasint"` // of each task
	Estimate      timekeeper.Millis `cbor:"3,keyasint,omitempty"`
	After         []int             `cbor:"4,keyasint,omitempty"`  // steps that must be done first
	Checkpointing bool              `cbor:"5,keyasint,omitempty"`  // runs save their progress
	Gang          bool              `cbor:"6,keyasint,omitempty"`  // the tasks run together or not at all
	OneRack       bool              `cbor:"7,keyasint,omitempty"`  // the gang is much slower across racks
	DataRack      string            `cbor:"8,keyasint,omitempty"`  // elsewhere the tasks are much slower
	Label         string            `cbor:"9,keyasint,omitempty"`  // a label that the worker must have
	MaxPerWorker  int               `cbor:"10,keyasint,omitempty"` // zero is no limit
	LongRunning   bool              `cbor:"11,keyasint,omitempty"` // runs until the job is cancelled
	Copies        bool              `cbor:"12,keyasint,omitempty"` // parallel runs of one task are allowed
}

// Total returns what all tasks of the step need at once.
func (s Step) Total() Resources { return s.Need.Times(s.Count) }

// Job is what a caller submitted.
type Job struct {
	ID        JobID             `cbor:"1,keyasint"`
	Queue     string            `cbor:"2,keyasint"`
	Workspace string            `cbor:"3,keyasint,omitempty"`
	Payload   string            `cbor:"4,keyasint,omitempty"` // handed to every run as it is
	Steps     []Step            `cbor:"5,keyasint"`
	Submitted timekeeper.Millis `cbor:"6,keyasint"`           // since the Unix epoch, by the leader that accepted it
	Repeat    int               `cbor:"7,keyasint,omitempty"` // how many times the steps run at times; zero: once, now
	StartAt   timekeeper.Millis `cbor:"8,keyasint,omitempty"` // when the first occurrence is due, since the Unix epoch
	Period    timekeeper.Millis `cbor:"9,keyasint,omitempty"` // between occurrences
}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int { return max(j.Repeat, 1) }

// DueAt returns when an occurrence may begin, since the Unix epoch.
func (j Job) DueAt(occurrence int) timekeeper.Millis {
	if j.Repeat == 0 {
		return j.Submitted
	}
	return j.StartAt + timekeeper.Millis(occurrence)*j.Period
}

// Work returns the weight of the job's tasks times their estimates, in thousandths of a core times milliseconds.
func (j Job) Work() int {
	total := 0
	for _, s := range j.Steps {
		total += s.Count * s.Need.Weight() * int(s.Estimate)
	}
	return total
}

// Chain returns the longest chain of estimates through the job's dependencies, where room is what all workers have
// together. A step that is wider than a share of the room counts as run in waves.
func (j Job) Chain(room Resources) timekeeper.Millis {
	ends := make([]timekeeper.Millis, len(j.Steps))
	longest := timekeeper.Millis(0)
	for i, s := range j.Steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate * timekeeper.Millis(s.Waves(room))
		longest = max(longest, ends[i])
	}
	return longest
}

// stepShareDivisor is the part of the room, as one in so many, that one step is expected to use at once.
const stepShareDivisor = 4

// Waves returns in how many waves the step's tasks run when they use their share of the room; a gang runs as one.
func (s Step) Waves(room Resources) int {
	if s.Gang {
		return 1
	}
	atOnce := max(s.Need.CountIn(Resources{room.MilliCores / stepShareDivisor, room.MemoryMB / stepShareDivisor, room.Accelerators / stepShareDivisor}, s.Count), 1)
	return (s.Count + atOnce - 1) / atOnce
}

// WithEstimates returns a copy in which each step has the estimate that what it declares leads to.
func (j Job) WithEstimates(estimate func(declared timekeeper.Millis) timekeeper.Millis) Job {
	j.Steps = slices.Clone(j.Steps)
	for i := range j.Steps {
		j.Steps[i].Estimate = estimate(j.Steps[i].Estimate)
	}
	return j
}

// Shape describes the steps for logs: tasks times accelerators and cores of each, how they run, and what they wait for.
func (j Job) Shape() string {
	parts := make([]string, len(j.Steps))
	for i, s := range j.Steps {
		parts[i] = s.shape()
	}
	return strings.Join(parts, ", ")
}

func (s Step) shape() string {
	text := fmt.Sprintf("%dx%da%dm", s.Count, s.Need.Accelerators, s.Need.MilliCores)
	switch {
	case s.Gang && s.OneRack:
		text += " rack-gang"
	case s.Gang:
		text += " gang"
	}
	if s.Checkpointing {
		text += " checkpointing"
	}
	if len(s.After) > 0 {
		text += fmt.Sprintf(" after%v", s.After)
	}
	return text
}

// Accelerators returns what all steps of one occurrence need together, as guarantees count it.
func (j Job) Accelerators() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Total().Accelerators
	}
	return n
}

const (
	maxSteps       = 64     // bounds the state that one submission makes
	maxTasks       = 4096   // likewise, for one step
	maxOccurrences = 1000   // likewise
	maxTotalTasks  = 20_000 // likewise, over all steps and occurrences
)

// Check reports what makes the job impossible to run as it stands, whatever the cluster.
func (j Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("a job has 1 to %d steps, got %d", maxSteps, len(j.Steps))
	}
	if j.Repeat < 0 || j.Repeat > maxOccurrences || j.Period < 0 {
		return fmt.Errorf("a job runs at most %d times, got %d", maxOccurrences, j.Repeat)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Count
	}
	if all := tasks * j.Occurrences(); all > maxTotalTasks {
		return fmt.Errorf("a job has at most %d tasks over all its times, got %d", maxTotalTasks, all)
	}
	return nil
}

func (s Step) check(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("a step has 1 to %d tasks, got %d", maxTasks, s.Count)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("amounts and estimates are not negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("a step may wait for earlier steps only, got %d", before)
		}
	}
	return nil
}
