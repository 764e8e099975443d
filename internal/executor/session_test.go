package executor

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// TestLeaseEndNeverExceedsGrant guards against a runner that keeps a lease longer than the leader granted it. It draws
// a sample of the runner's clock with a delay in transit, a later lease request, and a suspension of the agent in
// between, during which the agent's clock stops. In real time, the lease must end no later than the granted duration
// after the request.
func TestLeaseEndNeverExceedsGrant(t *testing.T) {
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

		clock := clockSample{value: read - runnerStart, receivedAt: arrived - agentStart}
		end := runnerStart + leaseEnd(clock, sent-agentStart-suspended, lease)
		if lease > 0 && end > sent+lease {
			rt.Fatalf("the lease ends at %v, granted until %v", end, sent+lease)
		}
	})
}

// fakeRunner is a Runner that records starts and stops and returns the configured verdicts and error.
type fakeRunner struct {
	starts, stops []tracker.RunKey
	start, stop   Verdict
	err           error
}

func (f *fakeRunner) Start(_ context.Context, o StartRequest) (Verdict, error) {
	f.starts = append(f.starts, o.Run)
	return f.start, f.err
}

func (f *fakeRunner) Stop(_ context.Context, run tracker.RunKey, _ uint64) (Verdict, error) {
	f.stops = append(f.stops, run)
	return f.stop, f.err
}

func (f *fakeRunner) Poll(context.Context, PollRequest) (Listing, Verdict, error) {
	return Listing{}, VerdictDone, nil
}

// confirm announces an incarnation to the agent and has the runner answer as that one.
func confirm(agent *Executor, a Announcement) {
	agent.HandleAnnouncement(a)
	candidate, arrived, _ := agent.takeCandidate()
	agent.resolve(candidate, arrived, Listing{Incarnation: a.Incarnation}, VerdictDone, nil)
}

// newTestSession returns a session whose runner has seen the fencing token and answered the first poll with listing.
func newTestSession(t *testing.T, runner *fakeRunner, listing Listing) *session {
	t.Helper()
	l := locator.New([]string{"127.0.0.1:1"}, logger.Logger{})
	t.Cleanup(l.Close)
	agent := New("w", "p", func(Announcement) Runner { return runner }, l, logger.Logger{})
	a := Announcement{Incarnation: tracker.Incarnation{ID: "i", StartedAt: 7}}
	confirm(agent, a)
	s := newSession(agent, a, 0, 5)
	s.sentPolls, s.polling = 1, true
	listing.Incarnation = a.Incarnation
	s.handlePollResult(pollResult{serial: 1, listing: listing, verdict: VerdictDone})
	return s
}

func testRun(index int) tracker.RunKey {
	return tracker.RunKey{Task: tracker.TaskKey{Job: "j", Index: index}, Attempt: 1}
}

// assign makes assignment the session's only one and grants a lease.
func (s *session) assign(t *testing.T, assignment coordinator.Assignment) *run {
	t.Helper()
	s.handleWatchResult(watchResult{response: coordinator.WatchResponse{Version: s.assignmentVersion + 1, Assignments: []coordinator.Assignment{assignment}}, leaseEnd: 9000})
	return s.runs[assignment.Run]
}

// step sends the start or stop that is due for a run, if any, and processes its result.
func (s *session) step(r *run) {
	r.notBefore = 0
	s.advance(context.Background(), r, s.draining(), 1)
	if r.inFlight {
		s.handleCallResult(<-s.callResults)
	}
}

// TestRunsOfEarlierAttachmentsAreNotStarted assigns a run whose assignment dates from an earlier attachment. The
// session adopts the run if the runner lists it, reports it as missing otherwise, and never starts it.
func TestRunsOfEarlierAttachmentsAreNotStarted(t *testing.T) {
	for _, listed := range []bool{true, false} {
		runner := &fakeRunner{start: VerdictDone, stop: VerdictDone}
		var listing Listing
		if listed {
			listing.Running = []RunStatus{{Run: testRun(0)}}
		}
		s := newTestSession(t, runner, listing)
		r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 4})
		s.step(r)
		if len(runner.starts) > 0 {
			t.Errorf("listed %v: the run was started", listed)
		}
		if got, want := r.missingEnd() != 0, !listed; got != want {
			t.Errorf("listed %v: reported as missing %v, want %v", listed, got, want)
		}
	}
}

