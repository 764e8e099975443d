package executor

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// TestLeaseNeverOutlastsTheGrant draws a reading of the runner's clock that took some time to arrive, a request some
// time after it, and an agent that is suspended in between, so that its own clock stands still. By true time, the lease
// ends no later than it was granted from the moment of the request.
func TestLeaseNeverOutlastsTheGrant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		span := func(name string, most int) timekeeper.Millis {
			return timekeeper.Millis(rapid.IntRange(0, most).Draw(rt, name))
		}
		runnerStart, agentStart := span("runner-start", 1_000_000), span("agent-start", 1_000_000)
		read := runnerStart + agentStart + span("read", 1_000_000)
		arrived := read + span("on-its-way", 2000)
		suspended := span("suspended", 10_000)
		sent := arrived + suspended + span("until-sent", 5000)
		lease := span("lease", 10_000)

		clock := reading{value: read - runnerStart, at: arrived - agentStart}
		end := runnerStart + leaseEnd(clock, sent-agentStart-suspended, lease)
		if lease > 0 && end > sent+lease {
			rt.Fatalf("the lease ends at %v, granted until %v", end, sent+lease)
		}
	})
}

// fakeRunner answers as its test tells it.
type fakeRunner struct {
	starts, stops []tracker.RunKey
	start, stop   Verdict
	err           error
}

func (f *fakeRunner) Start(_ context.Context, o StartOrder) (Verdict, error) {
	f.starts = append(f.starts, o.Run)
	return f.start, f.err
}

func (f *fakeRunner) Stop(_ context.Context, run tracker.RunKey, _ uint64) (Verdict, error) {
	f.stops = append(f.stops, run)
	return f.stop, f.err
}

func (f *fakeRunner) Hold(context.Context, HoldOrder) (Listing, Verdict, error) {
	return Listing{}, VerdictDone, nil
}

// newTestSession returns a session whose runner has seen its token and listed what is given.
func newTestSession(t *testing.T, runner *fakeRunner, listing Listing) *session {
	t.Helper()
	l := locator.New([]string{"127.0.0.1:1"}, logger.Logger{})
	t.Cleanup(l.Close)
	agent := New("w", "p", func(Announcement) Runner { return runner }, l, logger.Logger{})
	a := Announcement{Life: tracker.Life{ID: "i", Born: 7}}
	agent.Announce(a)
	s := newSession(agent, a, 0, 5)
	s.holds, s.holding = 1, true
	listing.Life = a.Life
	s.takeListing(holdResult{serial: 1, listing: listing, verdict: VerdictDone})
	return s
}

func testRun(index int) tracker.RunKey {
	return tracker.RunKey{Task: tracker.TaskKey{Job: "j", Index: index}, Attempt: 1}
}

// order gives the session one run, and lets it send what it has to.
func (s *session) order(t *testing.T, o coordinator.Order) *run {
	t.Helper()
	s.takeOrders(watchResult{response: coordinator.WatchResponse{Version: s.version + 1, Orders: []coordinator.Order{o}}, lease: 9000})
	return s.orders[o.Run]
}

// settle makes the calls that are due for a run and takes their results.
func (s *session) settle(r *run) {
	r.next = 0
	s.advance(context.Background(), r, s.draining(), 1)
	if r.busy {
		s.takeVerdict(<-s.ordersDone)
	}
}

// TestRunsOfEarlierAttachmentsAreNotBegun gives a session a run that an earlier one was given: listed it is adopted, not
// listed it is given back, and it is never started.
func TestRunsOfEarlierAttachmentsAreNotBegun(t *testing.T) {
	for _, listed := range []bool{true, false} {
		runner := &fakeRunner{start: VerdictDone, stop: VerdictDone}
		var listing Listing
		if listed {
			listing.Running = []Running{{Run: testRun(0)}}
		}
		s := newTestSession(t, runner, listing)
		r := s.order(t, coordinator.Order{Run: testRun(0), Epoch: 4})
		s.settle(r)
		if len(runner.starts) > 0 {
			t.Errorf("listed %v: the run was started", listed)
		}
		if got, want := r.missing() != 0, !listed; got != want {
			t.Errorf("listed %v: reported as missing %v, want %v", listed, got, want)
		}
	}
}

