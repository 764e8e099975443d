package executor

import (
	"context"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// simWorker is a worker of a simulation with its runner and its agent.
type simWorker struct {
	sim         *simulation
	name        string
	runner      *simRunner
	client      *simClient
	draining    bool
	frozenUntil timekeeper.Millis // the runner answers nothing and does not work
	leaseExpiry timekeeper.Millis // by the leader
	sequence    int               // of heartbeats

	agent   *Executor
	session *session
	pending []pendingResult
}

// pendingResult is the result of a call on its way. answer returns when it arrives, or false as long as the call is not
// answered; handle passes it to the session.
type pendingResult struct {
	arriveAt timekeeper.Millis // zero until the call is answered
	answer   func() (timekeeper.Millis, bool)
	handle   func()
}

func (w *simWorker) injectFaults() {
	rates := w.sim.rates
	if w.sim.happens(rates.runnerRestart) {
		w.restartRunner(w.sim.rng.IntN(2) == 0)
	}
	if w.sim.happens(rates.agentRestart) {
		w.restartAgent()
	}
	if w.sim.happens(rates.freeze) {
		w.frozenUntil = w.sim.now + timekeeper.Millis(w.sim.rng.IntN(4000))
	}
	w.draining = w.draining || w.sim.happens(rates.drain)
	if w.sim.rates == (faultRates{}) {
		w.frozenUntil = 0
		if w.draining {
			w.restartRunner(false)
		}
	}
}

func (w *simWorker) frozen() bool { return w.sim.now < w.frozenUntil }

// drawFate draws what becomes of a request to the runner.
func (w *simWorker) drawFate() fate {
	if w.frozen() {
		return fateLate
	}
	return w.sim.drawFate()
}

// step makes the agent process what has arrived and send what is due.
func (w *simWorker) step() {
	if w.sim.now%simHeartbeat == 0 && w.drawFate() == fateDelivered {
		w.announce()
	}
	w.confirmCandidate()
	a, _ := w.agent.lastAnnouncement()
	if w.session == nil || w.session.closed {
		w.attach(a)
		return
	}
	w.handleArrived()
	if a.Incarnation != w.session.incarnation {
		w.session.closed = true
	}
	if !w.session.closed {
		w.sendCalls()
	}
}

func (w *simWorker) announce() {
	w.sequence++
	w.agent.HandleAnnouncement(Announcement{
		Incarnation: w.runner.incarnation, Sequence: w.sequence, Draining: w.draining, Clock: w.runner.clock,
		Profile: tracker.Profile{Service: "app", Labels: []string{"a", "r"}, Capacity: modeler.Resources{Accelerators: simCapacity}},
	})
}

// confirmCandidate asks the runner about the announced incarnation, if it is not the current one.
func (w *simWorker) confirmCandidate() {
	a, arrived, epoch := w.agent.takeCandidate()
	if a.Incarnation.ID == "" || w.frozen() {
		return // the next heartbeat repeats it
	}
	if a.Incarnation.ID != w.runner.incarnation.ID {
		w.agent.resolve(a, arrived, Listing{}, VerdictWrongRunner, nil)
		return
	}
	verdict := w.runner.renew(PollRequest{Epoch: epoch})
	w.agent.resolve(a, arrived, w.runner.listing(), verdict, nil)
}

// leaderFate draws what becomes of a call to the leader.
func (w *simWorker) leaderFate() fate {
	if w.sim.now < w.sim.leaderlessUntil {
		return fateLost
	}
	return w.sim.drawFate()
}

func (w *simWorker) attach(a Announcement) {
	fate := w.leaderFate()
	if a.Incarnation.ID == "" || fate != fateDelivered && fate != fateUnanswered {
		return
	}
	answer := w.sim.apply(tracker.Command{Attach: &tracker.Attach{
		Worker: w.name, Incarnation: a.Incarnation, AgentProcess: w.agent.process, Profile: a.Profile, Draining: a.Draining, Confirmed: w.agent.isConfirmed(a.Incarnation),
	}})
	w.leaseExpiry = w.sim.now + simLease + simLeaseMargin
	if fate == fateDelivered && answer.Code == tracker.Accepted {
		w.agent.setEpoch(answer.Epoch)
		w.session, w.pending = newSession(w.agent, a, w.sim.now, answer.Epoch), nil
	}
}

// handleArrived delivers the results that have arrived to the session.
func (w *simWorker) handleArrived() {
	pending := w.pending
	w.pending = nil
	for _, p := range pending {
		if p.arriveAt == 0 {
			if at, answered := p.answer(); answered {
				p.arriveAt = at
			}
		}
		if p.arriveAt == 0 || p.arriveAt > w.sim.now || w.session.closed {
			w.pending = append(w.pending, p)
			continue
		}
		p.handle()
	}
}

// sendCalls does what session.startCalls does, in simulated time.
func (w *simWorker) sendCalls() {
	s := w.session
	if !s.polling {
		w.sendPoll()
	}
	if s.answeredPoll == 0 {
		return
	}
	if !s.watching {
		w.sendWatch()
	}
	if !s.assigned {
		return
	}
	for _, runs := range []map[tracker.RunKey]*run{s.runs, s.orphans} {
		for _, key := range sortedKeys(runs) {
			w.advance(runs[key])
		}
	}
	if !s.reporting {
		w.sendReport()
	}
}

func sortedKeys(runs map[tracker.RunKey]*run) []tracker.RunKey {
	keys := make([]tracker.RunKey, 0, len(runs))
	for key := range runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareRuns)
	return keys
}

