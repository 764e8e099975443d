package planner

import (
	"fmt"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TestBatchWithTimeLeavesRoom hands in more plans than fit, which have time to spare, and then a small urgent gang: it
// begins at once and nothing is stopped for it. It fails where batch work takes all there is.
func TestBatchWithTimeLeavesRoom(t *testing.T) {
	p := newPlay(t, Plan, 11)
	for i := range 12 {
		p.submit(fmt.Sprintf("plan-%02d", i), "plans", "other", 8000, tasks(1, 8, 8000))
	}
	p.run(2000, nil)
	p.submit("rebuild", "urgent", "other", 2500, gang(2, 4, 2500))
	submitted := p.now
	p.run(submitted+2*tick, nil)
	if at, begun := p.first["rebuild"]; !begun || at > submitted+tick || p.orders > 0 {
		t.Errorf("begun %v, %v after it was handed in, with %d stops; want at once and none", begun, at-submitted, p.orders)
	}
}

// TestBatchWithoutTimeTakesAllRoom hands in as many plans as fit; the last ones begin before it is too late for them.
func TestBatchWithoutTimeTakesAllRoom(t *testing.T) {
	p := newPlay(t, Plan, 4)
	for i := range 4 {
		p.submit(fmt.Sprintf("plan-%d", i), "plans", "other", 8000, tasks(1, 8, 8000))
	}
	p.run(30_000, nil)
	for i := range 4 {
		id := modeler.JobID(fmt.Sprintf("plan-%d", i))
		if at, done := p.done[id]; !done || at > 25_000 {
			t.Errorf("%s: done %v at %v, want within its objective of 25s", id, done, at)
		}
	}
}

// TestSmallUrgentJobsGoBeforeALargeOne fills a cluster for a while; a large urgent job waits then, and small ones that
// are due a little later. The small ones are not kept waiting for it.
func TestSmallUrgentJobsGoBeforeALargeOne(t *testing.T) {
	p := newPlay(t, Plan, 2)
	p.submit("now", "urgent", "other", 1500, tasks(2, 8, 1500))
	p.run(500, nil)
	p.submit("large", "urgent", "other", 2000, gang(2, 8, 2000))
	p.run(p.now+2*tick, nil)
	p.submit("small", "urgent", "other", 2100, tasks(2, 4, 2100))
	p.run(8000, nil)
	if p.first["small"] >= p.first["large"] {
		t.Errorf("the small job begins at %v, the large one at %v", p.first["small"], p.first["large"])
	}
}

// TestLongBatchJobsUseAllRoom hands in as many plans of many hours as fit; the last one does not wait for hours.
func TestLongBatchJobsUseAllRoom(t *testing.T) {
	const hours = 4 * 60 * timekeeper.Minute
	p := newPlay(t, Plan, 4)
	for i := range 4 {
		p.submit(fmt.Sprintf("plan-%d", i), "plans", "other", hours, tasks(1, 8, hours))
	}
	p.run(maxDeferral+2*tick, nil)
	if len(p.first) != 4 {
		t.Errorf("%d of 4 plans have begun after %v", len(p.first), p.now)
	}
}
