package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

var worker = profile{cpu: 32000, memMb: 131072, gpu: 8, labels: []string{"a", "r1-1"}}

// smallSite returns the profiles of the runners of a small deployment: 11, three a rack.
func smallSite() []profile {
	var list []profile
	for i := range 11 {
		p := worker
		p.labels = []string{"a", fmt.Sprintf("r1-%d", i/3)}
		list = append(list, p)
	}
	return list
}

// accept submits a job until it is accepted.
func (c *cluster) accept(id, body string) error {
	for i := range 10 {
		if status, _ := c.job(i%3, http.MethodPost, id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// waitRunning waits until a work unit runs, and returns its runner.
func (c *cluster) waitRunning(task string, limit time.Duration) (*runner, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, id := range c.world.runnersOf(task) {
			for _, r := range c.runners {
				if r.id == id {
					return r, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("%s did not start in %v", task, limit)
}

func (c *cluster) agentOf(r *runner) string {
	for i, o := range c.runners {
		if o == r {
			return fmt.Sprintf("side-%d/agent", i)
		}
	}
	return ""
}

const (
	freezeBefore = 500 * time.Millisecond // from the freeze until the runner deregisters
	freezeTime   = 3 * time.Second
	endsAfter    = 4 * time.Second // an unacknowledged runner ends this long after the second that it waits
	rounds       = 9
)

// deregister plays runners that drain, deregister and end, one after the other, each while the process beside it stands
// still for three seconds. The rule is TWICE: two runs of one work unit at the same time, on runners that are up.
func deregister(c *cluster, trouble bool) (bool, error) {
	if err := c.start(smallSite()); err != nil {
		return false, err
	}
	if err := c.begin(1); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	task := id + ".0.0.0"
	c.world.setWork(id, 0)
	if err := c.accept(id, `{"spec":"serve","phases":[{"count":1,"cpu":4000,"memMb":1024,"gpu":1,"estimateMs":1000,"longRunning":true}]}`); err != nil {
		return false, err
	}
	for range rounds {
		r, err := c.waitRunning(task, 15*time.Second)
		if err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		c.leaveFrozen(r, trouble)
		if c.world.ranTwice() {
			return true, nil
		}
	}
	return false, nil
}

// leaveFrozen lets a runner drain and leave, in the trouble while its agent is frozen.
func (c *cluster) leaveFrozen(r *runner, trouble bool) {
	r.drain(3 * time.Second)
	time.Sleep(3*time.Second - freezeBefore)
	if trouble {
		c.signal(c.agentOf(r), syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { c.signal(c.agentOf(r), syscall.SIGCONT) })
	}
	time.Sleep(freezeBefore)
	r.leave(endsAfter)
	time.Sleep(time.Second)
}

// pending plays a runner that rejects starts for some seconds, and reads the count of the queue.
func pending(c *cluster, trouble bool) (bool, error) {
	profiles := smallSite()
	profiles[3].labels[0] = "b"
	if err := c.start(profiles); err != nil {
		return false, err
	}
	if err := c.begin(1); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const id = "6d0e7a21d94b36f9"
	c.world.setWork(id, 500*time.Millisecond)
	if trouble {
		c.runners[3].setUnhealthy(true)
		time.AfterFunc(6500*time.Millisecond, func() { c.runners[3].setUnhealthy(false) })
	}
	if err := c.accept(id, `{"spec":"check","phases":[{"count":1,"cpu":4000,"memMb":1024,"gpu":1,"estimateMs":500,"constraints":"b"}]}`); err != nil {
		return false, err
	}
	accepted := time.Now()
	broken := false
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		c.world.mu.Lock()
		begun := !c.world.begun[id].IsZero()
		c.world.mu.Unlock()
		waited := time.Since(accepted)
		status, body := c.job(1, http.MethodGet, "", "")
		var d struct {
			Pending int `json:"pending"`
		}
		if begun || status != http.StatusOK || json.Unmarshal([]byte(body), &d) != nil {
			continue
		}
		if waited > 5*time.Second && d.Pending == 0 {
			broken = true
			c.rec.printf("MIXED: pending is 0, but the job was accepted %v ago and has not begun", waited.Round(time.Millisecond))
		}
	}
	if c.world.startsOf(id+".0.0.0") == 0 {
		return false, fmt.Errorf("the job never started")
	}
	return broken, nil
}

const (
	smallTasks    = 700
	smallTaskWork = 8 * time.Second
	agentDown     = 2 * time.Second
)

// manyEnds plays the kill of the process beside a runner on which more than 500 work units end meanwhile. The rule is
// TWICE: a start after a run has ended done, if that end is taken note of.
func manyEnds(c *cluster, trouble bool) (bool, error) {
	if err := c.start(smallSite()); err != nil {
		return false, err
	}
	if err := c.begin(1); err != nil {
		return false, err
	}
	const id = "7e0e7a21d94b36fa"
	c.world.setWork(id, smallTaskWork)
	body := fmt.Sprintf(`{"spec":"check","phases":[{"count":%d,"cpu":40,"memMb":64,"estimateMs":8000}]}`, smallTasks)
	if err := c.accept(id, body); err != nil {
		return false, err
	}
	r, err := c.waitRunning(id+".0.0.0", 10*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(smallTaskWork - 500*time.Millisecond)
	if trouble {
		name := c.agentOf(r)
		c.signal(name, syscall.SIGKILL)
		time.Sleep(agentDown)
		if err := c.restart(name); err != nil {
			return false, err
		}
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, text := c.job(1, http.MethodGet, id, "")
		if status == http.StatusOK && strings.Contains(text, "done") {
			break
		}
	}
	time.Sleep(2 * time.Second)
	again := c.world.startedAfterDone()
	for _, line := range again {
		c.rec.printf("TWICE: %s", line)
	}
	c.rec.printf("%d of %d work units were started after an end done that was taken note of", len(again), smallTasks)
	return len(again) > 0, nil
}

const (
	silences = 3
	askAfter = 14 * time.Second // finish_s
	askFor   = 10 * time.Second
	askPause = 300 * time.Millisecond
)

// silent plays channels between the machines that go silent for good, while new ones work. The rule is LOST: an accepted job
// that is asked for `finish_s` later gets no answer in time.
func silent(c *cluster, trouble bool) (bool, error) {
	c.proxied = true
	if err := c.start(smallSite()); err != nil {
		return false, err
	}
	if err := c.begin(1); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	for round := range silences {
		id := fmt.Sprintf("8f0e7a21d94b36f%x", round)
		c.world.setWork(id, 500*time.Millisecond)
		if err := c.accept(id, `{"spec":"check","phases":[{"count":1,"cpu":4000,"memMb":1024,"gpu":1,"estimateMs":500}]}`); err != nil {
			return false, err
		}
		if trouble {
			c.silence()
		}
		time.Sleep(askAfter)
		if !c.answers(id) {
			c.rec.printf("LOST: an accepted job gets no answer from %v to %v after the channels went silent", askAfter, askAfter+askFor)
			return true, nil
		}
	}
	return false, nil
}

// silence makes the open channels to the control processes silent.
func (c *cluster) silence() {
	n := 0
	for _, p := range c.proxies {
		n += p.silence()
	}
	c.rec.printf("the %d open channels to the control processes go silent; new ones work", n)
}

// answers reports whether a GET of the job is answered with its state at any node within askFor.
func (c *cluster) answers(id string) bool {
	for end, i := time.Now().Add(askFor), 0; time.Now().Before(end); i++ {
		if status, _ := c.job(i%3, http.MethodGet, id, ""); status == http.StatusOK {
			return true
		}
		time.Sleep(askPause)
	}
	return false
}

const (
	longWork  = 80 * time.Second
	pastStart = 6 * time.Minute
	standFor  = 6 * time.Second // longer than the 3 s of the rule
)

// firm plays a gang of all workers whose time lies six minutes back, beside one long run that it waits for. The rule is
// LOST: `finish_s` after the end of the traffic, for 3 s, a job has nothing running while there is capacity for it twice over and
// under half of the service's capacity is in use.
func firm(c *cluster, trouble bool) (bool, error) {
	if err := c.start(smallSite()); err != nil {
		return false, err
	}
	if err := c.begin(1); err != nil {
		return false, err
	}
	const long, gang, small = "9a0e7a21d94b36f1", "9a0e7a21d94b36f2", "9a0e7a21d94b36f3"
	c.world.setWork(long, longWork)
	c.world.setWork(gang, time.Second)
	c.world.setWork(small, time.Second)
	if err := c.accept(long, `{"spec":"long","phases":[{"count":1,"cpu":4000,"memMb":1024,"gpu":1,"estimateMs":80000}]}`); err != nil {
		return false, err
	}
	if _, err := c.waitRunning(long+".0.0.0", 10*time.Second); err != nil {
		return false, err
	}
	start := time.Now()
	if trouble {
		start = start.Add(-pastStart)
	}
	body := `{"spec":"gang","phases":[{"count":11,"cpu":4000,"memMb":1024,"gpu":8,"estimateMs":200000,"gang":true}],"repeatCount":1,"startAtMs":%d,"periodMs":60000}`
	if err := c.accept(gang, fmt.Sprintf(body, start.UnixMilli())); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if status, _ := c.send(1, http.MethodPost, lowPrefix+small, `{"spec":"small","phases":[{"count":1,"cpu":1000,"memMb":1024,"gpu":1,"estimateMs":1000}]}`); status != http.StatusOK {
		return false, fmt.Errorf("job %s was not accepted", small)
	}
	time.Sleep(askAfter)
	for end := time.Now().Add(standFor); time.Now().Before(end); time.Sleep(time.Second) {
		c.send(0, http.MethodGet, lowPrefix+small, "")
		if c.world.startsOf(small+".0.0.0") > 0 {
			return false, nil
		}
	}
	c.rec.printf("LOST: job %s has had nothing running for %v after its acceptance, with 87 of 88 accelerators free", small, askAfter+standFor)
	return true, nil
}
