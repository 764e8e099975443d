package coordinator

import (
	"context"
	"errors"
	"fmt"
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

// TestNextMembership checks one step of the membership for each kind of change.
func TestNextMembership(t *testing.T) {
	a, b, c := member(1, "a", true), member(2, "b", true), member(3, "c", true)
	newC, d := member(9, "c", false), member(8, "d", false)
	voter := func(m replicator.Member) replicator.Member {
		m.Voter = true
		return m
	}
	peer := func(m replicator.Member, sinceContact timekeeper.Millis) replicator.Peer {
		return replicator.Peer{Member: m, SinceContact: sinceContact, CaughtUp: true}
	}
	tests := []struct {
		name    string
		members []replicator.Member
		peers   []replicator.Peer
		want    []replicator.Member // nil: nothing to change
	}{
		{"nothing changes while all voters are live", []replicator.Member{a, b, c}, []replicator.Peer{peer(b, 0), peer(c, 0)}, nil},
		{"a silent voter stays while there is no learner", []replicator.Member{a, b, c}, []replicator.Peer{peer(b, 0), peer(c, 60_000)}, nil},
		{"a voter that lost its disk is replaced by the learner at its address", []replicator.Member{a, b, c, newC}, []replicator.Peer{peer(b, 0), peer(c, 0), peer(newC, 0)}, []replicator.Member{a, b, newC}},
		{"a learner is promoted while a voter is missing", []replicator.Member{a, b, newC}, []replicator.Peer{peer(b, 0), peer(newC, 0)}, []replicator.Member{a, b, voter(newC)}},
		{"a learner at another address waits while all voters are live", []replicator.Member{a, b, c, d}, []replicator.Peer{peer(b, 0), peer(c, 0), peer(d, 0)}, nil},
		{"a silent voter is replaced by a learner at another address", []replicator.Member{a, b, c, d}, []replicator.Peer{peer(b, 0), peer(c, voterTimeout+1), peer(d, 0)}, []replicator.Member{a, b, d}},
		{"a silent learner is removed", []replicator.Member{a, b, c, d}, []replicator.Peer{peer(b, 0), peer(c, 0), peer(d, learnerTimeout+1)}, []replicator.Member{a, b, c}},
		{"a learner that lags is not promoted", []replicator.Member{a, b, d}, []replicator.Peer{peer(b, 0), {Member: d}}, nil},
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

// TestExpireWaitsForEveryLease checks that no worker expires while a lease may last, be it of an earlier leader or by a
// slow clock.
func TestExpireWaitsForEveryLease(t *testing.T) {
	const span, leaderSince timekeeper.Millis = 5000, 1000
	l := newLeases(span)
	l.reset(leaderSince)
	if l.expire("w", 1, leaderSince+span) {
		t.Error("the worker expires while an earlier leader's lease may last")
	}
	if !l.expire("w", 1, leaderSince+span+span/50+leaseMargin+1) {
		t.Error("a worker that never called does not expire")
	}
	l.grant("w", 2, 20_000)
	if l.expire("w", 2, 20_000+span) {
		t.Error("the worker expires within its lease by a slow clock")
	}
	if !l.expire("w", 2, 20_000+span+span/50+leaseMargin+1) {
		t.Error("the lease does not expire")
	}
	if l.silent("w", 20_500, 1000) || !l.silent("w", 21_500, 1000) {
		t.Error("silence is not counted from the last call")
	}
}

// TestWaitingCallsShareTheNextConfirmation checks that waiting calls share a confirmation, and that none uses one that
// started before the call.
func TestWaitingCallsShareTheNextConfirmation(t *testing.T) {
	var mu sync.Mutex
	reads, release := 0, make(chan struct{})
	c := confirmer{read: func(context.Context) (uint64, error) {
		mu.Lock()
		reads++
		mu.Unlock()
		<-release
		return 0, nil
	}}
	first := c.joinNextRound()
	for started := 0; started == 0; { // wait until the first round has started
		mu.Lock()
		started = reads
		mu.Unlock()
	}
	second, third := c.joinNextRound(), c.joinNextRound()
	if second == first {
		t.Error("a call joined a round that had started")
	}
	if second != third {
		t.Error("two calls that wait do not share a round")
	}
	close(release)
	<-first.done
	<-second.done
	if reads != 2 {
		t.Errorf("%d reads, want 2", reads)
	}
}

// TestConfirmReturnsTheReadError checks that a call gets the error of a replica that no longer leads.
func TestConfirmReturnsTheReadError(t *testing.T) {
	c := confirmer{read: func(context.Context) (uint64, error) { return 0, replicator.ErrNotLeader }}
	if err := c.confirm(context.Background()); !errors.Is(err, replicator.ErrNotLeader) {
		t.Errorf("error %v, want %v", err, replicator.ErrNotLeader)
	}
}

// TestBadWorkersAreAvoidedTemporarily checks that workers are avoided for avoidTime after two bad runs in a row, and
// only a share of all workers at once.
func TestBadWorkersAreAvoidedTemporarily(t *testing.T) {
	c := newCluster(t, 5)
	o := newObserver()
	if o.recordResult("w0", result{}, 0) {
		t.Error("a worker is avoided after one failed run")
	}
	if !o.recordResult("w0", result{}, 0) {
		t.Error("a worker is not avoided after two failed runs")
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		o.recordResult(w, result{}, 0)
		o.recordResult(w, result{}, 0)
	}
	if got := len(o.plannerInput(c.state, 1).Avoided); got != 2 {
		t.Errorf("%d of 5 workers are avoided, want 2", got)
	}
	if got := len(o.plannerInput(c.state, avoidTime).Avoided); got != 0 {
		t.Errorf("%d workers are still avoided after avoidTime", got)
	}
	o.recordResult("w4", result{}, 0)
	o.recordResult("w4", result{good: true, runTime: 1}, 2)
	if o.recordResult("w4", result{}, 0) {
		t.Error("a worker is avoided despite a good run between two bad ones")
	}
}

// TestGoodEndOfEarlierRunDoesNotClearWorker guards against a worker that fails every new run, but counts as healthy
// again when it completes a run that it started before.
func TestGoodEndOfEarlierRunDoesNotClearWorker(t *testing.T) {
	c := newCluster(t, 5)
	o := newObserver()
	o.recordResult("w0", result{runTime: 2000}, 10_000)
	if !o.recordResult("w0", result{runTime: 500}, 10_500) {
		t.Fatal("a worker is not avoided after two failed runs")
	}
	o.recordResult("w0", result{good: true, runTime: 3000}, 11_000)
	if !o.plannerInput(c.state, 11_000).Avoided["w0"] {
		t.Error("the good end of a run that started before the failures clears the worker")
	}
	o.recordResult("w0", result{good: true, runTime: 400}, 11_500)
	if in := o.plannerInput(c.state, 11_500); in.Avoided["w0"] || in.Suspect["w0"] {
		t.Error("a good run that started after the failures does not clear the worker")
	}
}

// TestImmediateFailureAvoidsWorker checks that a worker is avoided after one run that failed as soon as it started, and
// only suspect after one run that failed later.
func TestImmediateFailureAvoidsWorker(t *testing.T) {
	c := newCluster(t, 5)
	o := newObserver()
	if !o.recordResult("w0", result{runTime: 30}, 1000) {
		t.Error("a worker is not avoided after an immediate failure")
	}
	if o.recordResult("w1", result{runTime: 900}, 1000) {
		t.Error("a worker is avoided after one run that failed later")
	}
	if in := o.plannerInput(c.state, 1000); !in.Suspect["w1"] || in.Suspect["w2"] {
		t.Errorf("suspect workers are %v, want w1 and the avoided one", in.Suspect)
	}
	if o.plannerInput(c.state, 1000+avoidTime).Suspect["w1"] {
		t.Error("a worker is still suspect after avoidTime")
	}
}

// TestLostRunsKeepTheLastCheckpoint checks that runs lost by a detachment or reported as lost get the checkpoint that
// was listed last.
func TestLostRunsKeepTheLastCheckpoint(t *testing.T) {
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
	ends := []tracker.End{{Run: keys[0], Kind: tracker.EndLost}, {Run: keys[1], Kind: tracker.EndLost}}
	o.fillCheckpoints(ends)
	if ends[0].Checkpoint != "c2" || ends[1].Checkpoint != "" {
		t.Errorf("checkpoints %q and %q", ends[0].Checkpoint, ends[1].Checkpoint)
	}
}

// TestAdmit checks that a task that no worker can hold and a job of a queue that needs the advisor are refused, and
// that a job that runs in waves is not.
func TestAdmit(t *testing.T) {
	c := newCluster(t, 2)
	q, _ := c.state.Configuration.Queue("batch")
	fits := modeler.Job{Steps: []modeler.Step{{Count: 100, Need: modeler.Resources{Accelerators: 8}}}}
	if refusal := admit(c.state, q, fits); refusal != nil {
		t.Errorf("a job that runs in waves is refused: %s", refusal.Reason)
	}
	needsAdvisor := q
	needsAdvisor.NeedsAdvisor = true
	if refusal := admit(c.state, needsAdvisor, fits); refusal == nil || refusal.Outcome != OutcomeUnsupported {
		t.Errorf("a job of a queue that needs the advisor got %+v", refusal)
	}
	large := modeler.Job{Steps: []modeler.Step{{Count: 1, Need: modeler.Resources{Accelerators: 9}}}}
	if refusal := admit(c.state, q, large); refusal == nil || refusal.Outcome != OutcomeRefused || refusal.RetryAfter == 0 {
		t.Errorf("a task that no worker can hold got %+v", refusal)
	}
}

// TestExpiredAttachmentGetsNoLease guards against a lease for an agent that calls just after its lease expired, before
// the detachment is committed: it could start runs that are also started elsewhere. The next attachment gets a lease.
func TestExpiredAttachmentGetsNoLease(t *testing.T) {
	l := newLeases(5000)
	l.grant("w", 3, 0)
	if !l.expire("w", 3, 6000) {
		t.Fatal("the lease does not expire")
	}
	if _, ok := l.grant("w", 3, 6001); ok {
		t.Error("an expired attachment got a lease")
	}
	if _, ok := l.grant("w", 4, 6002); !ok {
		t.Error("the next attachment gets no lease")
	}
}

// TestOddReplicasDoNotJoin sends requests to join that no replica sends, and then more than the membership may hold.
func TestOddReplicasDoNotJoin(t *testing.T) {
	c, ctx := startCoordinator(t)
	for _, r := range []JoinRequest{{Address: "127.0.0.1:5"}, {ID: 9}, {ID: 9, Address: "127.0.0.1:99999"}, {ID: 9, Address: "%zz:1"}} {
		if _, err := c.join(ctx, &r); err == nil {
			t.Errorf("%+v joined", r)
		}
	}
	for i := range 2 * maxMembers {
		// The error does not matter here: a change may be pending, and the last ones are refused.
		_, _ = c.join(ctx, &JoinRequest{ID: replicator.ReplicaID(100 + i), Address: fmt.Sprintf("127.0.0.1:%d", 100+i)})
	}
	if got := len(c.node.Status().Members.Members); got > maxMembers {
		t.Errorf("%d members, want at most %d", got, maxMembers)
	}
}
