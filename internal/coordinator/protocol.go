package coordinator

import (
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const serviceName = "lagoonmill.coordinator"

// The methods of the service, as full names.
const (
	MethodSubmit    = "/" + serviceName + "/Submit"
	MethodCall      = "/" + serviceName + "/Call"
	MethodConfigure = "/" + serviceName + "/Configure"
	MethodRead      = "/" + serviceName + "/Read"
	MethodAttach    = "/" + serviceName + "/Attach"
	MethodWatch     = "/" + serviceName + "/Watch"
	MethodReport    = "/" + serviceName + "/Report"
	MethodLeave     = "/" + serviceName + "/Leave"
	MethodJoin      = "/" + serviceName + "/Join"
)

// Outcome is how a caller's call was decided.
type Outcome uint8

// The outcomes of calls.
const (
	OutcomeOK            Outcome = iota + 1
	OutcomeUnconfigured          // no configuration is known yet
	OutcomeNoQueue               // no queue has this host and path
	OutcomeUnauthorized          // the key belongs to no workspace
	OutcomeUnknownJob            // no such job exists
	OutcomeInvalid               // the job cannot be read or can never run
	OutcomeRefused               // the job was not stored and never runs; RetryAfter tells when to come again
	OutcomeNotAcceptable         // the configuration is invalid
	OutcomeUnsupported           // the job was not stored and never runs: the product cannot run such a job
)

// Address is where a caller's call goes: the host name, the path and the caller's key.
type Address struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// SubmitRequest submits a job; its id is the rest of the path behind the queue's prefix.
type SubmitRequest struct {
	Address Address           `cbor:"1,keyasint"`
	Payload string            `cbor:"2,keyasint,omitempty"`
	Steps   []modeler.Step    `cbor:"3,keyasint"`
	Repeat  int               `cbor:"4,keyasint,omitempty"` // with StartAt and Period as a job has them
	StartAt timekeeper.Millis `cbor:"5,keyasint,omitempty"`
	Period  timekeeper.Millis `cbor:"6,keyasint,omitempty"`
}

// CallKind tells what a call asks for.
type CallKind uint8

// The kinds of calls.
const (
	CallState  CallKind = iota + 1 // a job's phase; of a queue, its jobs that nothing has been started of
	CallCancel                     // the end of a job
)

// CallRequest is a call about a job or a queue.
type CallRequest struct {
	Kind    CallKind `cbor:"1,keyasint"`
	Address Address  `cbor:"2,keyasint"`
}

// CallResponse answers SubmitRequest and CallRequest.
type CallResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Outcome       Outcome           `cbor:"2,keyasint"`
	Phase         tracker.JobPhase  `cbor:"3,keyasint,omitempty"`
	Count         int               `cbor:"4,keyasint,omitempty"`
	IsCount       bool              `cbor:"7,keyasint,omitempty"` // the path named a queue: Count was asked for
	RetryAfter    timekeeper.Millis `cbor:"5,keyasint,omitempty"`
	Reason        string            `cbor:"6,keyasint,omitempty"`
}

// ConfigureRequest replaces the configuration unless a newer one is in force.
type ConfigureRequest struct {
	Configuration modeler.Configuration `cbor:"1,keyasint"`
}

// ReadRequest asks for the configuration in force.
type ReadRequest struct{}

// ConfigurationResponse answers ConfigureRequest and ReadRequest.
type ConfigurationResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Outcome       Outcome `cbor:"2,keyasint"`
	Version       uint64  `cbor:"3,keyasint"` // in force
	Source        []byte  `cbor:"4,keyasint,omitempty"`
}

// AttachRequest makes the agent the one that gives orders on its worker.
type AttachRequest struct {
	Attach tracker.Attach `cbor:"1,keyasint"`
}

// AttachResponse gives the fencing token.
type AttachResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Accepted      bool   `cbor:"2,keyasint"`
	Epoch         uint64 `cbor:"3,keyasint,omitempty"`
}

// RunReport is a run as the runner lists it.
type RunReport struct {
	Run        tracker.RunKey `cbor:"1,keyasint"`
	Percent    int            `cbor:"2,keyasint,omitempty"`
	Checkpoint string         `cbor:"3,keyasint,omitempty"`
}

// WatchRequest asks for the worker's runs and a lease; it is answered when they change, or after HoldTime.
type WatchRequest struct {
	Worker   string            `cbor:"1,keyasint"`
	Epoch    uint64            `cbor:"2,keyasint"`
	Seen     uint64            `cbor:"3,keyasint,omitempty"` // the version of the orders that the agent holds
	Running  []RunReport       `cbor:"4,keyasint,omitempty"`
	Draining bool              `cbor:"5,keyasint,omitempty"`
	Leaving  timekeeper.Millis `cbor:"6,keyasint,omitempty"` // what is left at least to a worker that drains
	Mute     bool              `cbor:"7,keyasint,omitempty"` // the runner does not answer: no lease is wanted
}

// Order is a run that the worker holds.
type Order struct {
	Run        tracker.RunKey `cbor:"1,keyasint"`
	Payload    string         `cbor:"2,keyasint,omitempty"`
	Checkpoint string         `cbor:"3,keyasint,omitempty"`
	Stop       bool           `cbor:"4,keyasint,omitempty"`
	Epoch      uint64         `cbor:"5,keyasint"` // of the attachment that it was assigned under
}

// WatchResponse gives the worker's runs, unless they are as Seen, and a lease.
type WatchResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Lost          bool              `cbor:"2,keyasint,omitempty"` // the attachment no longer holds
	Version       uint64            `cbor:"3,keyasint,omitempty"`
	Orders        []Order           `cbor:"4,keyasint,omitempty"`
	Recorded      int               `cbor:"5,keyasint,omitempty"` // number of the last end that is in the log
	Lease         timekeeper.Millis `cbor:"6,keyasint,omitempty"` // counted from when the agent sent the request
}

// ReportRequest hands in ends of runs.
type ReportRequest struct {
	Report tracker.Report `cbor:"1,keyasint"`
}

// ReportResponse tells that the ends are in the log.
type ReportResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Lost          bool `cbor:"2,keyasint,omitempty"`
}

// LeaveRequest tells that the worker's runner has ended.
type LeaveRequest struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// LeaveResponse tells that the end is in the log.
type LeaveResponse struct {
	locator.Reply `cbor:"1,keyasint"`
}

// JoinRequest asks to receive the log, and to vote once that helps.
type JoinRequest struct {
	ID      replicator.ReplicaID `cbor:"1,keyasint"`
	Address string               `cbor:"2,keyasint"`
}

// JoinResponse tells that the replica is a member.
type JoinResponse struct {
	locator.Reply `cbor:"1,keyasint"`
}
