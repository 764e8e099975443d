package modeler

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// JobID identifies a job permanently. The caller chooses it.
type JobID string

// Resources is an amount of a worker's resources.
type Resources struct {
	MilliCores   int `cbor:"1,keyasint,omitempty"`
	MemoryMB     int `cbor:"2,keyasint,omitempty"`
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r minus o. Amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCores * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether no amount of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// FitCount returns how many times r fits into free, at most limit.
func (r Resources) FitCount(free Resources, limit int) int {
	n := fitCount(r.MilliCores, free.MilliCores, limit)
	n = fitCount(r.MemoryMB, free.MemoryMB, n)
	return fitCount(r.Accelerators, free.Accelerators, n)
}

func fitCount(need, free, limit int) int {
	if need <= 0 {
		return limit
	}
	return max(min(limit, free/need), 0)
}

// Weight returns r as a single number in thousandths of a core. An accelerator counts as eight cores, memory does not
// count.
func (r Resources) Weight() int { return r.MilliCores + acceleratorMilliCores*r.Accelerators }

// acceleratorMilliCores is the weight of an accelerator in thousandths of a core, as users price the two.
const acceleratorMilliCores = 8000

// Step is a number of identical tasks of a job.
type Step struct {
	Count         int               `cbor:"1,keyasint"`
	Need          Resources         `cbor:"2,keyasint"` // of each task
	Estimate      timekeeper.Millis `cbor:"3,keyasint,omitempty"`
	After         []int             `cbor:"4,keyasint,omitempty"`  // indexes of the steps that must be done first
	Checkpointing bool              `cbor:"5,keyasint,omitempty"`  // runs save checkpoints
	Gang          bool              `cbor:"6,keyasint,omitempty"`  // all tasks run at the same time or none does
	OneRack       bool              `cbor:"7,keyasint,omitempty"`  // the gang is much slower across racks
	DataRack      string            `cbor:"8,keyasint,omitempty"`  // the tasks are much slower in other racks
	Label         string            `cbor:"9,keyasint,omitempty"`  // label that a worker must have to run the tasks
	MaxPerWorker  int               `cbor:"10,keyasint,omitempty"` // zero for no limit
	LongRunning   bool              `cbor:"11,keyasint,omitempty"` // runs until the job is cancelled
	Speculative   bool              `cbor:"12,keyasint,omitempty"` // parallel runs of one task are allowed
	MaxAway       int               `cbor:"13,keyasint,omitempty"` // tasks of a long-running step that may be away at once by our stops; zero for no limit
}

// Total returns the resources that all tasks of the step need at the same time.
func (s Step) Total() Resources { return s.Need.Times(s.Count) }

// Job is a job as submitted by a caller.
type Job struct {
	ID        JobID             `cbor:"1,keyasint"`
	Queue     string            `cbor:"2,keyasint"`
	Workspace string            `cbor:"3,keyasint,omitempty"`
	Payload   string            `cbor:"4,keyasint,omitempty"` // passed to every run unchanged
	Steps     []Step            `cbor:"5,keyasint"`
	Submitted timekeeper.Millis `cbor:"6,keyasint"`           // since the Unix epoch, by the accepting leader's clock
	Repeat    int               `cbor:"7,keyasint,omitempty"` // number of scheduled occurrences; zero to run once, now
	StartAt   timekeeper.Millis `cbor:"8,keyasint,omitempty"` // due time of the first occurrence, since the Unix epoch
	Period    timekeeper.Millis `cbor:"9,keyasint,omitempty"` // between occurrences
}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int { return max(j.Repeat, 1) }

// DueAt returns the earliest time at which an occurrence may start, since the Unix epoch.
func (j Job) DueAt(occurrence int) timekeeper.Millis {
	if j.Repeat == 0 {
		return j.Submitted
	}
	return j.StartAt + timekeeper.Millis(occurrence)*j.Period
}

// Work returns the sum over the tasks of one occurrence of weight times estimate, in thousandths of a core times
// milliseconds, or maxWork if that is less.
func (j Job) Work() int {
	total := 0.0
	for _, s := range j.Steps {
		total += float64(s.Count) * float64(s.Need.Weight()) * float64(s.Estimate)
	}
	return int(min(total, maxWork))
}

// maxWork leaves room for sums and small multiples.
const maxWork = 1 << 56

// CriticalPath returns the length of the critical path: the longest chain of estimates through the job's dependencies.
// The capacity is that of all workers together. A step that needs more than its expected share of it runs in several
// waves.
func (j Job) CriticalPath(capacity Resources) timekeeper.Millis {
	ends := make([]timekeeper.Millis, len(j.Steps))
	longest := timekeeper.Millis(0)
	for i, s := range j.Steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate * timekeeper.Millis(s.Waves(capacity))
		longest = max(longest, ends[i])
	}
	return longest
}

// stepShareDivisor divides the capacity into the share that one step is expected to use at the same time.
const stepShareDivisor = 4

