package operator

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// The headers of the administration API.
const (
	HeaderCommand  = "Lagoonmill-Command"  // id of a change; a resend gets the first answer
	HeaderRevision = "Lagoonmill-Revision" // on a change, the revision that its author saw
	HeaderIndex    = "Lagoonmill-Index"    // on an answer, the log index it is of
)

// Revisions is where the configuration stands.
type Revisions struct {
	Revision uint64 `json:"revision"`
	InForce  uint64 `json:"in-force"`
	Accepted string `json:"preset-accepted"`
	Current  string `json:"preset-in-force"`
	Index    uint64 `json:"index"`
}

// Job is a job as callers see it.
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

func viewOf(j *scheduler.Job) Job {
	return Job{
		ID: j.Spec.ID, Workspace: j.Spec.Workspace, Class: j.Spec.Class, Demand: j.Spec.Demand, Phase: j.Phase,
		End: j.End, Reason: j.Reason, Attempt: j.Attempt, Submitted: j.Submitted, Started: j.Started, EndedAt: j.EndedAt,
		Borrowed: len(j.Placement) > 0 && j.Borrowed(), Preempted: j.Preempted, Placement: j.Placement,
	}
}

// Cancellation names jobs to cancel, all in one step.
type Cancellation struct {
	Jobs []string `json:"jobs"`
}

// Seat names the address of a control replica.
type Seat struct {
	Address string `json:"address"`
}

// Drain tells whether a worker takes new members; with evict, jobs that may be stopped go elsewhere at once.
type Drain struct {
	Drained bool `json:"drained"`
	Evict   bool `json:"evict"`
}

// Request is a claimed request as its workspace sees it.
type Request struct {
	Key     string `json:"key"`
	Phase   string `json:"phase"`
	Attempt int    `json:"attempt"`
	Reason  string `json:"reason,omitempty"`
}

// Problem is the body of an answer that is no success.
type Problem struct {
	Code     registrar.Code `json:"code"`
	Error    string         `json:"error"`
	Revision uint64         `json:"revision,omitempty"`
}
