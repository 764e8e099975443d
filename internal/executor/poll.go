package executor

import (
	"context"
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
	// pollGrace is how much longer than its wait a poll may take.
	pollGrace = 800 * time.Millisecond
	// unresponsiveAfter is the number of consecutive failed polls after which the agent asks the leader for no more
	// leases.
	unresponsiveAfter = 2
)

// poll starts a call that renews the lease and fetches a listing from the runner.
func (s *session) poll(ctx context.Context) {
	request, serial := s.nextPoll()
	go func() {
		call, cancel := context.WithTimeout(ctx, request.Wait.Duration()+pollGrace)
		defer cancel()
		listing, verdict, err := s.runner.Poll(call, request)
		if err != nil {
			sleep(ctx, retryDelay.Duration())
		}
		s.pollResults <- pollResult{serial, listing, s.agent.clock.Now(), verdict, err}
	}()
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
		if r.awaitsListing() {
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
	case r.err != nil:
		s.handlePollFailure(r.err)
		return
	case r.verdict == VerdictFenced:
		s.detach("the runner has seen a higher fencing token")
		return
	case r.verdict == VerdictWrongRunner, r.verdict == VerdictDone && !r.listing.isOf(s.incarnation):
		s.agent.refute(s.incarnation)
		s.detach("the runner is another incarnation")
		return
	case r.verdict != VerdictDone:
		s.handlePollFailure(nil)
		return
	case s.answeredPoll > 0 && r.listing.Clock < s.clock.value:
		s.detach("the runner's clock went back") // a lease must not be computed from either reading
		return
	}
	s.failedPolls = 0
	s.answeredPoll = r.serial
	s.credibleEnd = lastCredible(max(s.credibleEnd, s.committedEnd), s.listing.Finished, r.listing.Finished)
	s.listing = r.listing
	s.clock = clockSample{r.listing.Clock, r.receivedAt}
	s.reconcile()
}

func (s *session) handlePollFailure(err error) {
	s.failedPolls++
	if s.failedPolls == unresponsiveAfter {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "hold"), logger.F("runner", s.incarnation.ID), logger.F("error", err))
	}
	if a, _ := s.agent.lastAnnouncement(); a.Deregistered {
		wake(s.agent.changed)
	}
}

func (s *session) detach(reason string) {
	s.closed = true
	s.agent.log.Log(logger.AttachmentLost, logger.F("runner", s.incarnation.ID), logger.F("epoch", s.epoch), logger.F("reason", reason))
}