// Waves returns the number of waves in which the step's tasks run when they use one share of the capacity. A gang runs
// in a single wave.
func (s Step) Waves(capacity Resources) int {
	if s.Gang {
		return 1
	}
	atOnce := max(s.Need.FitCount(Resources{capacity.MilliCores / stepShareDivisor, capacity.MemoryMB / stepShareDivisor, capacity.Accelerators / stepShareDivisor}, s.Count), 1)
	return (s.Count + atOnce - 1) / atOnce
}

// WithEstimates returns a copy of j in which estimate replaces the declared estimate of each step.
func (j Job) WithEstimates(estimate func(declared timekeeper.Millis) timekeeper.Millis) Job {
	j.Steps = slices.Clone(j.Steps)
	for i := range j.Steps {
		j.Steps[i].Estimate = estimate(j.Steps[i].Estimate)
	}
	return j
}

// Shape describes the steps for logs: the number of tasks, the accelerators and millicores of each task, how the tasks
// run, and the steps that they depend on.
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

// Accelerators returns how many accelerators one occurrence needs at once at most, which is what counts against a guarantee.
// Steps that run in turn share theirs. The result is too high only for steps that fork and join in several ways.
func (j Job) Accelerators() int {
	var chains []stepChain
	earlier := make([]uint64, len(j.Steps)) // by step: the set of steps that are done before it starts
	for i, s := range j.Steps {
		for _, before := range s.After {
			earlier[i] |= earlier[before] | 1<<before
		}
		need := s.Total().Accelerators
		at := slices.IndexFunc(chains, func(c stepChain) bool { return earlier[i]&(1<<c.last) != 0 })
		if at < 0 {
			chains = append(chains, stepChain{i, need})
			continue
		}
		chains[at] = stepChain{i, max(chains[at].most, need)}
	}
	total := 0
	for _, c := range chains {
		total += c.most
	}
	return total
}

// stepChain is a number of steps that run in turn.
type stepChain struct {
	last int // index of the last step
	most int // accelerators of the step that needs most
}

const (
	maxSteps       = 64     // limits the state that one submission creates; a set of steps fits in 64 bits
	maxTasks       = 4096   // likewise, per step
	maxOccurrences = 1000   // likewise
	maxTotalTasks  = 20_000 // likewise, in all steps and occurrences
	maxIDBytes     = 256    // the id is part of every command about a run
	maxNameBytes   = 256    // of a label or rack
	maxAmount      = 1 << 31
	maxSpan        = 1_000_000_000_000 * timekeeper.Millis(1) // about 30 years; sums of estimates and periods must not overflow
	maxStart       = 1000 * maxSpan
)

// CheckShape returns an error if no state can hold the job: the numbers of its steps and tasks are out of range, or a
// step depends on one that does not come before it. Every version must give the same answer, since replicas apply it to
// commands of the log; further conditions belong into Check.
func (j Job) CheckShape() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("a job must have 1 to %d steps, got %d", maxSteps, len(j.Steps))
	}
	if j.Repeat < 0 || j.Repeat > maxOccurrences || j.Period < 0 {
		return fmt.Errorf("a job may run at most %d times, with no negative period, got %d", maxOccurrences, j.Repeat)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.checkShape(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Count
	}
	if total := tasks * j.Occurrences(); total > maxTotalTasks {
		return fmt.Errorf("a job may have at most %d tasks in all its occurrences, got %d", maxTotalTasks, total)
	}
	return nil
}

func (s Step) checkShape(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("a step must have 1 to %d tasks, got %d", maxTasks, s.Count)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("a step may depend on earlier steps only, got %d", before)
		}
	}
	return nil
}

// notInID reports whether a job's id may not hold a character. Names of runs and lines of logs are made of ids, with other
// characters around them.
func notInID(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-' && r != '_'
}

// Check returns an error if the job is invalid regardless of the cluster.
func (j Job) Check() error {
	if j.ID == "" || len(j.ID) > maxIDBytes {
		return fmt.Errorf("a job must have an id of 1 to %d bytes, got %d", maxIDBytes, len(j.ID))
	}
	if strings.ContainsFunc(string(j.ID), notInID) {
		return errors.New("the id of a job must consist of letters, digits, '-' and '_'")
	}
	if err := j.CheckShape(); err != nil {
		return err
	}
	if j.StartAt < -maxStart || j.StartAt > maxStart || j.Period > maxSpan {
		return fmt.Errorf("the start and the period must be within %d and %d ms", maxStart, maxSpan)
	}
	for i, s := range j.Steps {
		if err := s.check(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s Step) check() error {
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("amounts and estimates must not be negative")
	}
	if max(s.Need.MilliCores, s.Need.MemoryMB, s.Need.Accelerators) > maxAmount || s.Estimate > maxSpan {
		return fmt.Errorf("amounts may be at most %d and estimates %d ms", maxAmount, maxSpan)
	}
	if len(s.Label) > maxNameBytes || len(s.DataRack) > maxNameBytes {
		return fmt.Errorf("names of labels and racks may have at most %d bytes", maxNameBytes)
	}
	if len(slices.Compact(slices.Sorted(slices.Values(s.After)))) < len(s.After) {
		return errors.New("a step may name each step that it depends on once")
	}
	return nil
}
