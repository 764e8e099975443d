package planner

import (
	"fmt"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TestBatchWithSlackLeavesHeadroom submits more batch jobs than fit, all with slack, and then a small urgent gang. The
// gang must start at once without preemption. The test guards against batch work using all accelerators.
func TestBatchWithSlackLeavesHeadroom(t *testing.T) {
	sim := newSimulation(t, Plan, 11)
	for i := range 12 {
		sim.submit(fmt.Sprintf("plan-%02d", i), "plans", "other", 8000, tasks(1, 8, 8000))
	}
	sim.run(2000, nil)
	sim.submit("rebuild", "urgent", "other", 2500, gang(2, 4, 2500))
	submitted := sim.now
	sim.run(submitted+2*tick, nil)
	if at, started := sim.firstStepStartedAt["rebuild"]; !started || at > submitted+tick || sim.stopCount > 0 {
		t.Errorf("started: %v, %v after submission, with %d stops; want a start at once without stops", started, at-submitted, sim.stopCount)
	}
}

// TestBatchWithoutSlackUsesHeadroom submits as many batch jobs as fit. The last ones must use the headroom early enough
// to meet their objectives.
func TestBatchWithoutSlackUsesHeadroom(t *testing.T) {
	sim := newSimulation(t, Plan, 4)
	for i := range 4 {
		sim.submit(fmt.Sprintf("plan-%d", i), "plans", "other", 8000, tasks(1, 8, 8000))
	}
	sim.run(30_000, nil)
	for i := range 4 {
		id := modeler.JobID(fmt.Sprintf("plan-%d", i))
		if at, done := sim.doneAt[id]; !done || at > 25_000 {
			t.Errorf("%s: done: %v, at %v; want within its objective of 25s", id, done, at)
		}
	}
}

// TestSmallUrgentJobRunsBeforeLargeOne queues a large urgent job on a full cluster, and then a small one with a
// slightly later deadline. The small one must start first.
func TestSmallUrgentJobRunsBeforeLargeOne(t *testing.T) {
	sim := newSimulation(t, Plan, 2)
	sim.submit("now", "urgent", "other", 1500, tasks(2, 8, 1500))
	sim.run(500, nil)
	sim.submit("large", "urgent", "other", 2000, gang(2, 8, 2000))
	sim.run(sim.now+2*tick, nil)
	sim.submit("small", "urgent", "other", 2100, tasks(2, 4, 2100))
	sim.run(8000, nil)
	if sim.firstStepStartedAt["small"] >= sim.firstStepStartedAt["large"] {
		t.Errorf("the small job starts at %v, the large one at %v; want the small one first",
			sim.firstStepStartedAt["small"], sim.firstStepStartedAt["large"])
	}
}

// TestLongBatchJobsUseHeadroom submits as many batch jobs of several hours as fit. The last one must start soon after
// maxDeferral rather than wait for hours.
func TestLongBatchJobsUseHeadroom(t *testing.T) {
	const hours = 4 * 60 * timekeeper.Minute
	sim := newSimulation(t, Plan, 4)
	for i := range 4 {
		sim.submit(fmt.Sprintf("plan-%d", i), "plans", "other", hours, tasks(1, 8, hours))
	}
	sim.run(maxDeferral+2*tick, nil)
	if len(sim.firstStepStartedAt) != 4 {
		t.Errorf("%d of 4 jobs have started after %v", len(sim.firstStepStartedAt), sim.now)
	}
}
