package coordinator

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

func member(id replicator.ReplicaID, address string, voter bool) replicator.Member {
	return replicator.Member{ID: id, Address: address, Voter: voter}
}

// TestHeal states one step of the membership for each kind of change.
func TestHeal(t *testing.T) {
	a, b, c := member(1, "a", true), member(2, "b", true), member(3, "c", true)
	newC, d := member(9, "c", false), member(8, "d", false)
	voter := func(m replicator.Member) replicator.Member {
		m.Voter = true
		return m
	}
	peer := func(m replicator.Member, silence timekeeper.Millis) replicator.Peer {
		return replicator.Peer{Member: m, Silence: silence, CaughtUp: true}
	}
	tests := []struct {
		name    string
		members []replicator.Member
		peers   []replicator.Peer
		want    []replicator.Member // nil: nothing to change
	}{
		{"all well", []replicator.Member{a, b, c}, []replicator.Peer{peer(b, 0), peer(c, 0)}, nil},
		{"a voter is silent and nobody takes its place", []replicator.Member{a, b, c}, []replicator.Peer{peer(b, 0), peer(c, 60_000)}, nil},
		{"a wiped voter is replaced at its address", []replicator.Member{a, b, c, newC}, []replicator.Peer{peer(b, 0), peer(c, 0), peer(newC, 0)}, []replicator.Member{a, b, newC}},
		{"the newcomer gets the free vote", []replicator.Member{a, b, newC}, []replicator.Peer{peer(b, 0), peer(newC, 0)}, []replicator.Member{a, b, voter(newC)}},
		{"a newcomer elsewhere waits while all voters are heard", []replicator.Member{a, b, c, d}, []replicator.Peer{peer(b, 0), peer(c, 0), peer(d, 0)}, nil},
		{"it takes the place of a silent one", []replicator.Member{a, b, c, d}, []replicator.Peer{peer(b, 0), peer(c, voterTimeout+1), peer(d, 0)}, []replicator.Member{a, b, d}},
		{"a learner that is gone is forgotten", []replicator.Member{a, b, c, d}, []replicator.Peer{peer(b, 0), peer(c, 0), peer(d, learnerTimeout+1)}, []replicator.Member{a, b, c}},
		{"one that lags gets no vote", []replicator.Member{a, b, d}, []replicator.Peer{peer(b, 0), {Member: d}}, nil},
	}
	for _, test := range tests {
		const wanted = 3
		next, changed := nextMembership(replicator.Membership{Members: test.members}, test.peers, wanted)
		if changed != (test.want != nil) {
			t.Errorf("%s: changed %v", test.name, changed)
			continue
		}
		if diff := cmp.Diff(test.want, next.Members); changed && diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestLeasesOutliveLeaders checks that nothing counts as ended while an earlier leader's lease may last.
func TestLeasesOutliveLeaders(t *testing.T) {
	const span, taken timekeeper.Millis = 5000, 1000
	l := newLeases(span)
	l.reset(taken)
	if l.expire("w", 1, taken+span) {
		t.Error("a worker counts as lost while an earlier leader's lease may last")
	}
	if !l.expire("w", 1, taken+span+span/50+leaseMargin+1) {
		t.Error("a worker that nobody heard of keeps its runs for good")
	}
	l.grant("w", 2, 20_000)
	if l.expire("w", 2, 20_000+span) {
		t.Error("a worker counts as lost within its lease by a slow clock")
	}
	if !l.expire("w", 2, 20_000+span+span/50+leaseMargin+1) {
		t.Error("a lease does not end")
	}
	if l.silent("w", 20_500, 1000) || !l.silent("w", 21_500, 1000) {
		t.Error("silence is not counted from the last call")
	}
}

// TestConfirmationsAreSharedNotReused has calls wait for confirmations: none is served by one that began before it.
func TestConfirmationsAreSharedNotReused(t *testing.T) {
	var mu sync.Mutex
	began, gate := 0, make(chan struct{})
	c := confirmer{read: func(context.Context) (uint64, error) {
		mu.Lock()
		began++
		mu.Unlock()
		<-gate
		return 0, nil
	}}
	first := c.joinNextRound()
	for read := 0; read == 0; { // the first round is on its way
		mu.Lock()
		read = began
		mu.Unlock()
	}
	second, third := c.joinNextRound(), c.joinNextRound()
	if second == first {
		t.Error("a call joined a round that had begun")
	}
	if second != third {
		t.Error("two calls that wait do not share a round")
	}
	close(gate)
	<-first.done
	<-second.done
	if began != 2 {
		t.Errorf("%d reads, want 2", began)
	}
}

// TestConfirmationFails passes a lost leadership on to the call.
func TestConfirmationFails(t *testing.T) {
	c := confirmer{read: func(context.Context) (uint64, error) { return 0, replicator.ErrNotLeader }}
	if err := c.confirm(context.Background()); !errors.Is(err, replicator.ErrNotLeader) {
		t.Errorf("error %v, want %v", err, replicator.ErrNotLeader)
	}
}

// TestBadWorkersAreAvoidedForATime judges workers by how their runs end, and avoids only a share of them.
func TestBadWorkersAreAvoidedForATime(t *testing.T) {
	c := newCluster(t, 5)
	o := newObserver()
	if o.recordResult("w0", result{}, 0) {
		t.Error("one failed run is enough to avoid a worker")
	}
	if !o.recordResult("w0", result{}, 0) {
		t.Error("a second failed run changes nothing")
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		o.recordResult(w, result{}, 0)
		o.recordResult(w, result{}, 0)
	}
	if got := len(o.plannerInput(c.state, 1).Avoid); got != 2 {
		t.Errorf("%d of 5 workers are avoided, want 2", got)
	}
	if got := len(o.plannerInput(c.state, avoidTime).Avoid); got != 0 {
		t.Errorf("%d workers are avoided for good", got)
	}
	o.recordResult("w4", result{}, 0)
	o.recordResult("w4", result{good: true, took: 1}, 2)
	if o.recordResult("w4", result{}, 0) {
		t.Error("a good run between two bad ones does not count")
	}
}

// TestEndsOfEarlierRunsClearNobody has a worker that fails all that it starts end what it had started before.
func TestEndsOfEarlierRunsClearNobody(t *testing.T) {
	c := newCluster(t, 5)
	o := newObserver()
	o.recordResult("w0", result{took: 2000}, 10_000)
	if !o.recordResult("w0", result{took: 500}, 10_500) {
		t.Fatal("a second failed run changes nothing")
	}
	o.recordResult("w0", result{good: true, took: 3000}, 11_000)
	if !o.plannerInput(c.state, 11_000).Avoid["w0"] {
		t.Error("the end of a run that had begun before clears the worker")
	}
	o.recordResult("w0", result{good: true, took: 400}, 11_500)
	if in := o.plannerInput(c.state, 11_500); in.Avoid["w0"] || in.Suspect["w0"] {
		t.Error("a whole good run since then does not clear the worker")
	}
}

// TestRunsThatFailAtOnceTellOfTheWorker judges a worker by one run that fails as soon as it is started, and holds one
// whose run failed later for suspect alone.
func TestRunsThatFailAtOnceTellOfTheWorker(t *testing.T) {
	c := newCluster(t, 5)
	o := newObserver()
	if !o.recordResult("w0", result{took: 30}, 1000) {
		t.Error("a run that fails at once says nothing of its worker")
	}
	if o.recordResult("w1", result{took: 900}, 1000) {
		t.Error("one run that fails later is enough to avoid a worker")
	}
	if in := o.plannerInput(c.state, 1000); !in.Suspect["w1"] || in.Suspect["w2"] {
		t.Errorf("suspect are %v, want w1 and the worker to avoid", in.Suspect)
	}
	if o.plannerInput(c.state, 1000+avoidTime).Suspect["w1"] {
		t.Error("a worker is suspect for good")
	}
}

// TestCheckpointsOfLostRuns gives back what the runner had listed last.
func TestCheckpointsOfLostRuns(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 1000)
	o := newObserver()
	o.recordReports(1, []RunReport{{Run: keys[0], Percent: 10, Checkpoint: "c1"}})
	o.recordReports(2, []RunReport{{Run: keys[0], Percent: 20, Checkpoint: "c2"}})
	w, _ := c.state.Worker("w0")
	want := []tracker.Checkpoint{{Run: keys[0], Value: "c2"}}
	if diff := cmp.Diff(want, o.checkpoints(w)); diff != "" {
		t.Errorf("saved (-want +got):\n%s", diff)
	}
	ends := []tracker.End{{Run: keys[0], Kind: tracker.EndLapsed}, {Run: keys[1], Kind: tracker.EndLapsed}}
	o.fillCheckpoints(ends)
	if ends[0].Checkpoint != "c2" || ends[1].Checkpoint != "" {
		t.Errorf("checkpoints %q and %q", ends[0].Checkpoint, ends[1].Checkpoint)
	}
}

// TestAdmission refuses what no worker can hold, and only that.
func TestAdmission(t *testing.T) {
	c := newCluster(t, 2)
	q, _ := c.state.Configuration.Queue("batch")
	fits := modeler.Job{Steps: []modeler.Step{{Count: 100, Need: modeler.Resources{Accelerators: 8}}}}
	if refusal := admit(c.state, q, fits); refusal != nil {
		t.Errorf("a job that runs in waves is refused: %s", refusal.Reason)
	}
	advised := q
	advised.Advised = true
	if refusal := admit(c.state, advised, fits); refusal == nil || refusal.Outcome != OutcomeUnsupported {
		t.Errorf("a job of an advised queue got %+v", refusal)
	}
	large := modeler.Job{Steps: []modeler.Step{{Count: 1, Need: modeler.Resources{Accelerators: 9}}}}
	if refusal := admit(c.state, q, large); refusal == nil || refusal.Outcome != OutcomeRefused || refusal.RetryAfter == 0 {
		t.Errorf("a task that no worker can hold got %+v", refusal)
	}
}

// TestExpiredAttachmentGetsNoLease has an agent call again just after its worker was judged as lost, before that is in
// the log: with a lease it might begin runs that are begun elsewhere. Another attachment gets one.
func TestExpiredAttachmentGetsNoLease(t *testing.T) {
	l := newLeases(5000)
	l.grant("w", 3, 0)
	if !l.expire("w", 3, 6000) {
		t.Fatal("the lease does not end")
	}
	if _, ok := l.grant("w", 3, 6001); ok {
		t.Error("a lease was granted to an attachment that is being given up")
	}
	if _, ok := l.grant("w", 4, 6002); !ok {
		t.Error("the next attachment gets no lease")
	}
}
