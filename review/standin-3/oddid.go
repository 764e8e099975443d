package main

import (
	"context"
	"fmt"
	"time"
)

const (
	oddJob    = "5c0e7a21.94b36f8"
	soundJobs = 12
	// oddLimit is how long the malformed job is given before the others are handed in.
	oddLimit = 2 * time.Second
)

// oddID lets one caller hand in a job whose id is malformed: one of its 16 characters is a dot. Callers with sound ids then
// hand in jobs, which fit many times over on the runners.
func oddID(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	if err := c.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // every agent has attached its runner
	phases := func(count int) []map[string]any {
		return []map[string]any{{"count": count, "cpu": 4000, "memMb": 4096, "gpu": 1, "estimateMs": 1500}}
	}
	if trouble {
		spec := map[string]any{"spec": `{"workMs":1500}`, "phases": phases(1)}
		status, _ := c.call(ctx, "POST", "http://"+c.fronts[0].callers+routePrefix+oddJob, routeHost, spec)
		c.record.line("the malformed job was answered with %d", status)
		time.Sleep(oddLimit)
	}
	var ids []string
	for i := range soundJobs {
		id := fmt.Sprintf("7a1be0935c2d%04x", i)
		if !c.submit(ctx, id, workload{WorkMs: 1500}, phases(2)) {
			return false, fmt.Errorf("the job %s was not accepted", id)
		}
		ids = append(ids, id)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(finish)
	return c.standStill(ctx, ids), nil
}

// standStill is the rule as written, for jobs each of which fits twice over on a quarter of the idle runners: for 3 s one
// that is not done has nothing running, while under half of the capacity is in use.
func (c *cluster) standStill(ctx context.Context, ids []string) bool {
	since := map[string]time.Time{}
	limit := time.Now().Add(2 * lostAfter)
	for time.Now().Before(limit) {
		half := 2*c.world.count("") >= len(c.sides)
		for _, id := range ids {
			if half || c.world.count(id) > 0 || c.state(ctx, id) == "done" {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = time.Now()
			}
			if time.Since(since[id]) > lostAfter {
				c.record.line("the job %s is %q and has had nothing running for %v", id, c.state(ctx, id), lostAfter)
				return true
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
