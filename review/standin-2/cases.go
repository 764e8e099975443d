package main

import (
	"fmt"
	"strings"
	"time"
)

// reviewCase is a case that a script plays. It returns what broke the rule, or "" if the rule held.
type reviewCase struct {
	runners int
	play    func(c *cluster, trouble bool) (broken string, err error)
}

var cases = map[string]reviewCase{
	"lasting-unit-fails":          {3, playLastingUnitFails},
	"lasting-runner-dies":         {3, playLastingRunnerDies},
	"guarantee-not-regained":      {3, playGuaranteeNotRegained},
	"guarantee-waits-for-lasting": {3, playGuaranteeWaitsForLasting},
	"schedule-holds-idle-runners": {3, playScheduleHoldsIdleRunners},
	"guarantee-one-rack":          {4, playGuaranteeOneRack},
}

// Keys of the tenants.
const (
	firstKey  = "key-of-the-first-tenant"
	secondKey = "key-of-the-second-tenant"
)

type object map[string]any

// manifest returns a manifest with an urgent queue, one for plans and a batch queue, and two tenants with the given guarantees.
func manifest(version, firstGuarantee, secondGuarantee int) object {
	route := func(name, prefix string, priority int) object {
		return object{"name": name, "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"completionTargetMs": 1000, "priority": priority, "service": service, "maxAttempts": 3, "stretch": 3.0, "public": false}
	}
	return object{
		"version":  version,
		"routes":   []object{route("urgent", urgentPrefix, 0), route("plan", planPrefix, 1), route("batch", batchPrefix, 2)},
		"services": []object{{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "standby": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{
			{"name": "first", "apiKeys": []string{firstKey}, "priority": 1, "guaranteed": object{"gpu": firstGuarantee}},
			{"name": "second", "apiKeys": []string{secondKey}, "priority": 1, "guaranteed": object{"gpu": secondGuarantee}},
		},
	}
}

// step returns a step of tasks that need one core for each accelerator.
func step(count, accelerators int, lasting bool, estimate time.Duration) object {
	s := object{"count": count, "cpu": 1000 * accelerators, "memMb": 1024, "gpu": accelerators, "estimateMs": estimate.Milliseconds()}
	if lasting {
		s["longRunning"] = true
	}
	return s
}

// lastingJob returns a job of one step whose tasks run until the job is cancelled.
func lastingJob(count, accelerators int) object {
	return object{"spec": `{"lasting":true}`, "phases": []object{step(count, accelerators, true, time.Second)}}
}

// timedJob returns a job of one step whose tasks take some time.
func timedJob(count, accelerators int, work time.Duration) object {
	return object{"spec": fmt.Sprintf(`{"workMs":%d}`, work.Milliseconds()), "phases": []object{step(count, accelerators, false, work)}}
}

// runningOf counts the tasks of a job that run.
func (c *cluster) runningOf(job string) int {
	n := 0
	for task, s := range c.tasks() {
		if strings.HasPrefix(task, job+".") && s.running {
			n++
		}
	}
	return n
}

// tasksRunning counts the tasks that run.
func (c *cluster) tasksRunning() int {
	n := 0
	for _, s := range c.tasks() {
		if s.running {
			n++
		}
	}
	return n
}

// settle is how long the deployment is left alone before a case goes on: longer than connectivityWindowMs.
const settle = 4 * time.Second

// Bounds of the rule LOST for tasks that last.
const (
	lastingGrace = 6 * time.Second
	lastingSpan  = 3 * time.Second
	calmBefore   = 4 * time.Second
)

// jobs of the cases.
const (
	jobA = "5c0e7a21d94b36f8"
	jobB = "91aa03be77c2d415"
	jobC = "c7704e5512f0aa93"
)

// playLastingUnitFails lets one task of a job that lasts fail by itself. The tenant's urgent jobs need more than its
// guarantee by then; eight accelerators are free.
func playLastingUnitFails(c *cluster, trouble bool) (string, error) {
	if err := c.configure(manifest(7, 16, 0)); err != nil {
		return "", err
	}
	if err := c.submit(urgentPrefix, jobA, firstKey, lastingJob(13, 1)); err != nil {
		return "", err
	}
	if !await(20*time.Second, func() bool { return c.runningOf(jobA) == 13 }) {
		return "", fmt.Errorf("%d tasks of the first job run, want 13", c.runningOf(jobA))
	}
	if err := c.submit(urgentPrefix, jobB, firstKey, lastingJob(4, 1)); err != nil {
		return "", err
	}
	if !await(20*time.Second, func() bool { return c.runningOf(jobB) == 4 }) {
		return "", fmt.Errorf("%d tasks of the second job run, want 4", c.runningOf(jobB))
	}
	time.Sleep(settle)
	if trouble {
		c.failTask(jobA + ".0.0.5")
		time.Sleep(time.Second)
	}
	return c.watchLasting(30*time.Second, jobA, 13, 3*acceleratorsOfOne, time.Time{})
}

// watchLasting watches the tasks of a job that lasts for some time. Each needs one accelerator. It returns what breaks
// the rule LOST: a task that does not run for lastingSpan, from lastingGrace after its last run, while there are
// accelerators for it twice over, and nothing has disrupted the deployment for calmBefore and lastingSpan.
func (c *cluster) watchLasting(limit time.Duration, job string, count, accelerators int, calmSince time.Time) (string, error) {
	absentSince := map[string]time.Time{}
	broken := ""
	for end := time.Now().Add(limit); time.Now().Before(end) && broken == ""; time.Sleep(50 * time.Millisecond) {
		now, states := time.Now(), c.tasks()
		free := accelerators - c.tasksRunning()
		for i := range count {
			task := fmt.Sprintf("%s.0.0.%d", job, i)
			s := states[task]
			if s.running || free < 2 || now.Sub(s.since) < lastingGrace {
				delete(absentSince, task)
				continue
			}
			if absentSince[task].IsZero() {
				absentSince[task] = now
			}
			if now.Sub(absentSince[task]) >= lastingSpan && now.Sub(calmSince) >= lastingSpan+calmBefore {
				broken = fmt.Sprintf("LOST: task %s does not run %.1f s after the end of its last run, with %d of %d accelerators free",
					task, now.Sub(s.since).Seconds(), free, accelerators)
				break
			}
		}
	}
	status, state := c.callFront(0, "GET", urgentPrefix+job, firstKey, nil)
	c.record.add("check   %d of %d tasks of %s run, GET: %d %s", c.runningOf(job), count, job, status, strings.TrimSpace(state))
	return broken, nil
}

// playLastingRunnerDies kills one runner for good. The other two have room for what ran there twice over.
func playLastingRunnerDies(c *cluster, trouble bool) (string, error) {
	if err := c.configure(manifest(7, 16, 0)); err != nil {
		return "", err
	}
	if err := c.submit(urgentPrefix, jobA, firstKey, lastingJob(4, 1)); err != nil {
		return "", err
	}
	if !await(20*time.Second, func() bool { return c.runningOf(jobA) == 4 }) {
		return "", fmt.Errorf("%d tasks run, want 4", c.runningOf(jobA))
	}
	time.Sleep(settle)
	var calmSince time.Time
	if trouble {
		c.killRunner(c.tasks()[jobA+".0.0.0"].runner)
		calmSince = time.Now().Add(window) // the death of a runner is near for connectivityWindowMs
	}
	return c.watchLasting(20*time.Second, jobA, 4, 2*acceleratorsOfOne, calmSince)
}

// playGuaranteeNotRegained fills all accelerators with a batch job that lasts, of a tenant without a guarantee. Then a
// tenant hands in an urgent job within its guarantee.
func playGuaranteeNotRegained(c *cluster, trouble bool) (string, error) {
	if err := c.prepareGuarantee(8, 0); err != nil {
		return "", err
	}
	if trouble {
		if err := c.submit(batchPrefix, jobB, secondKey, lastingJob(24, 1)); err != nil {
			return "", err
		}
		await(settle, func() bool { return c.runningOf(jobB) == 24 })
		time.Sleep(settle)
	}
	return c.watchReclaim(timedJob(1, 8, 2*time.Second), 1)
}

// playGuaranteeWaitsForLasting lets a batch job that lasts fill one runner, while batch work that takes a minute runs on
// the other two. Then a tenant hands in an urgent job within its guarantee, for which that work could be stopped.
func playGuaranteeWaitsForLasting(c *cluster, trouble bool) (string, error) {
	if err := c.prepareGuarantee(8, 0); err != nil {
		return "", err
	}
	if trouble {
		if err := c.submit(batchPrefix, jobB, secondKey, lastingJob(8, 1)); err != nil {
			return "", err
		}
		if !await(2*settle, func() bool { return c.runningOf(jobB) == 8 }) {
			return "", fmt.Errorf("%d tasks of the job that lasts run, want 8", c.runningOf(jobB))
		}
	}
	if err := c.submit(batchPrefix, jobC, secondKey, timedJob(24, 1, time.Minute)); err != nil {
		return "", err
	}
	time.Sleep(settle)
	return c.watchReclaim(timedJob(1, 8, 2*time.Second), 1)
}

// playGuaranteeOneRack lets an urgent job that lasts, within the guarantee of its tenant, hold one accelerator in each of
// two racks. Then another tenant hands in an urgent gang within its guarantee that would like to be in one rack. Two
// runners are idle, one in each rack.
func playGuaranteeOneRack(c *cluster, trouble bool) (string, error) {
	if err := c.prepareGuarantee(16, 8); err != nil {
		return "", err
	}
	if trouble {
		job := lastingJob(1, 1)
		first, second := step(1, 1, true, time.Second), step(1, 1, true, time.Second)
		first["dataRack"], second["dataRack"] = rackOf(0), rackOf(1)
		job["phases"] = []object{first, second}
		if err := c.submit(urgentPrefix, jobB, secondKey, job); err != nil {
			return "", err
		}
		if !await(2*settle, func() bool { return c.runningOf(jobB) == 2 }) {
			return "", fmt.Errorf("%d tasks of the job that lasts run, want 2", c.runningOf(jobB))
		}
		time.Sleep(settle)
	}
	gang := timedJob(2, 8, 2*time.Second)
	gang["phases"].([]object)[0]["gang"] = true
	gang["phases"].([]object)[0]["rackLocal"] = true
	return c.watchReclaim(gang, 2)
}

// prepareGuarantee sends a manifest with the given guarantees, and lets a first job show that the runners are known.
func (c *cluster) prepareGuarantee(first, second int) error {
	if err := c.configure(manifest(7, first, second)); err != nil {
		return err
	}
	if err := c.submit(batchPrefix, "00000000000000a1", secondKey, timedJob(len(c.runners), 8, 500*time.Millisecond)); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// watchReclaim hands in an urgent job of the first tenant and returns what breaks the rule RECLAIM: not all tasks of its
// first step have begun in time. It then waits longer, to show whether they ever begin.
func (c *cluster) watchReclaim(job object, tasks int) (string, error) {
	if err := c.submit(urgentPrefix, jobA, firstKey, job); err != nil {
		return "", err
	}
	accepted := time.Now()
	begun := func() bool { return len(c.begunTasks(jobA)) == tasks }
	inTime := await(reclaimLimit, begun)
	if !inTime {
		await(longReclaim, begun)
	}
	count, passed := len(c.begunTasks(jobA)), time.Since(accepted).Seconds()
	status, state := c.callFront(0, "GET", urgentPrefix+jobA, firstKey, nil)
	c.record.add("check   %d of %d tasks of %s have begun %.1f s after its acknowledgement, GET: %d %s", count, tasks, jobA, passed,
		status, strings.TrimSpace(state))
	if inTime {
		return "", nil
	}
	return fmt.Sprintf("RECLAIM: %d of %d tasks of an urgent job within the guarantee have begun %.1f s after its acknowledgement, bound %.1f s",
		count, tasks, passed, reclaimLimit.Seconds()), nil
}

// longReclaim is how long a case goes on to watch a job that has not begun in time.
const longReclaim = 40 * time.Second

// begunTasks returns the tasks of a job that have begun.
func (c *cluster) begunTasks(job string) []string {
	var list []string
	for task := range c.tasks() {
		if strings.HasPrefix(task, job+".") {
			list = append(list, task)
		}
	}
	return list
}

// ordinaryPlans is how many scheduled jobs of the gang's queue are handed in before it, so that one in twenty can never be
// done. They are due an hour later.
const ordinaryPlans = 19

// playScheduleHoldsIdleRunners hands in a scheduled gang that needs all accelerators, of which a work unit that lasts holds
// one. The first time of the schedule lies six minutes back. Then a small batch job is handed in, and the traffic ends.
func playScheduleHoldsIdleRunners(c *cluster, trouble bool) (string, error) {
	if err := c.prepareGuarantee(8, 0); err != nil {
		return "", err
	}
	if err := c.submit(urgentPrefix, jobA, firstKey, lastingJob(1, 1)); err != nil {
		return "", err
	}
	if !await(2*settle, func() bool { return c.runningOf(jobA) == 1 }) {
		return "", fmt.Errorf("the work unit that lasts does not run")
	}
	for i := range ordinaryPlans {
		job := timedJob(1, 1, time.Second)
		job["repeatCount"], job["startAtMs"], job["periodMs"] = 1, time.Now().Add(time.Hour).UnixMilli(), time.Hour.Milliseconds()
		if err := c.submit(planPrefix, fmt.Sprintf("%016x", 0xc0+i), secondKey, job); err != nil {
			return "", err
		}
	}
	time.Sleep(settle)
	if trouble {
		gang := timedJob(3, 8, 10*time.Minute)
		gang["phases"].([]object)[0]["gang"] = true
		gang["repeatCount"], gang["startAtMs"], gang["periodMs"] = 3, time.Now().Add(-6*time.Minute).UnixMilli(), time.Hour.Milliseconds()
		if err := c.submit(planPrefix, jobB, secondKey, gang); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
	}
	if err := c.submit(batchPrefix, jobC, secondKey, timedJob(1, 1, 2*time.Second)); err != nil {
		return "", err
	}
	accepted := time.Now()
	begun := func() bool { return len(c.begunTasks(jobC)) > 0 }
	const free = 3*acceleratorsOfOne - 1
	inTime := await(finishTime+lastingSpan, begun)
	if !inTime {
		await(longReclaim, begun)
	}
	status, state := c.callFront(0, "GET", batchPrefix+jobC, secondKey, nil)
	c.record.add("check   the batch job has begun: %v, %.1f s after its acknowledgement, GET: %d %s", begun(), time.Since(accepted).Seconds(),
		status, strings.TrimSpace(state))
	if inTime {
		return "", nil
	}
	return fmt.Sprintf("LOST: a job has nothing running for %.0f s from %.0f s after the end of the traffic, with %d of %d accelerators free; it has begun %.1f s after its acknowledgement: %v",
		lastingSpan.Seconds(), finishTime.Seconds(), free, free+1, time.Since(accepted).Seconds(), begun()), nil
}

// finishTime is finish_s.
const finishTime = 14 * time.Second
