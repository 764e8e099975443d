package scheduler

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Outcome is the result of a job's members on one worker.
type Outcome uint8

// The outcomes of members.
const (
	OutcomeFinished Outcome = iota
	OutcomeFailed
	OutcomeStopped
)

// Event is an input of the scheduler. Exactly one field is set.
type Event struct {
	WorkerJoined     *placer.Worker  `cbor:"1,keyasint,omitempty" json:"worker-joined,omitempty" yaml:"worker-joined,omitempty"`
	WorkerLost       *WorkerLost     `cbor:"2,keyasint,omitempty" json:"worker-lost,omitempty" yaml:"worker-lost,omitempty"`
	WorkerDrained    *WorkerDrained  `cbor:"3,keyasint,omitempty" json:"worker-drained,omitempty" yaml:"worker-drained,omitempty"`
	JobSubmitted     *JobSpec        `cbor:"4,keyasint,omitempty" json:"job-submitted,omitempty" yaml:"job-submitted,omitempty"`
	JobsCancelled    *JobsCancelled  `cbor:"5,keyasint,omitempty" json:"jobs-cancelled,omitempty" yaml:"jobs-cancelled,omitempty"`
	MemberArmed      *MemberReport   `cbor:"6,keyasint,omitempty" json:"member-armed,omitempty" yaml:"member-armed,omitempty"`
	MemberRefused    *MemberReport   `cbor:"7,keyasint,omitempty" json:"member-refused,omitempty" yaml:"member-refused,omitempty"`
	MemberEnded      *MemberReport   `cbor:"8,keyasint,omitempty" json:"member-ended,omitempty" yaml:"member-ended,omitempty"`
	TimePassed       *TimePassed     `cbor:"9,keyasint,omitempty" json:"time-passed,omitempty" yaml:"time-passed,omitempty"`
	WorkspaceSet     *Workspace      `cbor:"10,keyasint,omitempty" json:"workspace-set,omitempty" yaml:"workspace-set,omitempty"`
	WorkspaceRemoved *WorkspaceNamed `cbor:"11,keyasint,omitempty" json:"workspace-removed,omitempty" yaml:"workspace-removed,omitempty"`
	PolicySet        *Policy         `cbor:"12,keyasint,omitempty" json:"policy-set,omitempty" yaml:"policy-set,omitempty"`
}

// WorkerLost reports that all leases on a worker have expired, so that none of its members still runs.
type WorkerLost struct {
	Worker string `cbor:"1,keyasint" json:"worker" yaml:"worker"`
}

// WorkerDrained starts or ends the drain of a worker. A draining worker gets no new members. With Evict, jobs on it
// that may be preempted are moved to other workers; the others run to their end.
type WorkerDrained struct {
	Worker  string `cbor:"1,keyasint" json:"worker" yaml:"worker"`
	Drained bool   `cbor:"2,keyasint" json:"drained" yaml:"drained"`
	Evict   bool   `cbor:"3,keyasint" json:"evict" yaml:"evict"`
}

// JobsCancelled cancels jobs, all in one step.
type JobsCancelled struct {
	Jobs []string `cbor:"1,keyasint" json:"jobs" yaml:"jobs"`
}

// MemberReport reports on a job's members on one worker. A report of another attempt is ignored.
type MemberReport struct {
	Job          string            `cbor:"1,keyasint" json:"job" yaml:"job"`
	Attempt      int               `cbor:"2,keyasint" json:"attempt" yaml:"attempt"`
	Worker       string            `cbor:"3,keyasint" json:"worker" yaml:"worker"`
	Outcome      Outcome           `cbor:"4,keyasint" json:"outcome" yaml:"outcome"`
	SavedRunTime timekeeper.Millis `cbor:"5,keyasint" json:"saved-millis" yaml:"saved"` // run time of this attempt saved by a checkpoint
	Reason       string            `cbor:"6,keyasint" json:"reason" yaml:"reason"`
}

// TimePassed fires the timers that are due.
type TimePassed struct{}

// WorkspaceNamed identifies a workspace.
type WorkspaceNamed struct {
	Name string `cbor:"1,keyasint" json:"name" yaml:"name"`
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// The kinds of decisions.
const (
	DecideRefuse  DecisionKind = iota // the job ends as not run
	DecidePlace                       // the job is placed; its accelerators are not all free yet
	DecideArm                         // members hold their accelerators and arm
	DecideStart                       // every member is armed; the gang starts
	DecideStop                        // members stop
	DecideRequeue                     // the job returns to the queue
	DecideEnd                         // the job has ended
)

// Decision is a decision about one job.
type Decision struct {
	Kind    DecisionKind
	Job     *Job // the job after the decision; immutable
	Reclaim bool // other jobs were preempted for it
}

// Output is the result of a step besides the new state.
type Output struct {
	Decisions      []Decision
	ChangedWorkers []string // workers whose members changed, ordered by ID
	Err            error    // why the event was refused; the state is then unchanged
}
