package coordinator

import (
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// noCapacityRetryAfter tells callers when to retry a job that no known worker can hold: several announcement intervals.
const noCapacityRetryAfter timekeeper.Millis = 2000

// noRoomRetryAfter tells callers when to retry while the disks are short of room: ended jobs have been dropped by then.
const noRoomRetryAfter timekeeper.Millis = 5000

// noRoom is the reason of a refusal for lack of room on the disk.
const noRoom = "the disks of the control replicas have no room for more"

// admit returns the refusal of a job that cannot be accepted, or nil.
func admit(s tracker.State, q modeler.Queue, j modeler.Job) *CallResponse {
	if q.NeedsAdvisor {
		return &CallResponse{Outcome: OutcomeUnsupported, Reason: "placements by an advisor are not supported"}
	}
	for i := range j.Steps {
		if !fitsAnyWorker(s, q, j.Steps[i]) {
			return &CallResponse{Outcome: OutcomeRefused, Reason: "no worker can hold a task of the job", RetryAfter: noCapacityRetryAfter}
		}
	}
	return nil
}

// fitsAnyWorker reports whether any known worker of the queue's service could hold a task of the step if it were idle.
func fitsAnyWorker(s tracker.State, q modeler.Queue, step modeler.Step) bool {
	for _, w := range s.Workers() {
		if w.Profile.Service == q.Service && step.Need.Fits(w.Profile.Capacity) {
			return true
		}
	}
	return false
}
