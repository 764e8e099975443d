package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// confirmTimeout bounds the question whether the runner is the announced incarnation.
	confirmTimeout = 700 * time.Millisecond
	// confirmTries is the number of questions about one candidate while the runner does not answer.
	confirmTries = 4
	// confirmPause is the pause after each question, so that a flood of announcements does not occupy the runner.
	confirmPause = 50 * time.Millisecond
)

// confirmCandidates asks the runner about each candidate until ctx is done.
func (e *Executor) confirmCandidates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.candidates:
		}
		a, arrived, epoch := e.takeCandidate()
		if a.Incarnation.ID == "" {
			continue
		}
		listing, verdict, err := e.ask(ctx, a, epoch)
		e.resolve(a, arrived, listing, verdict, err)
		sleep(ctx, confirmPause)
	}
}

// takeCandidate removes the candidate and returns it, the time of its arrival, and the epoch of the last attachment.
func (e *Executor) takeCandidate() (Announcement, timekeeper.Millis, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.candidate
	e.candidate = Announcement{}
	return a, e.candidateAt, e.epoch
}

// ask polls the runner in the name of a candidate, without a lease or an acknowledgement. It repeats a poll that fails
// until there is a newer candidate.
func (e *Executor) ask(ctx context.Context, a Announcement, epoch uint64) (listing Listing, verdict Verdict, err error) {
	runner := e.dial(a)
	for range confirmTries {
		call, cancel := context.WithTimeout(ctx, confirmTimeout)
		listing, verdict, err = runner.Poll(call, PollRequest{Epoch: epoch})
		cancel()
		if err == nil || len(e.candidates) > 0 {
			break
		}
		sleep(ctx, retryDelay.Duration())
	}
	return listing, verdict, err
}

// resolve makes a candidate the current incarnation if the runner's response confirms it. A runner that has seen a
// higher fencing token confirms only its id. That is enough while no incarnation is known, since the first poll of the
// session, under a token of its own, shows the rest.
func (e *Executor) resolve(a Announcement, arrived timekeeper.Millis, listing Listing, verdict Verdict, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	confirmed := err == nil && verdict == VerdictDone && listing.isOf(a.Incarnation)
	likely := err == nil && verdict == VerdictFenced && e.announcement.Incarnation.ID == ""
	if !confirmed && !likely {
		e.unconfirmed.Log(e.log, logger.CandidateUnconfirmed, logger.F("runner", a.Incarnation.ID), logger.F("born", int(a.Incarnation.StartedAt)),
			logger.F("answers-as", int(listing.Incarnation.StartedAt)), logger.F("verdict", verdict.String()), logger.F("error", err))
		return
	}
	e.logChange(e.announcement, a)
	e.announcement, e.announcedAt, e.confirmed = a, arrived, confirmed
	e.sequence = sequence{last: a.Sequence}
	wake(e.changed)
}

// isConfirmed reports whether the runner has confirmed that it is the given incarnation.
func (e *Executor) isConfirmed(i tracker.Incarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed && e.announcement.Incarnation == i
}

// refute forgets an incarnation that the runner turned out not to be. The next announcement of the runner shows its
// current one.
func (e *Executor) refute(i tracker.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announcement.Incarnation == i {
		e.announcement, e.confirmed, e.sequence = Announcement{}, false, sequence{}
	}
}

func (e *Executor) setEpoch(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch = epoch
}

// maxSequenceGap is the largest difference between the sequence numbers of two announcements that follow each other.
// A larger one, as after a long interruption, counts once another announcement continues it.
const maxSequenceGap = 100

// sequence orders the announcements of one incarnation. A single announcement with a wrong number does not make it
// reject those that follow.
type sequence struct {
	last int // number of the last announcement accepted
	far  int // number of the last announcement if it was too far from the one accepted; zero otherwise
}

// accept reports whether the announcement with the number n is the newest one.
func (s *sequence) accept(n int) bool {
	switch {
	case n >= s.last && n-s.last <= maxSequenceGap, s.far > 0 && n > s.far && n-s.far <= maxSequenceGap:
		s.last, s.far = n, 0
		return true
	case n < s.last && s.last-n <= maxSequenceGap:
		return false
	}
	s.far = n
	return false
}