func (w *simWorker) advance(r *run) {
	s := w.session
	idle := !r.inFlight
	w.client.fate = w.drawFate()
	s.advance(context.Background(), r, s.draining(), w.sim.now)
	if !idle || !r.inFlight {
		return
	}
	result := <-s.callResults
	arriveAt := w.sim.now + w.sim.delay()
	if result.err != nil {
		arriveAt = w.sim.now + timekeeper.FromDuration(stopTimeout)
		if !result.stop {
			arriveAt = w.sim.now + timekeeper.FromDuration(startTimeout)
		}
	}
	w.pending = append(w.pending, pendingResult{arriveAt: arriveAt, handle: func() {
		s.handleCallResult(result)
		r.notBefore = w.sim.now + retryDelay
	}})
}

func (w *simWorker) sendPoll() {
	s, sim, sent := w.session, w.sim, w.sim.now
	request, serial := s.nextPoll()
	w.client.fate = w.drawFate()
	verdict, err := w.client.deliver(func(r *simRunner) Verdict { return r.renew(request) })
	result := pollResult{serial: serial, verdict: verdict, err: err}
	answer := func() (timekeeper.Millis, bool) {
		waited := sim.now - sent
		switch {
		case err != nil:
			return sim.now, waited > request.Wait+simPollOverrun
		case verdict != VerdictDone:
			return sim.now + retryDelay, true
		case waited < request.Wait && len(w.runner.ends) == 0 || w.frozen():
			return 0, false
		}
		result.listing = w.runner.listing()
		return sim.now + sim.delay(), true
	}
	handle := func() {
		result.receivedAt = sim.now
		s.handlePollResult(result)
	}
	w.pending = append(w.pending, pendingResult{answer: answer, handle: handle})
}

func (w *simWorker) sendWatch() {
	s, sim, sent := w.session, w.sim, w.sim.now
	s.watching = true
	known, clock, unresponsive, draining, fate := s.assignmentVersion, s.clock, s.failedPolls >= unresponsiveAfter, s.draining(), w.leaderFate()
	var result watchResult
	answer := func() (timekeeper.Millis, bool) {
		waited := sim.now - sent
		if fate != fateDelivered || sim.now < sim.leaderlessUntil {
			result.err = errNoAnswer
			return sim.now, waited > simFailedCall
		}
		state, _ := sim.state.Worker(w.name)
		attached := !state.Detached && state.Epoch == s.epoch
		if draining && attached && !state.Draining {
			sim.apply(tracker.Command{Drain: &tracker.Drain{Worker: w.name, Epoch: s.epoch}})
		}
		switch {
		case attached && state.ModifiedIndex == known && waited < simWatchTime:
			return 0, false
		case unresponsive:
			result.response = coordinator.WatchResponse{Version: known}
		default:
			result = w.watchResult(known, clock, sent)
		}
		return sim.now + sim.delay(), true
	}
	w.pending = append(w.pending, pendingResult{answer: answer, handle: func() { s.handleWatchResult(result) }})
}

