package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// retryDelay is the time from a failed start or stop until it is sent again, and the pause after a failed poll.
	retryDelay timekeeper.Millis = 150
	// tickInterval is how often a session looks for calls to repeat while there may be any.
	tickInterval = 50 * time.Millisecond
	// crashRefusals is the number of polls in a row that find nothing listening from which the runner counts as crashed. The
	// runner's process is gone with the first one; another one rules out a mistaken answer.
	crashRefusals = 2
	// callResultBuffer is the number of results of starts and stops that are buffered; beyond it, their goroutines
	// block.
	callResultBuffer = 64
)

// clockSample is a reading of the runner's clock and the time at which it arrived, by the agent's clock.
type clockSample struct {
	value      timekeeper.Millis
	receivedAt timekeeper.Millis
}

// session is one attachment on behalf of one incarnation of the runner. Only the goroutine of the method run accesses
// its fields. Calls execute on separate goroutines, which send their results on channels that run receives from. At
// most one poll, one watch, one report, and one start or stop of each run are in flight.
type session struct {
	agent       *Executor
	incarnation tracker.Incarnation
	epoch       uint64
	runner      Runner

	clock             clockSample
	leaseEnd          timekeeper.Millis // by the runner's clock
	assignmentVersion uint64            // of the assignments received last
	assigned          bool              // the session has received assignments
	runs              map[tracker.RunKey]*run
	orphans           map[tracker.RunKey]*run // running on the runner but not assigned
	listing           Listing
	answeredPoll      int                // number of the last poll that succeeded; zero if none
	sentPolls         int                // number of polls sent
	failedPolls       int                // consecutive failed polls
	refusedPoll       int                // number of the last poll that found nothing listening; zero if none
	refusals          int                // consecutive polls that found nothing listening
	committedEnd      int                // number of the last end that is committed to the log
	reportedEnd       int                // number of the last end that was reported
	credibleEnd       int                // number of the last listed end that may be reported
	listedEnd         int                // number of the last end in the listing before the last one
	interrupt         context.CancelFunc // ends the poll in flight; nil if it will be answered at once

	watching, polling, reporting bool
	watchResults                 chan watchResult
	pollResults                  chan pollResult
	reportResults                chan reportResult
	callResults                  chan callResult
	deregistered                 bool // the runner was deregistered when it was last looked at
	pollsBeforeLeave             int  // number of polls sent when the runner's deregistration was first seen
	closed                       bool
}

type watchResult struct {
	response coordinator.WatchResponse
	err      error
	leaseEnd timekeeper.Millis // end of the granted lease, by the runner's clock
}

type pollResult struct {
	serial     int
	interrupt  bool // the session has interrupted the poll
	listing    Listing
	receivedAt timekeeper.Millis
	verdict    Verdict
	err        error
}

type reportResult struct {
	ends []tracker.End
	lost bool
	err  error
}

type callResult struct {
	run       *run
	stop      bool
	onlyStart bool // no earlier start may have been carried out
	verdict   Verdict
	err       error
}

func newSession(e *Executor, a Announcement, receivedAt timekeeper.Millis, epoch uint64) *session {
	return &session{
		agent: e, incarnation: a.Incarnation, epoch: epoch, runner: e.dial(a),
		clock: clockSample{a.Clock, receivedAt},
		runs:  map[tracker.RunKey]*run{}, orphans: map[tracker.RunKey]*run{},
		watchResults: make(chan watchResult, 1), pollResults: make(chan pollResult, 1), reportResults: make(chan reportResult, 1),
		callResults: make(chan callResult, callResultBuffer),
	}
}

// run executes the session until the attachment is lost, the runner has restarted or deregistered, or ctx is done.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !s.closed && ctx.Err() == nil {
		s.startCalls(ctx)
		select {
		case <-ctx.Done():
		case <-s.agent.changed:
			s.handleChange(ctx)
		case r := <-s.watchResults:
			s.handleWatchResult(r)
		case r := <-s.pollResults:
			s.handlePollResult(r)
		case r := <-s.reportResults:
			s.handleReportResult(r)
		case r := <-s.callResults:
			s.handleCallResult(r)
		case <-s.retryTick(ticker):
		}
	}
}

// retryTick returns the ticker's channel while a start, stop or poll may have to be retried, and nil otherwise, so that
// an idle session does not wake up.
func (s *session) retryTick(ticker *time.Ticker) <-chan time.Time {
	for _, r := range s.runs {
		if !r.converged() {
			return ticker.C
		}
	}
	if len(s.orphans) > 0 || s.failedPolls > 0 {
		return ticker.C
	}
	return nil
}

// startCalls starts every call that is due.
func (s *session) startCalls(ctx context.Context) {
	if !s.polling {
		s.poll(ctx)
	}
	if s.answeredPoll == 0 {
		return // the runner has not seen the fencing token yet
	}
	if !s.watching {
		s.watch(ctx)
	}
	if !s.assigned {
		return
	}
	now := s.agent.clock.Now()
	draining := s.draining()
	for _, r := range s.runs {
		s.advance(ctx, r, draining, now)
	}
	for _, r := range s.orphans {
		s.advance(ctx, r, draining, now)
	}
	if !s.reporting {
		s.report(ctx)
	}
}

func (s *session) draining() bool {
	a, _ := s.agent.lastAnnouncement()
	return a.Incarnation == s.incarnation && (a.Draining || a.Deregistered)
}

// handleChange closes the session when the runner has restarted, has crashed, has deregistered and ended, or is in use again
// although it was deregistered.
//
// A deregistration does not show that the runner has ended: without an acknowledgement in time it goes on for some
// seconds. Neither does a poll without an answer, whose time may have passed while this process stood still. Only a later
// poll that finds nothing listening shows it. Without one the leader detaches the worker when its lease has expired. Of a
// runner that was not deregistered crashRefusals of them show that it has crashed.
func (s *session) handleChange(ctx context.Context) {
	a, _ := s.agent.lastAnnouncement()
	if a.Incarnation != s.incarnation || s.deregistered && !a.Deregistered {
		s.closed = true
		return
	}
	if a.Deregistered && !s.deregistered {
		s.pollsBeforeLeave = s.sentPolls
	}
	s.deregistered = a.Deregistered
	switch {
	case a.Deregistered && a.Draining && s.refusedPoll > s.pollsBeforeLeave:
		s.deregister(ctx)
	case s.refusals >= crashRefusals:
		s.agent.log.Log(logger.RunnerCrashed, logger.F("runner", s.incarnation.ID), logger.F("epoch", s.epoch), logger.F("runs", len(s.runs)))
		s.agent.refute(s.incarnation)
		s.deregister(ctx)
	}
}

// deregister informs the leader that the runner has terminated, and closes the session.
func (s *session) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r := &coordinator.DeregisterRequest{Worker: s.agent.worker, Epoch: s.epoch}
	_, err := locator.Call[coordinator.DeregisterRequest, coordinator.DeregisterResponse](ctx, s.agent.locator, coordinator.MethodDeregister, locator.Limits{}, r)
	if err != nil {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "leave"), logger.F("error", err)) // the leader detaches the worker when the lease expires
	}
	s.closed = true
}
