//go:build proof

package prover

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestAtMostOnceUnderFaults sends 2,000 requests that must run at most once, with resends through all entries.
// Meanwhile entries, agents, backend servers and the control leader are killed and suspended at random, and 5% of the
// responses of backend servers are late, mixed up, truncated, corrupted or have a wrong request ID.
func TestAtMostOnceUnderFaults(t *testing.T) {
	const runners = 5
	seed := uint64(1)
	if text := os.Getenv("LAGOONMILL_SEED"); text != "" {
		seed, _ = strconv.ParseUint(text, 10, 64)
	}
	c := newCluster(t, 3, "planner")
	c.faults, c.latency = 0.05, 200*time.Millisecond
	c.startEntries()
	for i := range runners {
		c.startAgent(i)
		c.startRunner(i)
	}
	c.eventually("all backend servers", func() bool { return c.activeRunners(0) == runners })
	load := newAtMostOnceLoad(c)
	var done atomic.Bool
	var faults sync.WaitGroup
	faults.Go(func() { injectFaults(c, rand.New(rand.NewPCG(seed, 3)), runners, &done) })
	load.run(2000, 10, "t")
	done.Store(true)
	faults.Wait()
	time.Sleep(2 * time.Second)
	load.verify(runners)
}

// injectFaults kills or suspends random processes, one at a time, and restarts or resumes each, until done is set.
func injectFaults(c *cluster, rng *rand.Rand, runners int, done *atomic.Bool) {
	counts := map[string]int{}
	for !done.Load() {
		name := []string{fmt.Sprint("entry", rng.IntN(3)), fmt.Sprint("w", rng.IntN(runners)), fmt.Sprint("runner", rng.IntN(runners))}[rng.IntN(3)]
		if rng.IntN(4) == 0 {
			if leader := c.leader(); leader >= 0 {
				name = fmt.Sprint("entry", leader)
			}
		}
		if rng.IntN(3) == 0 {
			c.suspend(name)
			time.Sleep(time.Duration(500+rng.IntN(4500)) * time.Millisecond)
			c.resume(name)
			counts["frozen"]++
		} else {
			c.kill(name)
			time.Sleep(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
			c.restart(name)
			counts["killed"]++
		}
		time.Sleep(time.Duration(300+rng.IntN(700)) * time.Millisecond)
	}
	c.t.Logf("faults: %v", counts)
}

// TestInvalidResponsesAreNotForwarded sends repeatable requests to backend servers of whose responses a third are
// faulty. Callers must get the correct response or an error, and keep their connections.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	c := newCluster(t, 3, "planner")
	c.faults = 0.33
	c.startEntries()
	for i := range 3 {
		c.startAgent(i)
		c.startRunner(i)
	}
	c.eventually("all backend servers", func() bool { return c.activeRunners(0) == 3 && c.activeRunners(1) == 3 && c.activeRunners(2) == 3 })
	var mu sync.Mutex
	counts := map[string]int{}
	var wait sync.WaitGroup
	for caller := range 16 {
		wait.Go(func() {
			for i := range 200 {
				id := fmt.Sprintf("%d-%d", caller, i)
				r, err := c.call(i%3, http.MethodPost, "/r/app/sheet/"+id, "planner-token", nil, "kitchen "+id)
				mu.Lock()
				switch {
				case err != nil:
					counts["connection error"]++
				case r.outcome == "finished" && r.body != fmt.Sprintf("answer to POST /sheet/%s: kitchen %s", id, id):
					t.Errorf("%s got %q", id, r.body)
				default:
					counts[r.outcome]++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Logf("outcomes of 3200: %v", counts)
	if counts["connection error"] > 0 {
		t.Errorf("%d callers lost their connection", counts["connection error"])
	}
}

// steadyLoad sends requests continuously and records those that do not finish. mu guards failed.
type steadyLoad struct {
	c      *cluster
	stop   atomic.Bool
	sent   atomic.Int64
	mu     sync.Mutex
	failed []string
}

// run sends requests through entries that report to be ready, as the load balancer does.
func (s *steadyLoad) run(caller int) {
	var ready [8]atomic.Bool
	var wait sync.WaitGroup
	wait.Go(func() {
		for !s.stop.Load() {
			for i := range s.c.entries {
				ready[i].Store(s.c.ready(i))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	for i := 0; !s.stop.Load(); i++ {
		entry := (caller + i) % s.c.entries
		if !ready[entry].Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%d-%d", caller, i)
		r, err := s.c.call(entry, http.MethodPost, "/r/app/x/"+id, "planner-token", nil, id)
		s.sent.Add(1)
		if err != nil || r.outcome != "finished" {
			s.mu.Lock()
			s.failed = append(s.failed, fmt.Sprintf("%s at entry %d: %v %d %s %s", id, entry, err, r.status, r.outcome, r.body))
			s.mu.Unlock()
		}
	}
	wait.Wait()
}

// TestRollingRestarts makes 100 graceful restarts of entries with their control replicas, agents and backend servers
// under load. No request may be interrupted or refused.
func TestRollingRestarts(t *testing.T) {
	const runners = 4
	c := newCluster(t, 3, "planner")
	c.startEntries()
	for i := range runners {
		c.startAgent(i)
		c.startRunner(i)
	}
	c.eventually("all backend servers", func() bool {
		return c.activeRunners(0) == runners && c.activeRunners(1) == runners && c.activeRunners(2) == runners
	})
	load := &steadyLoad{c: c}
	var wait sync.WaitGroup
	for caller := range 6 {
		wait.Go(func() { load.run(caller) })
	}
	for i := range 100 {
		var name string
		switch i % 3 {
		case 0:
			name = fmt.Sprint("entry", (i/3)%3)
		case 1:
			name = fmt.Sprint("w", (i/3)%runners)
		default:
			name = fmt.Sprint("runner", (i/3)%runners)
		}
		c.stop(name)
		c.restart(name)
		if i%3 == 0 {
			c.eventually(name+" ready", func() bool { return c.ready((i / 3) % 3) })
			c.eventually("three voters", func() bool { return c.voters() == 3 })
		} else {
			c.eventually("backend servers", func() bool { return c.activeRunners((i+1)%3) == runners })
		}
	}
	load.stop.Store(true)
	wait.Wait()
	for i, f := range load.failed {
		if i < 10 {
			t.Error(f)
		}
	}
	t.Logf("100 graceful restarts, %d requests, %d not finished", load.sent.Load(), len(load.failed))
}

// TestStoppedBackendServerGetsNoRequests checks that a backend server gets no new requests from 4 s after it announces
// that it is draining, or after it is suspended without an announcement.
func TestStoppedBackendServerGetsNoRequests(t *testing.T) {
	c := newCluster(t, 3, "planner")
	c.startEntries()
	for i := range 3 {
		c.startAgent(i)
		c.startRunner(i)
	}
	c.eventually("all backend servers", func() bool { return c.activeRunners(0) == 3 && c.activeRunners(1) == 3 && c.activeRunners(2) == 3 })
	load := &steadyLoad{c: c}
	var wait sync.WaitGroup
	for caller := range 6 {
		wait.Go(func() { load.run(caller) })
	}
	time.Sleep(2 * time.Second)
	left := time.Now()
	c.stop("runner0")
	time.Sleep(4 * time.Second)
	checkDelay(t, "announcement", c.lastRun(0).Sub(left))
	suspended := time.Now()
	c.suspend("runner1")
	time.Sleep(8 * time.Second)
	c.resume("runner1") // requests that were in flight when it was suspended end now
	time.Sleep(200 * time.Millisecond)
	checkDelay(t, "silence", c.lastAccepted(1, suspended))
	load.stop.Store(true)
	wait.Wait()
	t.Logf("%d requests, %d not finished", load.sent.Load(), len(load.failed))
}

// checkDelay checks that the last new request came within 4 s of an event.
func checkDelay(t *testing.T, what string, after time.Duration) {
	t.Logf("after %s: last new request after %v", what, after.Round(time.Millisecond))
	if after > 4*time.Second {
		t.Errorf("after %s: new requests for %v", what, after)
	}
}

// lastRun returns the time of the last request in the journal of a backend server.
func (c *cluster) lastRun(i int) time.Time {
	data, _ := os.ReadFile(c.path(fmt.Sprint("runner", i, ".journal")))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	var run struct {
		At int64 `json:"at-millis"`
	}
	_ = json.Unmarshal([]byte(lines[len(lines)-1]), &run)
	return time.UnixMilli(run.At)
}

// lastAccepted returns how long after the given time the agent logged that a suspended backend server is silent (event
// 4010), from which on the server gets no new requests, or an hour if it did not log that. The server's journal cannot
// show this: requests that the agent forwarded during the suspension run only when the server resumes.
func (c *cluster) lastAccepted(i int, since time.Time) time.Duration {
	resp, err := http.Get("http://" + c.address(fmt.Sprint("w", i)) + "/healthz")
	if err == nil {
		_ = resp.Body.Close()
	}
	data, _ := os.ReadFile(c.path(fmt.Sprint("w", i, ".log")))
	var last time.Time
	for _, line := range strings.Split(string(data), "\n") {
		var e struct {
			Time  time.Time
			Event int
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == 4010 {
			last = e.Time
		}
	}
	if last.IsZero() {
		return time.Hour
	}
	return last.Sub(since)
}
