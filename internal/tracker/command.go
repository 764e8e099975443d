package tracker

import (
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Command is one change of the state; exactly one field is set.
type Command struct {
	Configure *modeler.Configuration `cbor:"1,keyasint,omitempty"`
	Submit    *modeler.Job           `cbor:"2,keyasint,omitempty"`
	Cancel    *Cancel                `cbor:"3,keyasint,omitempty"`
	Attach    *Attach                `cbor:"4,keyasint,omitempty"`
	Detach    *Detach                `cbor:"5,keyasint,omitempty"`
	Drain     *Drain                 `cbor:"6,keyasint,omitempty"`
	Report    *Report                `cbor:"7,keyasint,omitempty"`
	Assign    *Assign                `cbor:"8,keyasint,omitempty"`
	Forget    *Forget                `cbor:"9,keyasint,omitempty"`
}

// Cancel ends a job; its runs are stopped.
type Cancel struct {
	Job modeler.JobID     `cbor:"1,keyasint"`
	At  timekeeper.Millis `cbor:"2,keyasint"` // since the Unix epoch
}

// Attach makes an agent process the one that gives orders on a worker. An attachment by another process, or of
// another life, raises the epoch. The worker keeps its runs until the agent, which then fences earlier orders, has
// reported those that are not there any more.
type Attach struct {
	Worker   string  `cbor:"1,keyasint"`
	Life     Life    `cbor:"2,keyasint"`
	Process  string  `cbor:"3,keyasint"`
	Profile  Profile `cbor:"4,keyasint"`
	Draining bool    `cbor:"5,keyasint,omitempty"`
}

// Detach notes that nothing runs on a worker any more: its runner has left, or its lease has ended.
type Detach struct {
	Worker string       `cbor:"1,keyasint"`
	Epoch  uint64       `cbor:"2,keyasint"`
	Saved  []Checkpoint `cbor:"3,keyasint,omitempty"` // last known of the runs that are lost
}

// Checkpoint is where a run had saved its progress.
type Checkpoint struct {
	Run   RunKey `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Drain notes that a worker will leave.
type Drain struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// EndKind is how a run ended.
type EndKind uint8

// The kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped // by an order
	EndLapsed  // the lease ended
	EndBroken  // another member of the gang ended
	EndAlone   // the other members of the gang did not come
	EndUnbegun // the run never began and never will
)

// String returns the kind as it stands in logs.
func (k EndKind) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "unbegun"}[k]
}

// End is the end of one run, as the runner lists it; Number is zero where only the agent knows.
type End struct {
	Number     int               `cbor:"1,keyasint,omitempty"`
	Run        RunKey            `cbor:"2,keyasint"`
	Kind       EndKind           `cbor:"3,keyasint"`
	Checkpoint string            `cbor:"4,keyasint,omitempty"`
	Took       timekeeper.Millis `cbor:"5,keyasint,omitempty"` // since it began; zero where the agent did not see that
}

// Report records ends of runs of a worker's present life.
type Report struct {
	Worker string            `cbor:"1,keyasint"`
	Epoch  uint64            `cbor:"2,keyasint"`
	Ends   []End             `cbor:"3,keyasint"`
	At     timekeeper.Millis `cbor:"4,keyasint"` // since the Unix epoch
}

// Start is the order to run a task on a worker.
type Start struct {
	Run        RunKey `cbor:"1,keyasint"`
	Worker     string `cbor:"2,keyasint"`
	Epoch      uint64 `cbor:"3,keyasint"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Assign gives out runs and takes runs back. The starts of one gang take effect together or not at all.
type Assign struct {
	Starts []Start  `cbor:"1,keyasint,omitempty"`
	Stops  []RunKey `cbor:"2,keyasint,omitempty"`
}

// Forget drops jobs that ended before a time and have no run left.
type Forget struct {
	Before timekeeper.Millis `cbor:"1,keyasint"` // since the Unix epoch
}

// Code tells what became of a command.
type Code uint8

// The codes of answers.
const (
	Accepted Code = iota + 1
	NotFound      // there is no such job or worker
	Stale         // the command belongs to an earlier life, epoch or process
	Invalid       // the command cannot be read
)

// Answer is what a command did.
type Answer struct {
	Code  Code   `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint,omitempty"` // of an attachment
	Index uint64 `cbor:"3,keyasint"`           // of the command in the log
}
