//go:build proof

package prover

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// change is an acknowledged configuration change with its revision.
type change struct {
	name     string
	revision uint64
}

// configLoad creates workspaces through random entries and resends commands that are not acknowledged. mu guards acked.
type configLoad struct {
	c     *cluster
	mu    sync.Mutex
	acked []change
}

func (l *configLoad) write(stop *atomic.Bool, writer int) {
	rng := rand.New(rand.NewPCG(uint64(writer), 9))
	for i := 0; !stop.Load(); i++ {
		name := fmt.Sprintf("ws-%d-%d", writer, i)
		for !stop.Load() {
			r, err := l.c.call(rng.IntN(l.c.entries), http.MethodPut, "/v1/workspaces/"+name, operatorToken,
				map[string]string{"Lagoonmill-Command": name}, map[string]any{"weight": 1})
			if err == nil && r.status == http.StatusOK {
				l.recordAck(name, r.body)
				break
			}
			if err == nil && r.status == http.StatusConflict {
				name += "x" // a concurrent change won this revision: send a new command
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (l *configLoad) recordAck(name, body string) {
	var a struct {
		Revision uint64
	}
	if err := decode(body, &a); err != nil {
		l.c.t.Errorf("response to %s: %v", name, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = append(l.acked, change{name, a.Revision})
}

// verify checks that the history of every entry contains each acknowledged change under its revision, and no revision
// twice. Changes older than the kept history are not checked.
func (l *configLoad) verify() {
	t := l.c.t
	var history []struct {
		Revision uint64
		What     string
	}
	for entry := range l.c.entries {
		l.c.eventually("history", func() bool { return l.c.get(entry, "/v1/history?confirm=yes", &history) == nil })
		byRevision := map[uint64]string{}
		for _, h := range history {
			if byRevision[h.Revision] != "" {
				t.Errorf("entry %d: revision %d twice", entry, h.Revision)
			}
			byRevision[h.Revision] = h.What
		}
		missing := 0
		for _, a := range l.acked {
			if len(history) > 0 && a.revision >= history[0].Revision && byRevision[a.revision] != "set workspace "+a.name {
				missing++
			}
		}
		if missing > 0 {
			t.Errorf("entry %d: %d of %d acknowledged changes are missing", entry, missing, len(l.acked))
		}
	}
	t.Logf("%d changes acknowledged, %d in the kept history", len(l.acked), len(history))
}

// TestAcknowledgedChangesSurviveReplicaFailures changes the configuration while it kills the leader, suspends a leader
// beyond its lease, deletes the data of one replica, and deletes that of another right after the first is replaced. No
// acknowledged change may be lost.
func TestAcknowledgedChangesSurviveReplicaFailures(t *testing.T) {
	c := newCluster(t, 3)
	c.startEntries("--snapshot-every", "200")
	load := &configLoad{c: c}
	var stop atomic.Bool
	var wait sync.WaitGroup
	for writer := range 4 {
		wait.Go(func() { load.write(&stop, writer) })
	}
	c.eventually("a leader", func() bool { return c.leader() >= 0 })

	killed := fmt.Sprint("entry", c.leader())
	c.kill(killed)
	killedAt := time.Now()
	c.eventually("another leader", func() bool { return c.leader() >= 0 })
	t.Logf("new leader %v after the kill", time.Since(killedAt).Round(time.Millisecond))
	c.restart(killed)
	c.eventually("three voters", func() bool { return c.voters() == 3 })

	suspended := fmt.Sprint("entry", c.leader())
	c.suspend(suspended)
	time.Sleep(5 * time.Second)
	c.resume(suspended)
	time.Sleep(time.Second)

	emptied := (c.leader() + 1) % 3
	c.kill(fmt.Sprint("entry", emptied))
	if err := os.RemoveAll(c.path(fmt.Sprint("data", emptied))); err != nil {
		t.Fatal(err)
	}
	c.restart(fmt.Sprint("entry", emptied))
	c.eventually("three voters with the replaced replica", func() bool { return c.voters() == 3 && c.ready(emptied) })
	second := (emptied + 1) % 3
	c.kill(fmt.Sprint("entry", second))
	if err := os.RemoveAll(c.path(fmt.Sprint("data", second))); err != nil {
		t.Fatal(err)
	}
	c.eventually("a leader after the second loss", func() bool { return c.leader() >= 0 })
	c.restart(fmt.Sprint("entry", second))
	c.eventually("three voters again", func() bool { return c.voters() == 3 })
	time.Sleep(time.Second)
	stop.Store(true)
	wait.Wait()
	load.verify()
}

type revisions struct {
	Revision uint64 `json:"revision"`
	InForce  uint64 `json:"in-force"`
	Current  string `json:"preset-in-force"`
}

// TestConcurrentPresetSwitches lets two operators attempt 500 preset switches against the revision that each has read,
// and resends every command. Watchers at all entries check that no revision decreases and that each revision in force
// has one preset.
func TestConcurrentPresetSwitches(t *testing.T) {
	c := newCluster(t, 3)
	c.startEntries()
	for i := range 2 {
		if _, err := c.call(0, http.MethodPut, fmt.Sprint("/v1/presets/p", i), operatorToken, nil, map[string]any{}); err != nil {
			t.Fatal(err)
		}
	}
	var stop atomic.Bool
	var watchers sync.WaitGroup
	record := newPresetRecord()
	for entry := range 3 {
		watchers.Go(func() { record.watch(c, entry, &stop) })
	}
	var succeeded [2]int
	var operators sync.WaitGroup
	for op := range 2 {
		operators.Go(func() { succeeded[op] = switchPresets(c, op, 250) })
	}
	operators.Wait()
	var last revisions
	c.eventually("the last revision in force", func() bool { return c.get(0, "/v1/revision", &last) == nil && last.InForce == last.Revision })
	for entry := range 3 {
		c.eventually("all entries converge", func() bool {
			var r revisions
			return c.get(entry, "/v1/revision", &r) == nil && r == last
		})
	}
	stop.Store(true)
	watchers.Wait()
	record.verify(t)
	t.Logf("500 switches attempted, %d and %d succeeded; revision %d", succeeded[0], succeeded[1], last.Revision)
	if last.Revision != uint64(1+2+succeeded[0]+succeeded[1]) {
		t.Errorf("revision %d after %d successful switches", last.Revision, succeeded[0]+succeeded[1])
	}
}

// switchPresets attempts changes against the current revision and returns how many succeed. It resends each command
// through another entry, and both responses must have the same status.
func switchPresets(c *cluster, op, changes int) int {
	succeeded := 0
	for i := range changes {
		var seen revisions
		for c.get(op, "/v1/revision", &seen) != nil {
			time.Sleep(10 * time.Millisecond)
		}
		header := map[string]string{
			"Lagoonmill-Command": fmt.Sprintf("op%d-%d", op, i), "Lagoonmill-Revision": strconv.FormatUint(seen.Revision, 10),
		}
		path := fmt.Sprintf("/v1/presets/p%d/use", op)
		first, err := c.call(op, http.MethodPost, path, operatorToken, header, nil)
		again, err2 := c.call((op+1)%3, http.MethodPost, path, operatorToken, header, nil)
		if err != nil || err2 != nil {
			c.t.Errorf("operator %d: %v %v", op, err, err2)
			continue
		}
		if first.status != again.status {
			c.t.Errorf("operator %d: status %d, on resend %d", op, first.status, again.status)
		}
		if first.status == http.StatusOK {
			succeeded++
		}
	}
	return succeeded
}

// presetRecord collects the observations of all watchers. mu guards it.
type presetRecord struct {
	mu          sync.Mutex
	preset      map[uint64]map[string]bool // presets observed by revision in force
	regressions []string                   // decreases of a revision
}

func newPresetRecord() *presetRecord { return &presetRecord{preset: map[uint64]map[string]bool{}} }

func (p *presetRecord) watch(c *cluster, entry int, stop *atomic.Bool) {
	var last revisions
	for !stop.Load() {
		var r revisions
		if c.get(entry, "/v1/revision", &r) != nil {
			continue
		}
		p.mu.Lock()
		if r.Revision < last.Revision || r.InForce < last.InForce {
			p.regressions = append(p.regressions, fmt.Sprintf("entry %d went from %+v to %+v", entry, last, r))
		}
		if p.preset[r.InForce] == nil {
			p.preset[r.InForce] = map[string]bool{}
		}
		p.preset[r.InForce][r.Current] = true
		p.mu.Unlock()
		last = r
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *presetRecord) verify(t *testing.T) {
	for _, d := range p.regressions {
		t.Error(d)
	}
	for revision, presets := range p.preset {
		if len(presets) != 1 {
			t.Errorf("revision %d in force with presets %v", revision, presets)
		}
	}
}

// TestInForceEverywhere measures, with idle agents, how long an accepted change takes until all agents have
// acknowledged it and all entries report that it is in force. It then logs the resource usage of idle processes.
func TestInForceEverywhere(t *testing.T) {
	agents := 11
	if text := os.Getenv("LAGOONMILL_AGENTS"); text != "" {
		agents, _ = strconv.Atoi(text)
	}
	c := newCluster(t, 3)
	c.startEntries()
	for i := range agents {
		c.startAgent(i)
	}
	c.startWorker(0) // one agent has a worker and a backend server, both idle
	c.startRunner(0)
	c.eventually("all agents attached", func() bool { return c.attachedAgents(0) == agents })
	time.Sleep(6 * time.Second)
	var took []time.Duration
	for i := range 30 {
		started := time.Now()
		r, err := c.call(i%3, http.MethodPut, fmt.Sprint("/v1/workspaces/w", i), operatorToken, nil, map[string]any{"weight": 1})
		if err != nil || r.status != http.StatusOK {
			t.Fatalf("change: %v %+v", err, r)
		}
		var a struct{ Revision uint64 }
		if err := decode(r.body, &a); err != nil {
			t.Fatal(err)
		}
		for entry := range 3 {
			c.eventually("in force", func() bool {
				var r revisions
				return c.get(entry, "/v1/revision", &r) == nil && r.InForce >= a.Revision
			})
		}
		took = append(took, time.Since(started))
	}
	slices.Sort(took)
	t.Logf("%d agents: in force everywhere p50 %v, p99 %v, max %v", agents, took[len(took)/2].Round(time.Millisecond),
		took[len(took)*99/100].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
	c.logIdleUsage(agents)
}
