package prover

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// atMostOnceLoad sends requests that must run at most once. It resends each through random entries until its outcome is
// final, and records the outcomes. mu guards the fields below it.
type atMostOnceLoad struct {
	c           *cluster
	mu          sync.Mutex
	outcomes    map[string]string // last outcome by key
	notRun      map[string]bool   // keys whose last outcome is "not-run"
	wrongBodies []string
	finished    int
}

func newAtMostOnceLoad(c *cluster) *atMostOnceLoad {
	return &atMostOnceLoad{c: c, outcomes: map[string]string{}, notRun: map[string]bool{}}
}

// run sends count requests from the given number of callers.
func (l *atMostOnceLoad) run(count, callers int, prefix string) {
	keys := make(chan string)
	var wait sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(uint64(i), 5))
		wait.Go(func() {
			for key := range keys {
				l.send(rng, key)
			}
		})
	}
	for i := range count {
		keys <- fmt.Sprintf("%s%04d", prefix, i)
	}
	close(keys)
	wait.Wait()
}

// send sends one request until its outcome is finished or unknown, or still not-run after 20 tries.
func (l *atMostOnceLoad) send(rng *rand.Rand, key string) {
	header := map[string]string{
		"Idempotency-Key": key, "Lagoonmill-Repeatable": "no", "Lagoonmill-Class": "urgent", "Lagoonmill-Deadline": "5000",
	}
	last := "none"
	for try := range 60 {
		r, err := l.c.call(rng.IntN(l.c.entries), http.MethodPost, "/r/app/ticket/"+key, "planner-token", header, "body of "+key)
		if err != nil {
			time.Sleep(50 * time.Millisecond) // response lost: resend under the same key
			continue
		}
		last = r.outcome
		if r.outcome == "finished" {
			l.check(key, r)
			break
		}
		if r.outcome == "unknown" || r.outcome == "not-run" && try > 20 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = last
	l.notRun[key] = last == "not-run"
}

func (l *atMostOnceLoad) check(key string, r reply) {
	want := fmt.Sprintf("answer to POST /ticket/%s: body of %s", key, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished++
	if r.body != want && !strings.Contains(r.body, "no longer kept") {
		l.wrongBodies = append(l.wrongBodies, fmt.Sprintf("%s got %q", key, r.body))
	}
}

// verify checks that no request ran twice, that finished ones ran once, and that those with outcome not-run did not
// run.
func (l *atMostOnceLoad) verify(runners int) {
	t := l.c.t
	runs := l.c.runsByID(runners)
	counts := map[string]int{}
	for key, outcome := range l.outcomes {
		counts[outcome]++
		switch {
		case runs[key] > 1:
			t.Errorf("%s ran %d times", key, runs[key])
		case outcome == "finished" && runs[key] != 1:
			t.Errorf("%s has outcome finished, but ran %d times", key, runs[key])
		case outcome == "not-run" && runs[key] != 0:
			t.Errorf("%s has outcome not-run, but ran", key)
		}
	}
	for _, w := range l.wrongBodies {
		t.Errorf("wrong response: %s", w)
	}
	t.Logf("outcomes: %v of %d", counts, len(l.outcomes))
}

// TestAtMostOnceAcrossFailover kills the leader and the agent of a backend server under load, checks that no request
// runs twice, and stops all processes gracefully.
func TestAtMostOnceAcrossFailover(t *testing.T) {
	c := newCluster(t, 3, "planner")
	c.startEntries()
	for i := range 2 {
		c.startAgent(i)
		c.startRunner(i)
		c.startWorker(i)
	}
	c.eventually("both backend servers known to all entries", func() bool { return c.activeRunners(0) == 2 && c.activeRunners(1) == 2 && c.activeRunners(2) == 2 })
	load := newAtMostOnceLoad(c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.run(300, 8, "k")
	}()
	leader := fmt.Sprint("entry", c.leader())
	c.kill(leader)
	time.Sleep(time.Second)
	c.kill("w1")
	c.restart("w1")
	c.restart(leader)
	<-done
	load.verify(2)
	if load.finished == 0 {
		t.Error("no request finished")
	}
	c.eventually("all entries ready", func() bool { return c.ready(0) && c.ready(1) && c.ready(2) })
	for _, name := range []string{"runner0", "runner1", "w0", "w1", "entry0", "entry1", "entry2", "worker0", "worker1"} {
		c.stop(name)
	}
}
