package executor

import (
	"context"
	"errors"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// activePollWait is how long a runner may delay its response while something runs. It bounds the age of the
	// progress figures.
	activePollWait timekeeper.Millis = 1000
	// idlePollWait is how long an idle runner may delay its response: the maximum that the platform allows.
	idlePollWait timekeeper.Millis = 2000
	// noNewsPause is the pause before a poll that the runner would answer at once without news.
	noNewsPause = 50 * time.Millisecond
	// pollGrace is how much longer than its wait a poll may take.
	pollGrace = 800 * time.Millisecond
	// unresponsiveAfter is the number of consecutive failed polls after which the agent asks the leader for no more
	// leases.
	unresponsiveAfter = 2
)

// poll starts a call that renews the lease and fetches a listing from the runner.
func (s *session) poll(ctx context.Context) {
	request, serial := s.nextPoll()
	pause := s.pollPause()
	call, cancel := context.WithTimeout(ctx, pause+request.Wait.Duration()+pollGrace)
	s.interrupt = nil
	if request.Wait > 0 {
		s.interrupt = cancel
	}
	go func() {
		defer cancel()
		sleep(call, pause)
		listing, verdict, err := s.runner.Poll(call, request)
		interrupted := errors.Is(call.Err(), context.Canceled)
		if err != nil && !interrupted {
			sleep(ctx, retryDelay.Duration())
		}
		s.pollResults <- pollResult{serial, interrupted, listing, s.agent.clock.Now(), verdict, err}
	}()
}

// pollPause returns the pause before the next poll. It is zero unless the runner answers at once, since it lists ends
// that it may not discard yet, and has no news.
func (s *session) pollPause() time.Duration {
	if n := len(s.listing.Finished); n == 0 || s.listing.Finished[n-1].Number > s.listedEnd {
		return 0
	}
	return noNewsPause
}

// interruptPoll ends a poll that waits for an end, so that the next one shows what became of a call.
func (s *session) interruptPoll() {
	if s.polling && s.interrupt != nil {
		s.interrupt()
	}
}

// nextPoll marks a poll as sent and returns its request and number.
func (s *session) nextPoll() (PollRequest, int) {
	s.polling = true
	s.sentPolls++
	return PollRequest{Epoch: s.epoch, Acknowledged: s.acknowledged(), LeaseEnd: s.leaseEnd, Wait: s.pollWait()}, s.sentPolls
}

// acknowledged returns the number of the last committed end in the last listing. It is zero if that has none: a runner
// that has restarted under its id would discard ends of its own up to a number that an earlier incarnation reached.
func (s *session) acknowledged() int {
	last := 0
	for _, end := range s.listing.Finished {
		if end.Number <= s.committedEnd {
			last = max(last, end.Number)
		}
	}
	return last
}

// pollWait returns how long the runner may delay its response. It is zero while the session needs a listing at once:
// for the first poll, and to learn the state of a fenced run.
func (s *session) pollWait() timekeeper.Millis {
	if s.answeredPoll == 0 {
		return 0
	}
	for _, r := range s.runs {
		if r.needsListing(s.answeredPoll) {
			return 0
		}
	}
	if len(s.runs) > 0 || len(s.listing.Running) > 0 {
		return activePollWait
	}
	return idlePollWait
}

func (s *session) handlePollResult(r pollResult) {
	s.polling = false
	switch {
	case r.err != nil && r.interrupt:
		return
	case r.err != nil:
		s.handlePollFailure(r.serial, r.err)
		return
	case r.verdict == VerdictFenced:
		s.detach("the runner has seen a higher fencing token")
		return
	case r.verdict == VerdictWrongRunner, r.verdict == VerdictDone && !r.listing.isOf(s.incarnation):
		s.agent.refute(s.incarnation)
		s.detach("the runner is another incarnation")
		return
	case r.verdict != VerdictDone:
		s.handlePollFailure(r.serial, nil)
		return
	case s.answeredPoll > 0 && r.listing.Clock < s.clock.value:
		s.detach("the runner's clock went back") // a lease must not be computed from either reading
		return
	}
	s.failedPolls, s.refusals = 0, 0
	s.answeredPoll = r.serial
	s.credibleEnd = lastCredible(max(s.credibleEnd, s.committedEnd), s.listing.Finished, r.listing.Finished)
	if n := len(s.listing.Finished); n > 0 {
		s.listedEnd = s.listing.Finished[n-1].Number
	}
	if r.listing.Partial && !s.listing.Partial {
		s.agent.log.Log(logger.ListPartial, logger.F("runner", s.incarnation.ID), logger.F("ends", len(r.listing.Finished)),
			logger.F("last", lastCredible(0, r.listing.Finished, r.listing.Finished)))
	}
	s.listing = r.listing
	s.clock = clockSample{r.listing.Clock, r.receivedAt}
	s.reconcile()
}

func (s *session) handlePollFailure(serial int, err error) {
	s.failedPolls++
	if errors.Is(err, ErrNotListening) {
		s.refusedPoll = serial
		s.refusals++
	} else {
		s.refusals = 0
	}
	if s.failedPolls == unresponsiveAfter {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "hold"), logger.F("runner", s.incarnation.ID), logger.F("error", err))
	}
	if a, _ := s.agent.lastAnnouncement(); a.Deregistered || s.refusals >= crashRefusals {
		wake(s.agent.changed)
	}
}

func (s *session) detach(reason string) {
	s.closed = true
	s.agent.log.Log(logger.AttachmentLost, logger.F("runner", s.incarnation.ID), logger.F("epoch", s.epoch), logger.F("reason", reason))
}
