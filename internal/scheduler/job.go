package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Class orders jobs by urgency; a lower class goes first.
type Class uint8

// The numClasses of jobs and requests.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
	numClasses
)

var classNames = [numClasses]string{"urgent", "normal", "batch"}

// String returns the class's name in documents.
func (c Class) String() string {
	if c >= numClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class with the given name in documents.
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

// JobSpec is what a workspace submits; it never changes.
type JobSpec struct {
	ID         string            `cbor:"1,keyasint" json:"id"`
	Workspace  string            `cbor:"2,keyasint" json:"workspace"`
	Class      Class             `cbor:"3,keyasint" json:"class"`
	Demand     placer.Demand     `cbor:"4,keyasint" json:"demand"`
	Declared   timekeeper.Millis `cbor:"5,keyasint" json:"declared-run-millis"` // declared run time, zero when not declared
	Deadline   timekeeper.Millis `cbor:"6,keyasint" json:"deadline"`            // wall clock, zero when there is none
	Checkpoint bool              `cbor:"7,keyasint" json:"can-checkpoint"`      // keeps its progress when stopped
	Repeatable bool              `cbor:"8,keyasint" json:"repeatable"`          // may be started again from its last checkpoint
	Payload    string            `cbor:"9,keyasint" json:"payload,omitempty"`   // passed to the platform as it is
}

// Phase is where a job is on its way.
type Phase uint8

// The numPhases of a job.
const (
	PhaseQueued   Phase = iota
	PhaseWaiting        // placed; waits until its accelerators are free
	PhaseArming         // its accelerators are held; members make ready, nothing runs
	PhaseRunning        // start is committed
	PhaseStopping       // members were told to stop
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

// End is how a job ended.
type End uint8

// The numEnds of a job. NotRun is given only where no start was ever committed.
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

// String returns the end's name, empty while the job has not ended.
func (e End) String() string {
	if e >= numEnds {
		return "invalid"
	}
	return endNames[e]
}

// MarshalText returns the end's name.
func (e End) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// stopCause tells why a job is being stopped, and so what becomes of it.
type stopCause uint8

const (
	stopNone stopCause = iota
	stopPreempted
	stopCancelled
	stopFailed
	stopLost    // a member's worker was lost
	stopUnarmed // a member refused to arm or did not answer in time
)

// Job is a job with its progress. It is immutable: a change makes a copy.
//
// Invariants: Placement holds all members or none; in PhaseRunning every member was armed under Attempt; EndNotRun
// implies that EverStarted is false.
type Job struct {
	Spec         JobSpec           `cbor:"1,keyasint"`
	Phase        Phase             `cbor:"2,keyasint"`
	Attempt      int               `cbor:"3,keyasint"`
	Submitted    timekeeper.Millis `cbor:"4,keyasint"`
	Enqueued     timekeeper.Millis `cbor:"5,keyasint"` // start of the present wait
	Started      timekeeper.Millis `cbor:"6,keyasint"` // start of the present attempt's run
	EndedAt      timekeeper.Millis `cbor:"7,keyasint"`
	Placement    placer.Placement  `cbor:"8,keyasint"`
	Slot         SlotKey           `cbor:"9,keyasint"` // the guaranteed shape it runs under; zero when borrowed
	Armed        bitset            `cbor:"10,keyasint"`
	Released     bitset            `cbor:"11,keyasint"` // parts whose members hold nothing any more
	EverStarted  bool              `cbor:"12,keyasint"`
	Saved        timekeeper.Millis `cbor:"13,keyasint"` // run time kept by checkpoints
	StopCause    stopCause         `cbor:"14,keyasint"`
	StopBy       timekeeper.Millis `cbor:"15,keyasint"`
	PreemptAt    timekeeper.Millis `cbor:"16,keyasint"` // when a reservation takes its accelerators from others
	Failures     int               `cbor:"17,keyasint"` // attempts that failed
	End          End               `cbor:"18,keyasint"`
	Reason       string            `cbor:"19,keyasint"`
	MemberLost   bool              `cbor:"20,keyasint"` // a member of this attempt was lost, so its end is not known
	Preempted    int               `cbor:"21,keyasint"`
	AttemptSaved timekeeper.Millis `cbor:"22,keyasint"` // least run time of this attempt that its stopped members kept
	Finished     int               `cbor:"23,keyasint"` // parts that finished in this attempt
	Rank         int               `cbor:"24,keyasint"` // order among batch jobs, fixed while queued
	FailedOn     []string          `cbor:"26,keyasint"` // different workers on which a member failed
	ArmFailures  int               `cbor:"25,keyasint"` // attempts that could not be armed
}

// maxSaved stands for "no member has stopped yet" in Job.SavedNow.
const maxSaved = timekeeper.Millis(1) << 60

// Borrowed reports whether the job runs outside any guarantee.
func (j *Job) Borrowed() bool { return j.Slot == SlotKey{} }

// evictable reports whether the job may be stopped for another; one that may not be repeated never is.
func (j *Job) evictable() bool {
	return j.Spec.Repeatable && (j.Phase == PhaseArming || j.Phase == PhaseRunning || j.Phase == PhaseWaiting)
}

// lostWork returns the accelerator-milliseconds that stopping the job now throws away. A reservation loses a part of
// the time that its gang has waited.
func (j *Job) lostWork(now timekeeper.Millis) int64 {
	const waitShare = 4
	if j.Phase == PhaseWaiting && j.PreemptAt > 0 {
		return int64(now-j.Enqueued) * int64(j.Spec.Demand.Total()) / waitShare
	}
	if j.Phase != PhaseRunning || j.Spec.Checkpoint {
		return 0
	}
	return int64(now-j.Started) * int64(max(j.Spec.Demand.Total(), 1))
}

// partIndex returns the index of the part on worker, or -1.
func (j *Job) partIndex(worker string) int {
	return slices.IndexFunc(j.Placement, func(p placer.Part) bool { return p.Worker == worker })
}

// bitset is an immutable set of part numbers.
type bitset []uint64

const wordBits = 64

func (b bitset) has(i int) bool { return i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0 }

func (b bitset) with(i int) bitset {
	out := make(bitset, max(len(b), i/wordBits+1))
	copy(out, b)
	out[i/wordBits] |= 1 << (i % wordBits)
	return out
}

// full reports whether the parts 0 to n-1 are all in the set.
func (b bitset) full(n int) bool {
	for i := range n {
		if !b.has(i) {
			return false
		}
	}
	return true
}

// Holds reports whether the job's members on worker hold accelerators, or are told to.
func (j *Job) Holds(worker string) bool {
	i := j.partIndex(worker)
	return i >= 0 && !j.Released.has(i)
}

// ArmedOn reports whether the members on worker were reported as armed.
func (j *Job) ArmedOn(worker string) bool {
	i := j.partIndex(worker)
	return i >= 0 && j.Armed.has(i)
}
