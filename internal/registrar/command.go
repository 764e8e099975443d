package registrar

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Version is the version of the commands that this program writes; it applies lower ones too.
const Version = 1

// Command is one entry of the log; ID makes it idempotent where it is not empty, and At is the proposer's wall
// clock. Exactly one of the other fields is set.
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

// Change is a change of the configuration, proposed on the revision that its author saw. Exactly one of the
// pointers is set.
type Change struct {
	Seen            uint64               `cbor:"1,keyasint"`
	Workspace       *scheduler.Workspace `cbor:"2,keyasint,omitempty"`
	RemoveWorkspace *string              `cbor:"3,keyasint,omitempty"`
	Preset          *Preset              `cbor:"4,keyasint,omitempty"`
	UsePreset       *string              `cbor:"5,keyasint,omitempty"`
}

// Preset is a named set of policies, for ordinary days, peaks or maintenance.
type Preset struct {
	Name   string           `cbor:"1,keyasint" json:"name" yaml:"name"`
	Policy scheduler.Policy `cbor:"2,keyasint" json:"policy" yaml:"policy"`
	Limits Limits           `cbor:"3,keyasint" json:"limits" yaml:"limits"`
}

// Limits is what a preset sets for requests. A zero field takes the entry's default.
type Limits struct {
	QueueUrgent        int               `cbor:"1,keyasint" json:"queue-urgent" yaml:"queue-urgent"` // requests that may wait at one entry
	QueueNormal        int               `cbor:"2,keyasint" json:"queue-normal" yaml:"queue-normal"`
	QueueBatch         int               `cbor:"3,keyasint" json:"queue-batch" yaml:"queue-batch"`
	RetryBudgetPercent int               `cbor:"4,keyasint" json:"retry-budget-percent" yaml:"retry-budget-percent"` // retries per hundred first tries
	WaitBound          timekeeper.Millis `cbor:"5,keyasint" json:"wait-bound-millis" yaml:"wait-bound"`              // longest wait of a request without a deadline
}

// InForce tells that every holder of the configuration works on Revision or on nothing.
type InForce struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Agent is an agent process with what it announces; a new Incarnation means that the process was started anew.
type Agent struct {
	ID          string         `cbor:"1,keyasint" json:"id"`
	Incarnation string         `cbor:"2,keyasint" json:"incarnation"`
	Address     string         `cbor:"3,keyasint" json:"address"` // HTTP address for requests, host:port
	Zone        string         `cbor:"4,keyasint" json:"availability-zone"`
	Worker      *placer.Worker `cbor:"5,keyasint" json:"worker,omitempty"`
	Runner      *Runner        `cbor:"6,keyasint" json:"runner,omitempty"`
}

// Runner is a backend server as its agent announces it.
type Runner struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Slots   int    `cbor:"2,keyasint" json:"slots"`   // requests it serves at once
	Leaving bool   `cbor:"3,keyasint" json:"leaving"` // takes no new requests
}

// Detach tells that an agent's leases have ended and nothing was heard of it since.
type Detach struct {
	Agent       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// OwnerLost tells that an entry process has ended or that its lease has: its pending claims are nobody's.
type OwnerLost struct {
	Owner string `cbor:"1,keyasint"`
}

// Code is the kind of an answer that is no success.
type Code string

// The codes of answers.
const (
	CodeOK       Code = ""
	CodeConflict Code = "conflict"  // the revision seen is not the present one
	CodeRefused  Code = "refused"   // the change or event cannot be accepted
	CodeNotFound Code = "not-found" // what it names does not exist
	CodeTooNew   Code = "too-new"   // a newer program wrote the command
)

// Answer is what a command's author is told.
type Answer struct {
	Code     Code          `cbor:"1,keyasint,omitempty" json:"code,omitempty"`
	Reason   string        `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	Revision uint64        `cbor:"3,keyasint,omitempty" json:"revision,omitempty"`
	Index    uint64        `cbor:"4,keyasint,omitempty" json:"index,omitempty"`
	Requests []RequestView `cbor:"5,keyasint,omitempty" json:"-"`
}

// Err returns the answer as an error, or nil where it is a success.
func (a Answer) Err() error {
	if a.Code == CodeOK {
		return nil
	}
	return &AnswerError{a}
}

// An AnswerError is an answer that is no success.
type AnswerError struct {
	Answer Answer
}

// Error returns the code and the reason.
func (e *AnswerError) Error() string { return string(e.Answer.Code) + ": " + e.Answer.Reason }
