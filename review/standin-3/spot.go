package main

import (
	"context"
	"fmt"
	"time"
)

const (
	lastingJob   = "3d41f60b9ae27c85"
	lastingTasks = 4
	// lastingGrace is the time after the last run of a task that lasts from which it must not stand still.
	lastingGrace = 6 * time.Second
	// settled is the time from the end of the traffic to the notice: the rule is looked at later than finish.
	settled = 10 * time.Second
	// spotNotice is the time from the notice until the runner is gone, spotReplacement the time until another one comes.
	spotNotice      = 2 * time.Second
	spotReplacement = 4 * time.Second
)

// spot takes away a runner at short notice while it executes a task that lasts. The task has to run elsewhere in time,
// since the other runners have room for it many times over.
func spot(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	c.spares = 1
	if err := c.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // every agent has attached its runner
	phases := []map[string]any{{
		"count": lastingTasks, "cpu": 4000, "memMb": 4096, "gpu": 1, "estimateMs": 1000, "longRunning": true, "maxPerServer": 1,
	}}
	if !c.submit(ctx, lastingJob, workload{WorkMs: 500, Lasts: true}, phases) {
		return false, fmt.Errorf("the job was not accepted")
	}
	running := func() int { return c.world.count(lastingJob) }
	if !await(5*time.Second, func() bool { return running() == lastingTasks }) {
		return false, fmt.Errorf("the job did not start")
	}
	time.Sleep(settled)
	if trouble {
		gone := c.world.busiest()
		gone.drain(spotNotice)
		time.Sleep(spotNotice)
		gone.crash()
		go func() {
			time.Sleep(spotReplacement)
			if err := c.world.runners[len(c.world.runners)-1].boot("i-7f3a91c2"); err != nil {
				c.record.line("the other runner does not start: %v", err)
			}
		}()
	}
	// The rule as written: from 6 s after its last run, a task that lasts has nothing running for 3 s.
	ended := time.Now()
	for time.Since(ended) < lastingGrace+lostAfter {
		if running() == lastingTasks {
			c.record.line("all tasks run %v after the last one ended", time.Since(ended))
			return false, nil
		}
		time.Sleep(worldTick)
	}
	c.record.line("a task has had nothing running for %v, of which the rule leaves out the first %v", time.Since(ended), lastingGrace)
	if await(20*time.Second, func() bool { return running() == lastingTasks }) {
		c.record.line("the task runs again %v after its last run", time.Since(ended))
	}
	return true, nil
}

// busiest returns a runner that executes something.
func (w *world) busiest() *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.runners[0]
	for _, r := range w.runners {
		if len(r.running) > len(found.running) {
			found = r
		}
	}
	return found
}