// watchResult answers a watch as the leader does, with the leader's own choice of runs.
func (w *simWorker) watchResult(known uint64, clock clockSample, sent timekeeper.Millis) watchResult {
	state, _ := w.sim.state.Worker(w.name)
	if state.Detached || state.Epoch != w.session.epoch {
		return watchResult{response: coordinator.WatchResponse{Lost: true}}
	}
	w.leaseExpiry = w.sim.now + simLease + simLeaseMargin
	response := coordinator.WatchResponse{Version: state.ModifiedIndex, CommittedEnd: state.CommittedEnd, Lease: simLease}
	if state.ModifiedIndex != known {
		response.Assignments = coordinator.Assignments(w.name, w.sim.state, w.sim.state, func(tracker.RunKey) bool { return true })
	}
	return watchResult{response: response, leaseEnd: leaseEnd(clock, sent, simLease)}
}

// checkKnownRuns fails the test if the session has received the worker's present assignments and lacks a run that the
// worker holds, since nobody would report its end.
func (w *simWorker) checkKnownRuns() {
	state, _ := w.sim.state.Worker(w.name)
	if w.session == nil || w.session.epoch != state.Epoch || w.session.assignmentVersion != state.ModifiedIndex {
		return
	}
	for _, r := range state.Runs {
		if w.session.runs[r.Key] == nil {
			w.sim.fatalf("%v: %s holds run %v, which its agent's session does not know", w.sim.now, w.name, r.Key)
		}
	}
}

func (w *simWorker) sendReport() {
	s := w.session
	ends := s.unreported()
	if len(ends) == 0 {
		return
	}
	slices.SortStableFunc(ends, func(a, b tracker.End) int { return compareRuns(a.Run, b.Run) })
	s.reporting = true
	result, arriveAt, fate := reportResult{ends: ends, err: errNoAnswer}, w.sim.now+simFailedCall, w.leaderFate()
	if fate == fateDelivered || fate == fateUnanswered {
		answer := w.sim.apply(tracker.Command{Report: &tracker.Report{Worker: w.name, Epoch: s.epoch, Ends: ends, At: w.sim.now}})
		result.lost = answer.Code != tracker.Accepted
	}
	if fate == fateDelivered {
		result.err, arriveAt = nil, w.sim.now+w.sim.delay()
	}
	w.pending = append(w.pending, pendingResult{arriveAt: arriveAt, handle: func() { s.handleReportResult(result) }})
}

// advanceRun advances one run by a tick, and ends it when it is done, has failed, is stopped, or lost its lease or gang.
func (w *simWorker) advanceRun(key tracker.RunKey, gang, complete bool) {
	r := w.runner
	run := r.running[key]
	switch {
	case r.clock > r.leaseEnd:
		r.end(key, tracker.EndLost)
	case run.stopAt > 0 && r.clock >= run.stopAt:
		r.end(key, tracker.EndStopped)
	case w.frozen():
	case w.sim.happens(w.sim.rates.failed):
		r.end(key, tracker.EndFailed)
	case gang && !complete && run.work > 0:
		r.end(key, tracker.EndGangBroken)
	case gang && !complete && r.clock-run.startedAt > simGangWait:
		r.end(key, tracker.EndGangIncomplete)
	case !gang || complete:
		run.work += simTick
		if run.work >= simTaskTime {
			r.end(key, tracker.EndDone)
		}
	}
}
