package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// startTimeout bounds one start. It is short because the runner is on the same host and a start may be repeated.
	startTimeout = 400 * time.Millisecond
	// stopTimeout bounds one stop.
	stopTimeout = 700 * time.Millisecond
	// maxStartAttempts is the number of failed starts after which the run is returned to the leader.
	maxStartAttempts = 6
	// startLimit is the time after the first start from which a run is returned to the leader if the runner answers polls
	// but has not confirmed the start.
	startLimit timekeeper.Millis = 1200
)

// run is the state of one run in a session. Only the session's goroutine accesses it.
type run struct {
	assignment     coordinator.Assignment
	listed         bool              // the last listing contains the run as running
	ended          bool              // the last listing contains its end
	committed      bool              // its end is committed to the log
	startSent      bool              // this session has sent a start
	firstSentAt    timekeeper.Millis // when it sent the first one
	mayHaveStarted bool              // a start was sent that the runner has not refused, so it may be carried out, now or later
	unansweredPoll int               // number of the last poll sent before a start turned out to be unanswered; zero if none
	abandoned      bool              // the session sends no further start
	startConfirmed bool              // the runner has confirmed a start of this session
	fencedAtPoll   int               // a whole listing of a later poll that lacks the run proves that it can no longer start; zero if not fenced
	provedAbsent   bool              // the runner does not execute the run and can no longer start it
	stopConfirmed  bool              // the runner has confirmed a stop
	inFlight       bool              // a start or stop is in flight
	failedStarts   int               // number of failed starts
	receivedAt     timekeeper.Millis // when the agent received the run
	begunAt        timekeeper.Millis // when the runner confirmed a start of this session, or listed the run after one; zero before
	lastVerdict    Verdict           // on the last start that failed; zero if it got no answer
	overdueLogged  bool              // a line says that the start is overdue
	sentAt         timekeeper.Millis // when the last start or stop was sent
	notBefore      timekeeper.Millis // earliest time of the next start or stop
	startedAt      timekeeper.Millis // when the only start sent was confirmed; zero if none was confirmed or a start failed
	duration       timekeeper.Millis // from startedAt until the arrival of the first listing with its end
}

// converged reports whether the run needs no start or stop.
func (r *run) converged() bool {
	if r.committed || r.ended || r.provedAbsent {
		return true
	}
	if r.assignment.Stop {
		return r.stopConfirmed
	}
	return r.startConfirmed || r.listed
}

// awaitsListing reports whether the run is fenced and only a later listing can show whether it started.
func (r *run) awaitsListing() bool {
	return r.fencedAtPoll > 0 && !r.listed && !r.ended && !r.provedAbsent && !r.committed
}

// needsListing reports whether the last poll answered is too old to show what became of a start or stop.
func (r *run) needsListing(answeredPoll int) bool {
	return r.awaitsListing() || !r.converged() && r.unansweredPoll >= answeredPoll && r.unansweredPoll > 0
}

// missingEnd returns the kind of end to report for a run that the runner does not list and never will. It returns zero
// for any other run.
func (r *run) missingEnd() tracker.EndKind {
	if r.committed || r.ended || r.listed || !r.provedAbsent {
		return 0
	}
	if r.abandoned && r.failedStarts > 0 {
		return tracker.EndNeverStarted
	}
	return tracker.EndLost
}

// setAssignments replaces the runs of the session by those that the log assigns to the worker. It keeps the state of
// runs that are still assigned.
func (s *session) setAssignments(assignments []coordinator.Assignment) {
	next := make(map[tracker.RunKey]*run, len(assignments))
	for _, a := range assignments {
		r := s.runs[a.Run]
		if r == nil {
			r = &run{receivedAt: s.agent.clock.Now()}
		}
		if r.assignment.Run != a.Run || a.Stop != r.assignment.Stop {
			r.notBefore = 0
		}
		r.assignment = a
		next[a.Run] = r
	}
	s.runs = next
}

// reconcile updates the state of every run from the last listing.
func (s *session) reconcile() {
	for _, r := range s.runs {
		r.listed, r.ended = false, false
	}
	unassigned := s.markListed()
	for key := range s.orphans {
		if !unassigned[key] {
			delete(s.orphans, key)
		}
	}
	for _, r := range s.runs {
		if r.awaitsListing() && s.answeredPoll > r.fencedAtPoll && !s.listing.Partial {
			r.provedAbsent = true
		}
	}
}

// markListed marks the runs in the last listing. Runs that the runner executes without an assignment are added to
// s.orphans, and their keys are returned. No run counts as an orphan before the first assignments have arrived.
func (s *session) markListed() map[tracker.RunKey]bool {
	orphans := map[tracker.RunKey]bool{}
	for _, running := range s.listing.Running {
		if r := s.runs[running.Run]; r != nil {
			r.listed = true
			if r.startSent {
				s.recordBegun(r)
			}
			continue
		}
		if !s.assigned {
			continue
		}
		orphans[running.Run] = true
		if s.orphans[running.Run] == nil {
			s.orphans[running.Run] = &run{assignment: coordinator.Assignment{Run: running.Run, Stop: true}, listed: true}
		}
	}
	for _, end := range s.listing.Finished {
		if r := s.runs[end.Run]; r != nil {
			r.markEnded(s.clock.receivedAt)
		}
	}
	return orphans
}

