package scheduler

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Outcome is how the members of a job on one worker ended.
type Outcome uint8

// The outcomes of members.
const (
	OutcomeFinished Outcome = iota
	OutcomeFailed
	OutcomeStopped
)

// Event is one input of the scheduler; exactly one field is set.
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

// WorkerLost tells that a worker's leases have ended everywhere, so that nothing of its members runs any more.
type WorkerLost struct {
	Worker string `cbor:"1,keyasint" json:"worker" yaml:"worker"`
}

// WorkerDrained tells that a worker takes no new members, or takes them again. With Evict, jobs on it that may be
// stopped go elsewhere; the others run to their end.
type WorkerDrained struct {
	Worker  string `cbor:"1,keyasint" json:"worker" yaml:"worker"`
	Drained bool   `cbor:"2,keyasint" json:"drained" yaml:"drained"`
	Evict   bool   `cbor:"3,keyasint" json:"evict" yaml:"evict"`
}

// JobsCancelled asks to end jobs, all in one step.
type JobsCancelled struct {
	Jobs []string `cbor:"1,keyasint" json:"jobs" yaml:"jobs"`
}

// MemberReport tells of a job's members on one worker; reports of another attempt are ignored.
type MemberReport struct {
	Job     string            `cbor:"1,keyasint" json:"job" yaml:"job"`
	Attempt int               `cbor:"2,keyasint" json:"attempt" yaml:"attempt"`
	Worker  string            `cbor:"3,keyasint" json:"worker" yaml:"worker"`
	Outcome Outcome           `cbor:"4,keyasint" json:"outcome" yaml:"outcome"`
	Saved   timekeeper.Millis `cbor:"5,keyasint" json:"saved-millis" yaml:"saved"` // run time of this attempt kept by a checkpoint
	Reason  string            `cbor:"6,keyasint" json:"reason" yaml:"reason"`
}

// TimePassed makes timers that are due take effect.
type TimePassed struct{}

// WorkspaceNamed names a workspace.
type WorkspaceNamed struct {
	Name string `cbor:"1,keyasint" json:"name" yaml:"name"`
}

// DecisionKind tells what was decided about a job.
type DecisionKind uint8

// The kinds of decisions.
const (
	DecideRefuse  DecisionKind = iota // the job ends as not run
	DecidePlace                       // a place is taken; its accelerators are not all free yet
	DecideArm                         // members hold their accelerators
	DecideStart                       // every member is armed: the gang starts
	DecideStop                        // members stop
	DecideRequeue                     // the job waits again
	DecideEnd                         // the job reached its end
)

// Decision is one thing decided in a step.
type Decision struct {
	Kind    DecisionKind
	Job     *Job // the job after the decision; immutable
	Reclaim bool // others were stopped for it
}

// Output is what a step gives besides the new state.
type Output struct {
	Decisions []Decision
	Touched   []string // workers whose members changed, in order
	Err       error    // why the event was refused; the state is then unchanged
}
