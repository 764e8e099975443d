package main

import (
	"context"
	"fmt"
	"time"
)

// runnersOf holds the number of runners of each case.
var runnersOf = map[string]int{"gang-end": 6, "odd-id": 4, "odd-spec": 4, "spot": 11}

const (
	firstJob  = "5c0e7a21d94b36f8"
	secondJob = "7a1be0935c2d4f60"
	// lostAfter is the time for which a job may have nothing running beside room for it.
	lostAfter = 3 * time.Second
	// finish is when jobs are asked for, after the end of the traffic.
	finish = 14 * time.Second
)

// gangEnd lets a gang end as done on all runners while one of them is cut off. That runner then crashes and starts again
// before the cut heals. A second gang, which fits twice over on the idle runners, has to run.
func gangEnd(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	if err := c.start(ctx); err != nil {
		return false, err
	}
	runners := len(c.sides)
	first := []map[string]any{{"count": runners, "cpu": 8000, "memMb": 8192, "gpu": 8, "estimateMs": 2500, "gang": true}}
	time.Sleep(3 * time.Second) // every agent has attached its runner
	if !c.submit(ctx, firstJob, workload{WorkMs: 2500, Gang: runners}, first) {
		return false, fmt.Errorf("the first job was not accepted")
	}
	cut := c.world.runners[runners-1]
	if !await(10*time.Second, func() bool { return c.world.count(firstJob) == runners }) {
		return false, fmt.Errorf("the first gang did not start")
	}
	if trouble {
		time.Sleep(time.Second)
		cut.setCut(true)
		time.Sleep(3 * time.Second)
		cut.crash()
		time.Sleep(time.Second)
		if err := cut.boot("i-7f3a91c2"); err != nil {
			return false, err
		}
	}
	if !await(10*time.Second, func() bool { return c.state(ctx, firstJob) == "done" }) {
		return false, fmt.Errorf("the first job is not done")
	}
	time.Sleep(5 * time.Second) // the runner has announced itself again, and the cut is over for connectivityWindowMs
	second := []map[string]any{{"count": runners, "cpu": 8000, "memMb": 8192, "gpu": 4, "estimateMs": 2500, "gang": true, "maxPerServer": 1}}
	if !c.submit(ctx, secondJob, workload{WorkMs: 2500, Gang: runners}, second) {
		return false, fmt.Errorf("the second job was not accepted")
	}
	time.Sleep(finish)
	if c.state(ctx, secondJob) == "done" {
		return false, nil
	}
	// The rule as written: for 3 s nothing of the job runs, while nothing else runs either and there is room for it twice.
	idle := time.Now()
	for time.Since(idle) < lostAfter {
		if c.world.count("") > 0 {
			return false, nil
		}
		time.Sleep(worldTick)
	}
	state := c.state(ctx, secondJob)
	c.record.line("the job %s is %s, and nothing has run on any runner for %v", secondJob, state, lostAfter)
	return state != "done", nil
}

// count returns how many runs of a job, or of all jobs, the runners execute.
func (w *world) count(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.runners {
		for task := range r.running {
			if job == "" || task[:len(job)] == job {
				n++
			}
		}
	}
	return n
}
