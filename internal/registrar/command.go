package registrar

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Version is the command version that this program writes. It applies commands of lower versions too.
const Version = 1

// Command is one entry of the log. A command with a non-empty ID is applied at most once. At is the leader's log time
// when it accepted the command. Author is the operator who made Change. Exactly one of the remaining fields is set.
type Command struct {
	Version   int               `cbor:"1,keyasint"`
	ID        string            `cbor:"2,keyasint,omitempty"`
	At        timekeeper.Millis `cbor:"3,keyasint"`
	Author    string            `cbor:"4,keyasint,omitempty"`
	Change    *Change           `cbor:"5,keyasint,omitempty"`
	InForce   *InForce          `cbor:"6,keyasint,omitempty"`
	Events    []scheduler.Event `cbor:"7,keyasint,omitempty"`
	Attach    *Agent            `cbor:"8,keyasint,omitempty"`
	Detach    *Detach           `cbor:"9,keyasint,omitempty"`
	Requests  []RequestStep     `cbor:"10,keyasint,omitempty"`
	OwnerLost *OwnerLost        `cbor:"11,keyasint,omitempty"`
}

// Change is a change of the configuration. It is refused with CodeConflict unless BaseRevision is the latest
// revision. Exactly one of the pointers is set.
type Change struct {
	BaseRevision    uint64               `cbor:"1,keyasint"`
	Workspace       *scheduler.Workspace `cbor:"2,keyasint,omitempty"`
	RemoveWorkspace *string              `cbor:"3,keyasint,omitempty"`
	Preset          *Preset              `cbor:"4,keyasint,omitempty"`
	UsePreset       *string              `cbor:"5,keyasint,omitempty"`
}

// Preset is a named policy with request limits, such as for ordinary days, peaks or maintenance.
type Preset struct {
	Name   string           `cbor:"1,keyasint" json:"name" yaml:"name"`
	Policy scheduler.Policy `cbor:"2,keyasint" json:"policy" yaml:"policy"`
	Limits Limits           `cbor:"3,keyasint" json:"limits" yaml:"limits"`
}

// Limits are the request limits of a preset. A zero field stands for the entry's default.
type Limits struct {
	QueueUrgent        int               `cbor:"1,keyasint" json:"queue-urgent" yaml:"queue-urgent"` // maximum of queued requests at one entry
	QueueNormal        int               `cbor:"2,keyasint" json:"queue-normal" yaml:"queue-normal"`
	QueueBatch         int               `cbor:"3,keyasint" json:"queue-batch" yaml:"queue-batch"`
	RetryBudgetPercent int               `cbor:"4,keyasint" json:"retry-budget-percent" yaml:"retry-budget-percent"` // retries per hundred first attempts
	WaitBound          timekeeper.Millis `cbor:"5,keyasint" json:"wait-bound-millis" yaml:"wait-bound"`              // maximum wait of a request without a deadline
}

// InForce states that every entry and agent that holds a lease uses at least configuration Revision.
type InForce struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Agent is an agent process and what it announces. Each start of the process has a new Incarnation.
type Agent struct {
	ID          string         `cbor:"1,keyasint" json:"id"`
	Incarnation string         `cbor:"2,keyasint" json:"incarnation"`
	Address     string         `cbor:"3,keyasint" json:"address"` // HTTP address for requests, host:port
	Zone        string         `cbor:"4,keyasint" json:"availability-zone"`
	Worker      *placer.Worker `cbor:"5,keyasint" json:"worker,omitempty"`
	Runner      *Runner        `cbor:"6,keyasint" json:"runner,omitempty"`
}

// Runner is a backend server as announced by its agent.
type Runner struct {
	Service  string `cbor:"1,keyasint" json:"service"`
	Slots    int    `cbor:"2,keyasint" json:"slots"`   // maximum of concurrent requests
	Draining bool   `cbor:"3,keyasint" json:"leaving"` // accepts no new requests
}

// Detach removes an agent that has stopped in order or whose leases have expired.
type Detach struct {
	Agent       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// OwnerLost declares an entry process lost, since it was restarted or its lease has expired. Its claims are orphaned.
type OwnerLost struct {
	Owner string `cbor:"1,keyasint"`
}

// Code classifies an Answer.
type Code string

// The codes of answers.
const (
	CodeOK       Code = ""
	CodeConflict Code = "conflict"  // the change is not based on the latest revision
	CodeRefused  Code = "refused"   // the change or event is not valid
	CodeNotFound Code = "not-found" // the object named in the command does not exist
	CodeTooNew   Code = "too-new"   // the command has a higher version than this program supports
)

// Answer is the result of a command.
type Answer struct {
	Code     Code          `cbor:"1,keyasint,omitempty" json:"code,omitempty"`
	Reason   string        `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	Revision uint64        `cbor:"3,keyasint,omitempty" json:"revision,omitempty"`
	Index    uint64        `cbor:"4,keyasint,omitempty" json:"index,omitempty"`
	Requests []RequestView `cbor:"5,keyasint,omitempty" json:"-"`
}

// Err returns nil if the command succeeded, else an *AnswerError.
func (a Answer) Err() error {
	if a.Code == CodeOK {
		return nil
	}
	return &AnswerError{a}
}

// AnswerError is the error for an Answer with a code other than CodeOK.
type AnswerError struct {
	Answer Answer
}

// Error returns the code and the reason.
func (e *AnswerError) Error() string { return string(e.Answer.Code) + ": " + e.Answer.Reason }