// TestRunIsNotMissingFromAPartialListing guards against a run that is taken for lost, and executed again, because its end
// is not among the first ones that the runner lists: one of an earlier attachment, and one that was stopped.
func TestRunIsNotMissingFromAPartialListing(t *testing.T) {
	first := tracker.End{Number: 1, Run: testRun(1), Kind: tracker.EndDone}
	second := tracker.End{Number: 2, Run: testRun(0), Kind: tracker.EndDone}
	for name, epoch := range map[string]uint64{"earlier attachment": 4, "stopped": 5} {
		t.Run(name, func(t *testing.T) {
			runner := &fakeRunner{stop: VerdictDone, err: errors.New("no response")}
			s := newTestSession(t, runner, Listing{Finished: []tracker.End{first}, Partial: true})
			r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: epoch})
			s.step(r)
			runner.err = nil
			r.assignment.Stop = true
			s.step(r)
			for serial := 2; serial < 4; serial++ {
				s.handlePollResult(pollResult{serial: serial, verdict: VerdictDone, listing: Listing{Finished: []tracker.End{first}, Partial: true}})
				s.step(r)
			}
			if kind := r.missingEnd(); kind != 0 {
				t.Errorf("the run counts as ended (%v) while the runner has not listed all ends", kind)
			}
			s.handlePollResult(pollResult{serial: 4, verdict: VerdictDone, listing: Listing{Finished: []tracker.End{second}}})
			if s.step(r); !r.ended || r.missingEnd() != 0 {
				t.Errorf("the end in the last part of the list is recorded: %v, missing end %v", r.ended, r.missingEnd())
			}
		})
	}
}

// TestRunMissingFromAWholeListingIsLost guards against a run that stands for good after the last part of a list.
func TestRunMissingFromAWholeListingIsLost(t *testing.T) {
	s := newTestSession(t, &fakeRunner{}, Listing{Partial: true})
	r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 4})
	s.step(r)
	s.handlePollResult(pollResult{serial: 2, verdict: VerdictDone})
	if s.step(r); r.missingEnd() != tracker.EndLost {
		t.Errorf("the run's end is %v, want %v", r.missingEnd(), tracker.EndLost)
	}
}

// TestUnansweredStartIsMissingOnlyAfterStop sends a start that gets no response, and then has the run stopped. The
// runner may still carry out the start, so the run counts as missing only after the stop was confirmed and a later poll
// does not list it.
func TestUnansweredStartIsMissingOnlyAfterStop(t *testing.T) {
	runner := &fakeRunner{err: errors.New("no response"), stop: VerdictDone}
	s := newTestSession(t, runner, Listing{})
	r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
	s.step(r)
	s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5, Stop: true})
	s.step(r)
	if r.missingEnd() != 0 {
		t.Fatal("missing although the runner has not confirmed the stop")
	}
	runner.err = nil
	s.sentPolls = 2 // a poll is in flight while the stop is confirmed
	s.step(r)
	s.handlePollResult(pollResult{serial: 2, listing: Listing{}, verdict: VerdictDone})
	if r.missingEnd() != 0 {
		t.Fatal("missing according to a poll that was sent before the stop was confirmed")
	}
	s.sentPolls = 3
	s.handlePollResult(pollResult{serial: 3, listing: Listing{}, verdict: VerdictDone})
	if r.missingEnd() == 0 {
		t.Fatal("not missing although a later listing lacks the run")
	}
	if diff := cmp.Diff([]tracker.RunKey{testRun(0), testRun(0)}, runner.stops); diff != "" {
		t.Errorf("stops sent (-want +got):\n%s", diff)
	}
}

// TestDrainingRunnerGetsNoNewRuns announces that the runner drains. A run assigned after that is not started but
// reported as missing.
func TestDrainingRunnerGetsNoNewRuns(t *testing.T) {
	runner := &fakeRunner{start: VerdictDone, stop: VerdictDone}
	s := newTestSession(t, runner, Listing{})
	s.agent.HandleAnnouncement(Announcement{Incarnation: s.incarnation, Sequence: 1, Draining: true})
	r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
	s.step(r)
	if len(runner.starts) > 0 || r.missingEnd() == 0 {
		t.Errorf("starts %v, missing %v", runner.starts, r.missingEnd())
	}
}

