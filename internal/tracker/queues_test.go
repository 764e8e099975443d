package tracker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// removeQueue puts a configuration without queues in force.
func (h *history) removeQueue() {
	h.apply(Command{Configure: &modeler.Configuration{Version: h.state.Configuration.Version + 1, Services: []string{"app"}}})
}

// runAndEnd starts the job's only task as the given attempt and ends it.
func (h *history) runAndEnd(attempt int, epoch uint64, kind EndKind) {
	run := RunKey{TaskKey{Job: "j"}, attempt}
	h.apply(Command{Assign: &Assign{Starts: []Start{{Run: run, Worker: "w", Epoch: epoch}}}})
	h.apply(Command{Report: &Report{Worker: "w", Epoch: epoch, Ends: []End{{Number: attempt, Run: run, Kind: kind}}}})
}

// TestJobOfRemovedQueueEnds guards against a job that never ends because its queue was removed while it waited. The job
// fails after as many attempts as the queue allowed, is done once its task is, and can be cancelled.
func TestJobOfRemovedQueueEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(h *history, epoch uint64)
		want JobPhase
	}{
		{"two failed attempts", func(h *history, epoch uint64) {
			h.runAndEnd(1, epoch, EndFailed)
			h.runAndEnd(2, epoch, EndFailed)
		}, JobFailed},
		{"a failed attempt and a good one", func(h *history, epoch uint64) {
			h.runAndEnd(1, epoch, EndFailed)
			h.runAndEnd(2, epoch, EndDone)
		}, JobDone},
		{"a cancellation", func(h *history, _ uint64) { h.apply(Command{Cancel: &Cancel{Job: "j"}}) }, JobCancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t.Fatalf)
			epoch := h.attach("w", Incarnation{"i", 1}, "p")
			h.apply(Command{Submit: &modeler.Job{ID: "j", Queue: "q", Steps: []modeler.Step{{Count: 1}}}})
			h.removeQueue()
			h.restore()
			test.end(h, epoch)
			j, _ := h.state.Job("j")
			if diff := cmp.Diff(test.want, j.Phase); diff != "" {
				t.Errorf("phase (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRemovedQueueIsForgottenWhenUnused guards against a queue that is forgotten while a submission to it may still
// follow in the log, and against removed queues that pile up.
func TestRemovedQueueIsForgottenWhenUnused(t *testing.T) {
	h := newHistory(t.Fatalf)
	epoch := h.attach("w", Incarnation{"i", 1}, "p")
	h.removeQueue()
	h.apply(Command{Prune: &Prune{}})
	h.apply(Command{Submit: &modeler.Job{ID: "j", Queue: "q", Steps: []modeler.Step{{Count: 1}}}})
	for range 3 {
		h.apply(Command{Prune: &Prune{}}) // history checks that the queue is known
	}
	h.runAndEnd(1, epoch, EndDone)
	h.apply(Command{Prune: &Prune{}})
	if _, known := h.state.Queue("q"); !known {
		t.Error("the queue was forgotten at the first prune after its last job ended")
	}
	h.restore()
	h.apply(Command{Prune: &Prune{}})
	if _, known := h.state.Queue("q"); known {
		t.Error("the queue is still known after the second prune")
	}
}

// TestReaddedQueueFollowsTheConfiguration guards against a job that is held to the settings of a queue that was removed
// and came back with others.
func TestReaddedQueueFollowsTheConfiguration(t *testing.T) {
	h := newHistory(t.Fatalf)
	h.removeQueue()
	again := testQueue
	again.MaxAttempts++
	h.apply(Command{Configure: &modeler.Configuration{Version: 3, Services: []string{"app"}, Queues: []modeler.Queue{again}}})
	h.removeQueue()
	got, _ := h.state.Queue("q")
	if diff := cmp.Diff(again, got); diff != "" {
		t.Errorf("the removed queue (-want +got):\n%s", diff)
	}
}