// TestUnansweredStartIsNotGivenUpEarly has a start without an answer and then an order to stop: the run is missing only
// once the stop was confirmed and a list made after it lacks the run.
func TestUnansweredStartIsNotGivenUpEarly(t *testing.T) {
	runner := &fakeRunner{err: errors.New("no answer"), stop: VerdictDone}
	s := newTestSession(t, runner, Listing{})
	r := s.order(t, coordinator.Order{Run: testRun(0), Epoch: 5})
	s.settle(r)
	s.order(t, coordinator.Order{Run: testRun(0), Epoch: 5, Stop: true})
	s.settle(r)
	if r.missing() != 0 {
		t.Fatal("missing although the stop was not confirmed")
	}
	runner.err = nil
	s.holds = 2 // a hold is on its way while the stop is confirmed
	s.settle(r)
	s.takeListing(holdResult{serial: 2, listing: Listing{}, verdict: VerdictDone})
	if r.missing() != 0 {
		t.Fatal("missing by a list that was asked for before the stop")
	}
	s.holds = 3
	s.takeListing(holdResult{serial: 3, listing: Listing{}, verdict: VerdictDone})
	if r.missing() == 0 {
		t.Fatal("not missing although a later list lacks the run")
	}
	if diff := cmp.Diff([]tracker.RunKey{testRun(0), testRun(0)}, runner.stops); diff != "" {
		t.Errorf("stops sent (-want +got):\n%s", diff)
	}
}

// TestDrainingRunnerGetsNothingNew announces that the runner leaves; a run that was just given is given back unsent.
func TestDrainingRunnerGetsNothingNew(t *testing.T) {
	runner := &fakeRunner{start: VerdictDone, stop: VerdictDone}
	s := newTestSession(t, runner, Listing{})
	s.agent.Announce(Announcement{Life: s.life, Sequence: 1, Draining: true})
	r := s.order(t, coordinator.Order{Run: testRun(0), Epoch: 5})
	s.settle(r)
	if len(runner.starts) > 0 || r.missing() == 0 {
		t.Errorf("starts %v, missing %v", runner.starts, r.missing())
	}
}

// TestStraysAreStopped lists a run that nobody ordered.
func TestStraysAreStopped(t *testing.T) {
	runner := &fakeRunner{start: VerdictDone, stop: VerdictDone}
	s := newTestSession(t, runner, Listing{Running: []Running{{Run: testRun(9)}}})
	s.order(t, coordinator.Order{Run: testRun(0), Epoch: 5})
	s.settle(s.strays[testRun(9)])
	if diff := cmp.Diff([]tracker.RunKey{testRun(9)}, runner.stops); diff != "" {
		t.Errorf("stops sent (-want +got):\n%s", diff)
	}
}

// TestOvertakenAnnouncementsAreLeftOut sends what an earlier life and an earlier time said after what is newer.
func TestOvertakenAnnouncementsAreLeftOut(t *testing.T) {
	agent := New("w", "p", nil, nil, logger.Logger{})
	life := tracker.Life{ID: "i", Born: 7}
	agent.Announce(Announcement{Life: life, Sequence: 3, Draining: true})
	agent.Announce(Announcement{Life: life, Sequence: 2})
	agent.Announce(Announcement{Life: tracker.Life{ID: "i", Born: 6}, Sequence: 9})
	agent.Announce(Announcement{Life: life, Sequence: 4})
	got, _ := agent.announced()
	want := Announcement{Life: life, Sequence: 4, Draining: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("announced (-want +got):\n%s", diff)
	}
}

// TestOtherLifeEndsTheSession gets a list of a runner that was started again under its id.
func TestOtherLifeEndsTheSession(t *testing.T) {
	s := newTestSession(t, &fakeRunner{}, Listing{})
	s.takeListing(holdResult{serial: 2, listing: Listing{Life: tracker.Life{ID: "i", Born: 8}}, verdict: VerdictDone})
	if !s.over {
		t.Error("the session goes on with another life of the runner")
	}
}