// markEnded records that the listing that arrived at the given time contains the run's end.
func (r *run) markEnded(receivedAt timekeeper.Millis) {
	r.ended = true
	if r.startedAt > 0 && r.duration == 0 {
		r.duration = receivedAt - r.startedAt
	}
}

// advance sends the start or stop that the run needs next, if any.
func (s *session) advance(ctx context.Context, r *run, draining bool, now timekeeper.Millis) {
	s.logOverdue(r, now)
	if r.inFlight || now < r.notBefore || r.converged() || r.awaitsListing() {
		return
	}
	// A run assigned under an earlier attachment may already have run, and its end may be lost. If the runner lists it,
	// the session adopts it; the session never starts it.
	inherited := r.assignment.Epoch != s.epoch
	r.abandoned = r.abandoned || s.abandons(r, now)
	mustStop := r.assignment.Stop || draining || inherited || r.abandoned
	switch {
	case inherited && !r.mayHaveStarted && !r.listed && s.listing.Partial:
		// The run may be among the ends that the runner has not listed yet.
	case mustStop && !r.mayHaveStarted && !r.listed:
		// The runner saw this attachment's fencing token before it made its last listing, so it rejects starts of
		// earlier attachments.
		r.provedAbsent = true
	case mustStop:
		s.sendStop(ctx, r, now)
	case s.leaseEnd > 0:
		s.sendStart(ctx, r, now)
	}
}

// abandons reports whether the session sends no further start of a run. A runner that answers nothing may only be
// suspended, and could confirm no stop either.
func (s *session) abandons(r *run, now timekeeper.Millis) bool {
	if !r.startSent {
		return false
	}
	answers := s.answeredPoll > 0 && s.clock.receivedAt > r.firstSentAt
	return r.failedStarts >= maxStartAttempts || answers && now-r.firstSentAt >= startLimit
}

func (s *session) sendStart(ctx context.Context, r *run, now timekeeper.Millis) {
	if !r.startSent {
		r.firstSentAt = now
	}
	certain := !r.mayHaveStarted
	r.sentAt, r.inFlight, r.startSent, r.mayHaveStarted = now, true, true, true
	request := StartRequest{Run: r.assignment.Run, Payload: r.assignment.Payload, Checkpoint: r.assignment.Checkpoint, LeaseEnd: s.leaseEnd, Epoch: s.epoch}
	go func() {
		call, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		verdict, err := s.runner.Start(call, request)
		s.deliver(ctx, callResult{run: r, onlyStart: certain, verdict: verdict, err: err})
	}()
}

func (s *session) sendStop(ctx context.Context, r *run, now timekeeper.Millis) {
	r.sentAt, r.inFlight = now, true
	go func() {
		call, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		verdict, err := s.runner.Stop(call, r.assignment.Run, s.epoch)
		s.deliver(ctx, callResult{run: r, stop: true, verdict: verdict, err: err})
	}()
}

func (s *session) deliver(ctx context.Context, result callResult) {
	select {
	case s.callResults <- result:
	case <-ctx.Done():
	}
}

func (s *session) handleCallResult(result callResult) {
	r := result.run
	r.inFlight = false
	r.notBefore = r.sentAt + retryDelay
	if result.err == nil && (result.verdict == VerdictFenced || result.verdict == VerdictWrongRunner) {
		s.detach("the runner rejected a request: " + result.verdict.String())
		return
	}
	if result.stop {
		s.handleStopResult(r, result)
		return
	}
	s.handleStartResult(r, result)
}

func (s *session) handleStartResult(r *run, result callResult) {
	if result.err == nil && result.verdict == VerdictDone {
		r.startConfirmed = true
		if r.failedStarts == 0 {
			r.startedAt = s.agent.clock.Now()
		}
		s.recordBegun(r)
		return
	}
	r.lastVerdict = result.verdict
	switch {
	case result.err != nil:
		r.unansweredPoll = s.sentPolls
		s.interruptPoll()
	case result.verdict == VerdictStale:
		r.fencedAtPoll = s.sentPolls
		s.interruptPoll()
	default:
		r.mayHaveStarted = r.mayHaveStarted && !result.onlyStart // the runner did nothing
	}
	if result.verdict != VerdictLeaseExpired {
		r.failedStarts++
	}
	s.agent.log.Log(logger.RunRejected, logger.F("job", string(r.assignment.Run.Task.Job)), logger.F("run", r.assignment.Run.String()),
		logger.F("verdict", result.verdict.String()), logger.F("tries", r.failedStarts), logger.F("error", result.err))
}

// handleStopResult records a confirmed stop. The runner rejects any start of the run that arrives after it.
func (s *session) handleStopResult(r *run, result callResult) {
	if result.err != nil || result.verdict != VerdictDone {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "stop"), logger.F("run", r.assignment.Run.String()),
			logger.F("verdict", result.verdict.String()), logger.F("error", result.err))
		return
	}
	r.stopConfirmed, r.fencedAtPoll = true, s.sentPolls
	if r.awaitsListing() {
		s.interruptPoll()
	}
	s.agent.log.Log(logger.RunStopped, logger.F("job", string(r.assignment.Run.Task.Job)), logger.F("run", r.assignment.Run.String()), logger.F("epoch", s.epoch))
}
