package executor

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// TestRefusedRunIsReturnedWithoutStop guards against a run that waits for a stop and for the answer to a poll, although
// the runner has refused every start of it.
func TestRefusedRunIsReturnedWithoutStop(t *testing.T) {
	for _, verdict := range []Verdict{VerdictUnavailable, VerdictNoCapacity, VerdictInvalid} {
		runner := &fakeRunner{start: verdict, stop: VerdictUnavailable}
		s := newTestSession(t, runner, Listing{})
		r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
		for range maxStartAttempts + 1 {
			s.step(r)
		}
		if got := r.missingEnd(); got != tracker.EndNeverStarted || len(runner.stops) > 0 {
			t.Errorf("%v: end %v, stops %v, want %v and no stop", verdict, got, runner.stops, tracker.EndNeverStarted)
		}
	}
}

// TestUnansweredRunIsReturnedInTime guards against a run that stands for seconds while its starts get no answer, although
// the runner answers polls. A runner that answers nothing gets further starts, since it could confirm no stop.
func TestUnansweredRunIsReturnedInTime(t *testing.T) {
	for _, answersPolls := range []bool{true, false} {
		runner := &fakeRunner{err: errors.New("no response")}
		s := newTestSession(t, runner, Listing{})
		r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
		s.stepAt(r, 1000)
		if answersPolls {
			s.handlePollResult(pollResult{serial: 2, verdict: VerdictDone, receivedAt: 1500})
		}
		s.stepAt(r, 1000+startLimit)
		if got := len(runner.stops) > 0; got != answersPolls {
			t.Errorf("answers polls %v: stopped %v", answersPolls, got)
		}
	}
}

// stepAt is like step at a time of the agent's clock.
func (s *session) stepAt(r *run, now timekeeper.Millis) {
	r.notBefore = 0
	s.advance(context.Background(), r, s.draining(), now)
	if r.inFlight {
		s.handleCallResult(<-s.callResults)
	}
}

// waitingRunner is a runner that answers a poll once the client breaks it off or the poll's wait is over.
type waitingRunner struct{ fakeRunner }

func (*waitingRunner) Poll(ctx context.Context, o PollRequest) (Listing, Verdict, error) {
	sleep(ctx, o.Wait.Duration())
	return Listing{}, VerdictDone, ctx.Err()
}

// TestLostStartIsNotHiddenByWaitingPoll guards against a run whose state is learnt only when a poll that waits for an end
// is answered: after a start without an answer, and after a stop of a run that has not been listed.
func TestLostStartIsNotHiddenByWaitingPoll(t *testing.T) {
	results := map[string]callResult{
		"unanswered start": {err: errors.New("no response")},
		"stale start":      {verdict: VerdictStale},
		"confirmed stop":   {stop: true, verdict: VerdictDone},
	}
	for name, result := range results {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			s := newTestSession(t, &fakeRunner{}, Listing{})
			s.runner = &waitingRunner{}
			r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
			s.poll(ctx)
			began := time.Now()
			r.startSent, r.mayHaveStarted, result.run = true, true, r
			s.handleCallResult(result)
			s.handlePollResult(<-s.pollResults)
			if took := time.Since(began); took > activePollWait.Duration()/2 {
				t.Errorf("the poll ends after %v", took)
			}
			if diff := cmp.Diff([]timekeeper.Millis{0, 0}, []timekeeper.Millis{s.pollWait(), timekeeper.Millis(s.failedPolls)}); diff != "" {
				t.Errorf("wait of the next poll and failed polls (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPollsWithoutNewsArePaced guards against an agent that polls without pause while the runner lists ends that are not
// committed yet.
func TestPollsWithoutNewsArePaced(t *testing.T) {
	s := newTestSession(t, &fakeRunner{}, Listing{})
	for serial, last := range []int{0, 3, 3, 4} {
		listing := Listing{}
		if last > 0 {
			listing.Finished = []tracker.End{{Number: last}}
		}
		s.handlePollResult(pollResult{serial: serial + 2, listing: listing, verdict: VerdictDone})
		if got, want := s.pollPause() > 0, serial == 2; got != want {
			t.Errorf("listing %d: paused %v, want %v", serial, got, want)
		}
	}
}

// TestOverdueStartIsLoggedOnceWithItsCause guards against an assigned run that stands without a line that says why.
func TestOverdueStartIsLoggedOnceWithItsCause(t *testing.T) {
	causes := map[coordinator.StartCause]fakeRunner{
		coordinator.StartUnanswered:  {err: errors.New("no response")},
		coordinator.StartUnavailable: {start: VerdictUnavailable},
		coordinator.StartNoCapacity:  {start: VerdictNoCapacity},
	}
	for cause, runner := range causes {
		var lines bytes.Buffer
		s := newTestSession(t, &runner, Listing{})
		s.agent.log = logger.New(&lines, "agent")
		r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
		for range 3 {
			s.stepAt(r, r.receivedAt+overdueAfter+1)
		}
		if got := strings.Count(lines.String(), logger.RunStartOverdue.Text); got != 1 {
			t.Errorf("%v: %d lines, want 1:\n%s", cause, got, &lines)
		}
		want := []coordinator.StartReport{{Run: testRun(0), Cause: cause}}
		if diff := cmp.Diff(want, s.startReports()); diff != "" {
			t.Errorf("reported to the leader (-want +got):\n%s", diff)
		}
	}
}

// TestRunThatBeganLateIsLogged guards against a start without an answer of which no line tells that the run began.
func TestRunThatBeganLateIsLogged(t *testing.T) {
	var lines bytes.Buffer
	s := newTestSession(t, &fakeRunner{err: errors.New("no response")}, Listing{})
	s.agent.log = logger.New(&lines, "agent")
	r := s.assign(t, coordinator.Assignment{Run: testRun(0), Epoch: 5})
	s.step(r)
	r.receivedAt -= overdueAfter + 1
	for serial := range 2 {
		s.handlePollResult(pollResult{serial: serial + 2, listing: Listing{Running: []RunStatus{{Run: testRun(0)}}}, verdict: VerdictDone})
	}
	for _, event := range []logger.Event{logger.RunStarted, logger.RunStartedLate} {
		if got := strings.Count(lines.String(), event.Text); got != 1 {
			t.Errorf("%d lines %q, want 1:\n%s", got, event.Text, &lines)
		}
	}
}