// TestOrphanedRunsAreStopped has the runner list a run that is not assigned to it.
func TestOrphanedRunsAreStopped(t *testing.T) {
	runner := &fakeRunner{start: VerdictDone, stop: VerdictDone}
	s := newTestSession(t, runner, Listing{Running: []RunStatus{{Run: testRun(9)}}})
	s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
	s.step(s.orphans[testRun(9)])
	if diff := cmp.Diff([]tracker.RunKey{testRun(9)}, runner.stops); diff != "" {
		t.Errorf("stops sent (-want +got):\n%s", diff)
	}
}

// TestStaleAnnouncementsAreIgnored delivers announcements of an earlier incarnation and with a lower sequence number
// after newer ones.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	agent := New("w", "p", nil, nil, logger.Logger{})
	incarnation := tracker.Incarnation{ID: "i", StartedAt: 7}
	confirm(agent, Announcement{Incarnation: incarnation, Sequence: 3, Draining: true})
	agent.HandleAnnouncement(Announcement{Incarnation: incarnation, Sequence: 2})
	agent.HandleAnnouncement(Announcement{Incarnation: tracker.Incarnation{ID: "i", StartedAt: 6}, Sequence: 9})
	agent.HandleAnnouncement(Announcement{Incarnation: incarnation, Sequence: 4})
	got, _ := agent.lastAnnouncement()
	want := Announcement{Incarnation: incarnation, Sequence: 4, Draining: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("last announcement (-want +got):\n%s", diff)
	}
}

// TestRestartedRunnerClosesSession polls a runner that was restarted under the same id.
func TestRestartedRunnerClosesSession(t *testing.T) {
	s := newTestSession(t, &fakeRunner{}, Listing{})
	s.handlePollResult(pollResult{serial: 2, listing: Listing{Incarnation: tracker.Incarnation{ID: "i", StartedAt: 8}}, verdict: VerdictDone})
	if !s.closed {
		t.Error("the session continues with another incarnation of the runner")
	}
}

// TestEndWithSkippedNumberIsReportedOnceRepeated guards against a wrong number of an end that makes the runner discard
// other ends.
func TestEndWithSkippedNumberIsReportedOnceRepeated(t *testing.T) {
	end := func(number, index int) tracker.End {
		return tracker.End{Number: number, Run: testRun(index), Kind: tracker.EndDone}
	}
	s := newTestSession(t, &fakeRunner{}, Listing{})
	for i, step := range []struct{ listed, want []tracker.End }{
		{[]tracker.End{end(1, 1), end(900, 9)}, []tracker.End{end(1, 1)}},
		{[]tracker.End{end(1, 1), end(2, 2)}, []tracker.End{end(1, 1), end(2, 2)}},
		{[]tracker.End{end(1, 1), end(2, 2), end(7, 7)}, []tracker.End{end(1, 1), end(2, 2)}},
		{[]tracker.End{end(1, 1), end(2, 2), end(7, 7)}, []tracker.End{end(1, 1), end(2, 2), end(7, 7)}},
	} {
		s.handlePollResult(pollResult{serial: i + 2, listing: Listing{Finished: step.listed}, verdict: VerdictDone})
		if diff := cmp.Diff(step.want, s.unreported()); diff != "" {
			t.Errorf("listing %d: ends to report (-want +got):\n%s", i, diff)
		}
	}
}

// TestEndOfAssignedRunIsReportedWhateverItsNumber guards against an end that is taken for one reported before because a
// higher number is committed.
func TestEndOfAssignedRunIsReportedWhateverItsNumber(t *testing.T) {
	s := newTestSession(t, &fakeRunner{start: VerdictDone}, Listing{})
	s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
	s.committedEnd = 1000
	want := []tracker.End{{Number: 3, Run: testRun(0), Kind: tracker.EndDone}}
	s.handlePollResult(pollResult{serial: 2, listing: Listing{Finished: want}, verdict: VerdictDone})
	if diff := cmp.Diff(want, s.unreported()); diff != "" {
		t.Errorf("ends to report (-want +got):\n%s", diff)
	}
}

