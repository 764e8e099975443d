package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Class is the priority class of a job. A lower value has priority over a higher one.
type Class uint8

// The classes of jobs and requests, the most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
	numClasses
)

var classNames = [numClasses]string{"urgent", "normal", "batch"}

// String returns the name of the class in JSON and YAML.
func (c Class) String() string {
	if c >= numClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class with the given name in JSON and YAML.
func ParseClass(name string) (Class, error) {
	i := slices.Index(classNames[:], name)
	if i < 0 {
		return 0, fmt.Errorf("unknown class %q: want one of %s", name, strings.Join(classNames[:], ", "))
	}
	return Class(i), nil
}

// MarshalText returns the class's name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a class's name.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}

// JobSpec is a job as its workspace submitted it. It never changes.
type JobSpec struct {
	ID              string            `cbor:"1,keyasint" json:"id"`
	Workspace       string            `cbor:"2,keyasint" json:"workspace"`
	Class           Class             `cbor:"3,keyasint" json:"class"`
	Demand          placer.Demand     `cbor:"4,keyasint" json:"demand"`
	DeclaredRunTime timekeeper.Millis `cbor:"5,keyasint" json:"declared-run-millis"` // 0 if not declared
	Deadline        timekeeper.Millis `cbor:"6,keyasint" json:"deadline"`            // wall clock time, 0 if there is none
	CanCheckpoint   bool              `cbor:"7,keyasint" json:"can-checkpoint"`      // keeps its progress when stopped
	Repeatable      bool              `cbor:"8,keyasint" json:"repeatable"`          // may be restarted from its last checkpoint
	Payload         string            `cbor:"9,keyasint" json:"payload,omitempty"`   // passed to the platform unchanged
}

// Phase is a stage in the life cycle of a job.
type Phase uint8

// The phases of a job.
const (
	PhaseQueued   Phase = iota
	PhaseWaiting        // placed; waits until its accelerators are free
	PhaseArming         // holds its accelerators; members prepare, nothing runs yet
	PhaseRunning        // the start is committed
	PhaseStopping       // members are asked to stop
	PhaseEnded
	numPhases
)

var phaseNames = [numPhases]string{"queued", "waiting", "arming", "running", "stopping", "ended"}

// String returns the phase's name.
func (p Phase) String() string {
	if p >= numPhases {
		return "unknown"
	}
	return phaseNames[p]
}

// MarshalText returns the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// End is the result of a job.
type End uint8

// The ends of a job. EndNotRun is given only if no start was ever committed.
const (
	EndNone End = iota
	EndNotRun
	EndFinished
	EndFailed
	EndStopped
	EndUnknown
	numEnds
)

var endNames = [numEnds]string{"", "not-run", "finished", "failed", "stopped", "unknown"}

// String returns the name of the end, which is empty while the job has not ended.
func (e End) String() string {
	if e >= numEnds {
		return "invalid"
	}
	return endNames[e]
}

// MarshalText returns the end's name.
func (e End) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// stopCause is why a job is being stopped. It decides whether the job ends or is queued again.
type stopCause uint8

const (
	stopNone stopCause = iota
	stopPreempted
	stopCancelled
	stopFailed
	stopLost    // a member's worker was lost
	stopUnarmed // a member refused to arm or did not arm in time
)

// Job is a job and its progress. It is immutable; a change makes a copy.
//
// Invariants: Placement holds all members or none; in PhaseRunning every member was armed in the current Attempt;
// EndNotRun implies that EverStarted is false.
type Job struct {
	Spec         JobSpec           `cbor:"1,keyasint"`
	Phase        Phase             `cbor:"2,keyasint"`
	Attempt      int               `cbor:"3,keyasint"`
	Submitted    timekeeper.Millis `cbor:"4,keyasint"`
	Enqueued     timekeeper.Millis `cbor:"5,keyasint"` // start of the current wait
	Started      timekeeper.Millis `cbor:"6,keyasint"` // start of the current attempt's run
	EndedAt      timekeeper.Millis `cbor:"7,keyasint"`
	Placement    placer.Placement  `cbor:"8,keyasint"`
	Slot         SlotKey           `cbor:"9,keyasint"` // the slot it runs under, zero if it borrows
	Armed        bitset            `cbor:"10,keyasint"`
	Released     bitset            `cbor:"11,keyasint"` // parts whose members hold no accelerators any more
	EverStarted  bool              `cbor:"12,keyasint"`
	SavedRunTime timekeeper.Millis `cbor:"13,keyasint"` // run time saved by checkpoints
	StopCause    stopCause         `cbor:"14,keyasint"`
	StopDeadline timekeeper.Millis `cbor:"15,keyasint"`
	PreemptAt    timekeeper.Millis `cbor:"16,keyasint"` // when a reservation preempts borrowers, 0 if there is none
	Failures     int               `cbor:"17,keyasint"` // failed attempts
	End          End               `cbor:"18,keyasint"`
	Reason       string            `cbor:"19,keyasint"`
	MemberLost   bool              `cbor:"20,keyasint"` // a member of this attempt was lost, so its result is unknown
	Preempted    int               `cbor:"21,keyasint"`
	AttemptSaved timekeeper.Millis `cbor:"22,keyasint"` // least run time of this attempt that a stopped member saved
	Finished     int               `cbor:"23,keyasint"` // parts that finished in this attempt
	Rank         int               `cbor:"24,keyasint"` // order among batch jobs, fixed while queued
	FailedOn     []string          `cbor:"26,keyasint"` // distinct workers on which a member failed
	ArmFailures  int               `cbor:"25,keyasint"` // attempts that failed to arm
}

// maxSaved is the AttemptSaved of a job none of whose members has stopped yet.
const maxSaved = timekeeper.Millis(1) << 60

// Borrowed reports whether the job runs outside any guarantee.
func (j *Job) Borrowed() bool { return j.Slot == SlotKey{} }

// evictable reports whether the job may be preempted. A job that is not repeatable never is.
func (j *Job) evictable() bool {
	return j.Spec.Repeatable && (j.Phase == PhaseArming || j.Phase == PhaseRunning || j.Phase == PhaseWaiting)
}

// lostWork returns the accelerator-milliseconds that are lost if the job stops now. A reservation loses a fraction of
// the time that its gang has waited.
func (j *Job) lostWork(now timekeeper.Millis) int64 {
	const waitDivisor = 4
	if j.Phase == PhaseWaiting && j.PreemptAt > 0 {
		return int64(now-j.Enqueued) * int64(j.Spec.Demand.Total()) / waitDivisor
	}
	if j.Phase != PhaseRunning || j.Spec.CanCheckpoint {
		return 0
	}
	return int64(now-j.Started) * int64(max(j.Spec.Demand.Total(), 1))
}

// partIndex returns the index of the part on worker, or -1.
func (j *Job) partIndex(worker string) int {
	return slices.IndexFunc(j.Placement, func(p placer.Part) bool { return p.Worker == worker })
}

// bitset is an immutable set of part indexes.
type bitset []uint64

const wordBits = 64

func (b bitset) has(i int) bool { return i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0 }

func (b bitset) with(i int) bitset {
	out := make(bitset, max(len(b), i/wordBits+1))
	copy(out, b)
	out[i/wordBits] |= 1 << (i % wordBits)
	return out
}

// full reports whether the set contains every index from 0 to n-1.
func (b bitset) full(n int) bool {
	for i := range n {
		if !b.has(i) {
			return false
		}
	}
	return true
}

// Holds reports whether the job is placed on worker and its members there have not released their accelerators.
func (j *Job) Holds(worker string) bool {
	i := j.partIndex(worker)
	return i >= 0 && !j.Released.has(i)
}

// ArmedOn reports whether the members on worker have reported that they are armed.
func (j *Job) ArmedOn(worker string) bool {
	i := j.partIndex(worker)
	return i >= 0 && j.Armed.has(i)
}
