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

// onceLoad sends requests that must run at most once, each again and again through random entries until it has an
// answer that is final, and keeps what callers were told.
type onceLoad struct {
	c       *cluster
	mu      sync.Mutex
	finals  map[string]string // key to the last outcome
	notRun  map[string]bool   // keys whose last word was "not run"
	wrong   []string
	answers int
}

func newOnceLoad(c *cluster) *onceLoad {
	return &onceLoad{c: c, finals: map[string]string{}, notRun: map[string]bool{}}
}

// run sends count requests from the given number of callers.
func (l *onceLoad) run(count, callers int, prefix string) {
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

// send sends one request until it finished, is not known, or was told as not run a few times.
func (l *onceLoad) send(rng *rand.Rand, key string) {
	header := map[string]string{
		"Idempotency-Key": key, "Lagoonmill-Repeatable": "no", "Lagoonmill-Class": "urgent", "Lagoonmill-Deadline": "5000",
	}
	last := "none"
	for try := range 60 {
		r, err := l.c.call(rng.IntN(l.c.entries), http.MethodPost, "/r/app/ticket/"+key, "planner-token", header, "body of "+key)
		if err != nil {
			time.Sleep(50 * time.Millisecond) // lost answer: send again under the same id
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
	l.finals[key] = last
	l.notRun[key] = last == "not-run"
}

func (l *onceLoad) check(key string, r reply) {
	want := fmt.Sprintf("answer to POST /ticket/%s: body of %s", key, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	if r.body != want && !strings.Contains(r.body, "no longer kept") {
		l.wrong = append(l.wrong, fmt.Sprintf("%s got %q", key, r.body))
	}
}

// verify compares what callers were told with what the backend servers ran.
func (l *onceLoad) verify(runners int) {
	t := l.c.t
	runs := l.c.runsByID(runners)
	counts := map[string]int{}
	for key, outcome := range l.finals {
		counts[outcome]++
		switch {
		case runs[key] > 1:
			t.Errorf("%s ran %d times", key, runs[key])
		case outcome == "finished" && runs[key] != 1:
			t.Errorf("%s finished and ran %d times", key, runs[key])
		case outcome == "not-run" && runs[key] != 0:
			t.Errorf("%s was told as not run, and ran", key)
		}
	}
	for _, w := range l.wrong {
		t.Errorf("wrong answer: %s", w)
	}
	t.Logf("outcomes: %v of %d", counts, len(l.finals))
}

// TestWholePath starts a small cluster, kills the leader and a backend server's agent under load, and stops
// everything gracefully.
func TestWholePath(t *testing.T) {
	c := newCluster(t, 3, "planner")
	c.startEntries()
	for i := range 2 {
		c.startAgent(i)
		c.startRunner(i)
		c.startWorker(i)
	}
	c.eventually("both agents everywhere", func() bool { return c.runners(0) == 2 && c.runners(1) == 2 && c.runners(2) == 2 })
	load := newOnceLoad(c)
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
	if load.answers == 0 {
		t.Error("no request was answered")
	}
	c.eventually("all entries ready", func() bool { return c.ready(0) && c.ready(1) && c.ready(2) })
	for _, name := range []string{"runner0", "runner1", "w0", "w1", "entry0", "entry1", "entry2", "worker0", "worker1"} {
		c.stop(name)
	}
}