// TestAnnouncementsAreFollowedAfterWrongSequenceNumber guards against one high sequence number that makes the agent take
// all later announcements for late ones.
func TestAnnouncementsAreFollowedAfterWrongSequenceNumber(t *testing.T) {
	s := sequence{last: 10}
	var got []bool
	for _, n := range []int{11, 9, 1 << 50, 12, 1 << 50, 1<<50 + 1, 13, 14, 15, 5000, 5001, 16} {
		got = append(got, s.accept(n))
	}
	want := []bool{true, false, false, true, false, true, false, true, true, false, true, false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
}

// TestListingWithEarlierClockClosesSession guards against a lease that is computed from a wrong reading of the runner's
// clock.
func TestListingWithEarlierClockClosesSession(t *testing.T) {
	s := newTestSession(t, &fakeRunner{}, Listing{Clock: 1 << 50})
	s.handlePollResult(pollResult{serial: 2, listing: Listing{Clock: 500}, verdict: VerdictDone})
	if !s.closed {
		t.Error("the session continues although the runner's clock went back")
	}
}

// TestOnlyListedEndsAreAcknowledged guards against a runner that restarts under its id and discards ends that the agent
// has not seen, since their numbers are below those of its earlier incarnation.
func TestOnlyListedEndsAreAcknowledged(t *testing.T) {
	s := newTestSession(t, &fakeRunner{}, Listing{})
	s.committedEnd = 40
	if request, _ := s.nextPoll(); request.Acknowledged != 0 {
		t.Errorf("acknowledged %d without a listed end, want 0", request.Acknowledged)
	}
	s.handlePollResult(pollResult{serial: 2, listing: Listing{Finished: []tracker.End{{Number: 40, Run: testRun(0)}, {Number: 41, Run: testRun(1)}}}, verdict: VerdictDone})
	if request, _ := s.nextPoll(); request.Acknowledged != 40 {
		t.Errorf("acknowledged %d, want 40", request.Acknowledged)
	}
}

// TestCrashedRunnerCountsAsEndedOnceNothingListens guards against work that stands until its lease has ended although its
// runner has crashed and every poll is refused. A runner that only does not answer goes on.
func TestCrashedRunnerCountsAsEndedOnceNothingListens(t *testing.T) {
	late, refused := errors.New("no response"), fmt.Errorf("poll: %w", ErrNotListening)
	tests := []struct {
		name  string
		polls []error
		ended bool
	}{
		{"no poll is answered", []error{late, late, late}, false},
		{"one is refused", []error{refused}, false},
		{"one is refused and the next one answered", []error{refused, nil, refused}, false},
		{"one is refused and the next one not answered", []error{refused, late, refused}, false},
		{"two in a row are refused", []error{refused, refused}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			s := newTestSession(t, &fakeRunner{}, Listing{})
			for _, err := range test.polls {
				_, serial := s.nextPoll()
				s.handlePollResult(pollResult{serial: serial, err: err, verdict: VerdictDone, listing: Listing{Incarnation: s.incarnation}})
				s.handleChange(ctx)
			}
			a, _ := s.agent.lastAnnouncement()
			if diff := cmp.Diff([]bool{test.ended, test.ended}, []bool{s.closed, a.Incarnation.ID == ""}); diff != "" {
				t.Errorf("the session is closed, the agent waits for another announcement (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDeregisteredRunnerCountsAsEndedOnceNothingListens guards against an agent that takes a runner for ended which goes on
// under its lease, since its deregistration was not acknowledged in time and the poll in flight has failed, as both do
// when the agent stands still. Its work would start a second time elsewhere.
func TestDeregisteredRunnerCountsAsEndedOnceNothingListens(t *testing.T) {
	late, refused := errors.New("no response"), fmt.Errorf("poll: %w", ErrNotListening)
	tests := []struct {
		name   string
		polls  []error // of those after the deregistration
		before error   // of the poll that was in flight then
		ended  bool
	}{
		{"the poll in flight has no answer", nil, late, false},
		{"the poll in flight was refused before", nil, refused, false},
		{"later polls have no answer", []error{late, late}, late, false},
		{"a later poll is refused", []error{late, refused}, late, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			s := newTestSession(t, &fakeRunner{}, Listing{})
			s.nextPoll()
			s.agent.HandleAnnouncement(Announcement{Incarnation: s.incarnation, Sequence: 1, Draining: true})
			s.handleChange(ctx)
			s.agent.Deregister(s.incarnation)
			s.handlePollResult(pollResult{serial: s.sentPolls, err: test.before})
			s.handleChange(ctx)
			for _, err := range test.polls {
				_, serial := s.nextPoll()
				s.handlePollResult(pollResult{serial: serial, err: err})
				s.handleChange(ctx)
			}
			if diff := cmp.Diff(test.ended, s.closed); diff != "" {
				t.Errorf("the runner counts as ended (-want +got):\n%s", diff)
			}
		})
	}
}
