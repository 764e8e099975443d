package operator

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// The headers of the administration API.
const (
	HeaderCommand  = "Lagoonmill-Command"  // id of a change; one resent under the same id gets the first response
	HeaderRevision = "Lagoonmill-Revision" // on a change, the revision that it is based on
	HeaderIndex    = "Lagoonmill-Index"    // on a response, the log index of the state that it shows
)

// Revisions shows which configuration is accepted and which is in force, at a log index.
type Revisions struct {
	Revision uint64 `json:"revision"`
	InForce  uint64 `json:"in-force"`
	Accepted string `json:"preset-accepted"`
	Current  string `json:"preset-in-force"`
	Index    uint64 `json:"index"`
}

// Job is a job as shown to callers.
type Job struct {
	ID        string            `json:"id"`
	Workspace string            `json:"workspace"`
	Class     scheduler.Class   `json:"class"`
	Demand    placer.Demand     `json:"demand"`
	Phase     scheduler.Phase   `json:"phase"`
	End       scheduler.End     `json:"end,omitempty"`
	Reason    string            `json:"reason,omitempty"`
	Attempt   int               `json:"attempt"`
	Submitted timekeeper.Millis `json:"submitted-millis"`
	Started   timekeeper.Millis `json:"started-millis,omitempty"`
	EndedAt   timekeeper.Millis `json:"ended-millis,omitempty"`
	Borrowed  bool              `json:"borrowed"`
	Preempted int               `json:"preempted"`
	Placement placer.Placement  `json:"placement,omitempty"`
}

func jobView(j *scheduler.Job) Job {
	return Job{
		ID: j.Spec.ID, Workspace: j.Spec.Workspace, Class: j.Spec.Class, Demand: j.Spec.Demand, Phase: j.Phase,
		End: j.End, Reason: j.Reason, Attempt: j.Attempt, Submitted: j.Submitted, Started: j.Started, EndedAt: j.EndedAt,
		Borrowed: len(j.Placement) > 0 && j.Borrowed(), Preempted: j.Preempted, Placement: j.Placement,
	}
}

// Cancellation lists jobs to cancel in one atomic step.
type Cancellation struct {
	Jobs []string `json:"jobs"`
}

// Seat is the address of a control replica.
type Seat struct {
	Address string `json:"address"`
}

// Drain says whether a worker is drained, so that no new gang members start on it. With Evict, jobs on it that may be
// stopped are moved to other workers at once.
type Drain struct {
	Drained bool `json:"drained"`
	Evict   bool `json:"evict"`
}

// Request is the state of a claimed request as shown to its workspace.
type Request struct {
	Key     string `json:"key"`
	Phase   string `json:"phase"`
	Attempt int    `json:"attempt"`
	Reason  string `json:"reason,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Code     registrar.Code `json:"code"`
	Error    string         `json:"error"`
	Revision uint64         `json:"revision,omitempty"`
}
