package tracker

import (
	"errors"
	"fmt"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Command is a state transition; exactly one field is set.
type Command struct {
	Configure *modeler.Configuration `cbor:"1,keyasint,omitempty"`
	Submit    *modeler.Job           `cbor:"2,keyasint,omitempty"`
	Cancel    *Cancel                `cbor:"3,keyasint,omitempty"`
	Attach    *Attach                `cbor:"4,keyasint,omitempty"`
	Detach    *Detach                `cbor:"5,keyasint,omitempty"`
	Drain     *Drain                 `cbor:"6,keyasint,omitempty"`
	Report    *Report                `cbor:"7,keyasint,omitempty"`
	Assign    *Assign                `cbor:"8,keyasint,omitempty"`
	Prune     *Prune                 `cbor:"9,keyasint,omitempty"`
}

// Cancel cancels a job and marks its runs to be stopped.
type Cancel struct {
	Job modeler.JobID     `cbor:"1,keyasint"`
	At  timekeeper.Millis `cbor:"2,keyasint"` // since the Unix epoch
}

// Attach makes an agent process the one that controls a worker. An attachment by another agent process, or for another
// incarnation of the runner, or to a detached worker, raises the epoch. The worker keeps its runs until the agent has
// fenced requests of earlier epochs and reported the runs that no longer exist. Unless the incarnation is confirmed, an
// attachment for an earlier incarnation of the same runner is stale.
type Attach struct {
	Worker       string      `cbor:"1,keyasint"`
	Incarnation  Incarnation `cbor:"2,keyasint"`
	AgentProcess string      `cbor:"3,keyasint"`
	Profile      Profile     `cbor:"4,keyasint"`
	Draining     bool        `cbor:"5,keyasint,omitempty"`
	Confirmed    bool        `cbor:"6,keyasint,omitempty"` // the runner itself has answered as this incarnation
}

// Bounds of an attachment.
const (
	maxNameBytes    = 256
	maxLabels       = 64
	maxStartedAt    = 1 << 53
	maxMilliCores   = 10_000_000 // ten thousand cores
	maxMemoryMB     = 1 << 30
	maxAccelerators = 4096
)

// Check returns an error if the attachment would bring unbounded values into the state.
func (a Attach) Check() error {
	if a.Worker == "" || a.Incarnation.ID == "" {
		return errors.New("the worker or the runner has no name")
	}
	if a.Incarnation.StartedAt < 0 || a.Incarnation.StartedAt > maxStartedAt {
		return errors.New("the start time is out of range")
	}
	names := append([]string{a.Worker, a.Incarnation.ID, a.AgentProcess, a.Profile.Service, a.Profile.Zone}, a.Profile.Labels...)
	if len(a.Profile.Labels) > maxLabels || slices.ContainsFunc(names, func(name string) bool { return len(name) > maxNameBytes }) {
		return fmt.Errorf("there are more than %d labels, or a name has more than %d bytes", maxLabels, maxNameBytes)
	}
	c := a.Profile.Capacity
	if c.MilliCores < 0 || c.MilliCores > maxMilliCores || c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB || c.Accelerators < 0 || c.Accelerators > maxAccelerators {
		return errors.New("the capacity is out of range")
	}
	return nil
}

// Detach marks a worker as running nothing because its runner has left or its lease has ended.
type Detach struct {
	Worker      string       `cbor:"1,keyasint"`
	Epoch       uint64       `cbor:"2,keyasint"`
	Checkpoints []Checkpoint `cbor:"3,keyasint,omitempty"` // last known checkpoints of the lost runs
}

// Checkpoint is the last saved progress of a run.
type Checkpoint struct {
	Run   RunKey `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Drain marks a worker as draining, so that no further runs are started on it.
type Drain struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// EndKind says how a run ended.
type EndKind uint8

// The ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped        // stopped on request
	EndLost           // lost without a result, such as when the worker's lease expired
	EndGangBroken     // stopped because another member of the gang ended
	EndGangIncomplete // gave up because the other members of the gang did not start
	EndNeverStarted   // never started, and never will
)

// String returns the name of the kind that logs use.
func (k EndKind) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "unbegun"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// End is the end of one run. Number is the sequence number of the end in the runner's listing, or zero for an end that
// only the agent determined.
type End struct {
	Number     int               `cbor:"1,keyasint,omitempty"`
	Run        RunKey            `cbor:"2,keyasint"`
	Kind       EndKind           `cbor:"3,keyasint"`
	Checkpoint string            `cbor:"4,keyasint,omitempty"`
	RunTime    timekeeper.Millis `cbor:"5,keyasint,omitempty"` // zero if the agent did not observe the start
}

// Report records ends of runs on a worker under its current epoch.
type Report struct {
	Worker string            `cbor:"1,keyasint"`
	Epoch  uint64            `cbor:"2,keyasint"`
	Ends   []End             `cbor:"3,keyasint"`
	At     timekeeper.Millis `cbor:"4,keyasint"` // since the Unix epoch
}

// Start assigns one run of a task to a worker.
type Start struct {
	Run        RunKey `cbor:"1,keyasint"`
	Worker     string `cbor:"2,keyasint"`
	Epoch      uint64 `cbor:"3,keyasint"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Assign starts and stops runs. The starts of one gang are applied atomically.
type Assign struct {
	Starts []Start  `cbor:"1,keyasint,omitempty"`
	Stops  []RunKey `cbor:"2,keyasint,omitempty"`
}

// Prune deletes jobs that ended before a given time and have no runs left on any worker, and removed queues that no
// unfinished job refers to any more.
type Prune struct {
	Before timekeeper.Millis `cbor:"1,keyasint"` // since the Unix epoch
}

// Code is the outcome of a command.
type Code uint8

// The outcomes of a command.
const (
	Accepted Code = iota + 1
	NotFound      // no job has the given id
	Stale         // the incarnation or epoch is out of date, or the worker is unknown or detached
	Invalid       // the command cannot be decoded or is empty
)

// Answer is the result of applying a command.
type Answer struct {
	Code  Code   `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint,omitempty"` // epoch of the worker, set for Attach alone
	Index uint64 `cbor:"3,keyasint"`           // log index of the command
}
