package coordinator

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// TestWorkerWithUnresponsiveRunnerGetsNoNewRuns guards against runs that are assigned to a worker whose agent says that
// its runner does not answer: they would wait there until the worker's lease ends. The worker is used again once its
// agent says nothing of the kind.
func TestWorkerWithUnresponsiveRunnerGetsNoNewRuns(t *testing.T) {
	c, ctx := startCoordinator(t)
	attached, err := c.attach(ctx, &AttachRequest{Attach: tracker.Attach{Worker: "w", Incarnation: tracker.Incarnation{ID: "i", StartedAt: 1}, AgentProcess: "p"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, unresponsive := range []bool{false, true, false} {
		watch(ctx, t, c, &WatchRequest{Worker: "w", Epoch: attached.Epoch, RunnerUnresponsive: unresponsive})
		got := c.unresponsiveWorkers(c.machine.State(), c.clock.Now())["w"]
		if diff := cmp.Diff(unresponsive, got); diff != "" {
			t.Errorf("gets no new runs (-want +got):\n%s", diff)
		}
	}
}

// TestAttachmentOutOfRangeIsNotReplicated guards against a worker with a capacity that no machine has.
func TestAttachmentOutOfRangeIsNotReplicated(t *testing.T) {
	c, ctx := startCoordinator(t)
	a := tracker.Attach{Worker: "w", Incarnation: tracker.Incarnation{ID: "i", StartedAt: 1}, AgentProcess: "p"}
	a.Profile.Capacity.Accelerators = 1 << 60
	response, err := c.attach(ctx, &AttachRequest{Attach: a})
	if err != nil {
		t.Fatal(err)
	}
	if _, known := c.machine.State().Worker("w"); known || response.Accepted {
		t.Errorf("known %v, accepted %v, want neither", known, response.Accepted)
	}
}

func watch(ctx context.Context, t *testing.T, c *Coordinator, r *WatchRequest) {
	t.Helper()
	response, err := c.watch(ctx, r)
	if err != nil || response.Lost {
		t.Fatalf("watch: %v, lost %v", err, response.Lost)
	}
}
