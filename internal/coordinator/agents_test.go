package coordinator

import (
	"context"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
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

// TestOddWorkersAreNotAttached attaches workers with odd names and capacities.
func TestOddWorkersAreNotAttached(t *testing.T) {
	c, ctx := startCoordinator(t)
	valid := tracker.Attach{Worker: "w", Incarnation: tracker.Incarnation{ID: "r"}, Profile: tracker.Profile{Capacity: modeler.Resources{MilliCores: 1000}}}
	tests := map[string]func(*tracker.Attach){
		"valid":        func(*tracker.Attach) {},
		"no name":      func(a *tracker.Attach) { a.Worker = "" },
		"long name":    func(a *tracker.Attach) { a.Worker = strings.Repeat("w", 100_000) },
		"long label":   func(a *tracker.Attach) { a.Profile.Labels = []string{strings.Repeat("l", 100_000)} },
		"negative":     func(a *tracker.Attach) { a.Profile.Capacity.MemoryMB = -1 },
		"out of range": func(a *tracker.Attach) { a.Profile.Capacity.Accelerators = math.MaxInt },
	}
	for name, change := range tests {
		a := valid
		change(&a)
		response, err := c.attach(ctx, &AttachRequest{Attach: a})
		if err != nil || response.Accepted != (name == "valid") {
			t.Errorf("%s: accepted %v, error %v", name, response != nil && response.Accepted, err)
		}
	}
}
