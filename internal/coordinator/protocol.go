package coordinator

import (
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const serviceName = "lagoonmill.coordinator"

// The full names of the service's methods.
const (
	MethodSubmit     = "/" + serviceName + "/Submit"
	MethodCall       = "/" + serviceName + "/Call"
	MethodConfigure  = "/" + serviceName + "/Configure"
	MethodRead       = "/" + serviceName + "/Read"
	MethodAttach     = "/" + serviceName + "/Attach"
	MethodWatch      = "/" + serviceName + "/Watch"
	MethodReport     = "/" + serviceName + "/Report"
	MethodDeregister = "/" + serviceName + "/Leave"
	MethodJoin       = "/" + serviceName + "/Join"
)

// Outcome is the result of a caller's call.
type Outcome uint8

// The outcomes of calls.
const (
	OutcomeOK            Outcome = iota + 1
	OutcomeUnconfigured          // no configuration is known yet
	OutcomeNoQueue               // no queue matches the host and path
	OutcomeUnauthorized          // the key belongs to no workspace
	OutcomeUnknownJob            // no such job exists
	OutcomeInvalid               // the job is malformed or can never run
	OutcomeRefused               // the job was not stored and will not run; RetryAfter tells when to retry
	OutcomeNotAcceptable         // the configuration is invalid
	OutcomeUnsupported           // the job was not stored and will not run: such jobs are not supported
)

// Address holds the host name and path that a caller's call goes to, and the caller's key.
type Address struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// SubmitRequest submits a job. The job's ID is the part of the path after the queue's prefix.
type SubmitRequest struct {
	Address Address           `cbor:"1,keyasint"`
	Payload string            `cbor:"2,keyasint,omitempty"`
	Steps   []modeler.Step    `cbor:"3,keyasint"`
	Repeat  int               `cbor:"4,keyasint,omitempty"` // Repeat, StartAt and Period are as in modeler.Job
	StartAt timekeeper.Millis `cbor:"5,keyasint,omitempty"`
	Period  timekeeper.Millis `cbor:"6,keyasint,omitempty"`
	Resent  bool              `cbor:"7,keyasint,omitempty"` // an earlier attempt of this call may have reached a replica
}

// MarkResent implements locator.Resendable.
func (r *SubmitRequest) MarkResent() { r.Resent = true }

// CallKind is what a call asks for.
type CallKind uint8

// The kinds of calls.
const (
	CallState  CallKind = iota + 1 // returns a job's phase, or the number of a queue's jobs of which nothing has started
	CallCancel                     // ends a job
)

// CallRequest is a call about a job or a queue.
type CallRequest struct {
	Kind    CallKind `cbor:"1,keyasint"`
	Address Address  `cbor:"2,keyasint"`
	Resent  bool     `cbor:"3,keyasint,omitempty"` // an earlier attempt of this call may have reached a replica
}

// MarkResent implements locator.Resendable.
func (r *CallRequest) MarkResent() { r.Resent = true }

// CallResponse answers SubmitRequest and CallRequest.
type CallResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Outcome       Outcome           `cbor:"2,keyasint"`
	Phase         tracker.JobPhase  `cbor:"3,keyasint,omitempty"`
	Count         int               `cbor:"4,keyasint,omitempty"`
	IsCount       bool              `cbor:"7,keyasint,omitempty"` // the path named a queue, so that Count is the answer
	RetryAfter    timekeeper.Millis `cbor:"5,keyasint,omitempty"`
	Reason        string            `cbor:"6,keyasint,omitempty"`
}

// ConfigureRequest replaces the configuration unless the same or a newer version is in force.
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
	Reason        string  `cbor:"5,keyasint,omitempty"`
}

// AttachRequest makes the sending agent the one that controls its worker.
type AttachRequest struct {
	Attach tracker.Attach `cbor:"1,keyasint"`
}

// AttachResponse gives the fencing token, Epoch.
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

// StartReport is a run that the agent has received and the runner does not list yet.
type StartReport struct {
	Run       tracker.RunKey    `cbor:"1,keyasint"`
	Confirmed bool              `cbor:"2,keyasint,omitempty"` // the runner has confirmed the start
	Since     timekeeper.Millis `cbor:"3,keyasint,omitempty"` // time since the confirmation
	Cause     StartCause        `cbor:"4,keyasint,omitempty"` // why the start is not confirmed
}

// WatchRequest asks for the worker's runs and a lease. It is answered when the runs change, or after WatchTimeout.
type WatchRequest struct {
	Worker             string            `cbor:"1,keyasint"`
	Epoch              uint64            `cbor:"2,keyasint"`
	KnownVersion       uint64            `cbor:"3,keyasint,omitempty"` // version of the assignments that the agent holds
	Running            []RunReport       `cbor:"4,keyasint,omitempty"`
	Draining           bool              `cbor:"5,keyasint,omitempty"`
	DrainTimeLeft      timekeeper.Millis `cbor:"6,keyasint,omitempty"` // minimum time left to a draining worker
	RunnerUnresponsive bool              `cbor:"7,keyasint,omitempty"` // the agent wants no lease
	Starts             []StartReport     `cbor:"8,keyasint,omitempty"`
}

// Assignment is a run that is assigned to the worker.
type Assignment struct {
	Run        tracker.RunKey `cbor:"1,keyasint"`
	Payload    string         `cbor:"2,keyasint,omitempty"`
	Checkpoint string         `cbor:"3,keyasint,omitempty"`
	Stop       bool           `cbor:"4,keyasint,omitempty"`
	Epoch      uint64         `cbor:"5,keyasint"` // of the attachment under which it was assigned
}

// WatchResponse gives a lease and the worker's runs, which are omitted while their version is
// WatchRequest.KnownVersion.
type WatchResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Lost          bool              `cbor:"2,keyasint,omitempty"` // the attachment is no longer valid
	Version       uint64            `cbor:"3,keyasint,omitempty"`
	Assignments   []Assignment      `cbor:"4,keyasint,omitempty"`
	CommittedEnd  int               `cbor:"5,keyasint,omitempty"` // number of the last end that is in the log
	Lease         timekeeper.Millis `cbor:"6,keyasint,omitempty"` // counted from when the agent sent the request
}

// ReportRequest reports ends of runs.
type ReportRequest struct {
	Report tracker.Report `cbor:"1,keyasint"`
}

// ReportResponse confirms that the ends are committed, unless Lost is set.
type ReportResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Lost          bool `cbor:"2,keyasint,omitempty"`
}

// DeregisterRequest reports that the worker's runner has ended.
type DeregisterRequest struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// DeregisterResponse confirms that the attachment has ended.
type DeregisterResponse struct {
	locator.Reply `cbor:"1,keyasint"`
}

// JoinRequest asks to receive the log as a learner, which becomes a voter once one is needed.
type JoinRequest struct {
	ID      replicator.ReplicaID `cbor:"1,keyasint"`
	Address string               `cbor:"2,keyasint"`
}

// JoinResponse confirms that the replica is a member.
type JoinResponse struct {
	locator.Reply `cbor:"1,keyasint"`
}
