package coordinator

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// lateStart is how long a run may be assigned until it counts as late. An agent reports a start with its next watch,
	// within WatchTimeout.
	lateStart = WatchTimeout + 500
	// startScanInterval is the pause between two comparisons of the assigned runs with the state.
	startScanInterval timekeeper.Millis = 250
	// lateEnd is how long the end of a run may be awaited until it counts as late: two watches, in which the agent hears that
	// the run is to stop and its runner is polled, and the time that a stop takes.
	lateEnd = 2*WatchTimeout + 1000
	// lateLogInterval is the pause between two lines about a late run.
	lateLogInterval timekeeper.Millis = 5000
	// maxLateLines bounds the lines of one scan.
	maxLateLines = 20
)

// StartCause is why a run that a worker holds is late to begin, or late to end.
type StartCause uint8

// The causes. The first ones are found by the leader, the others by the agent.
const (
	StartNotReported   StartCause = iota // the agent holds the run and has not said anything of it
	StartNotSent                         // the agent has not been told of the run
	StartAgentSilent                     // the agent holds the run and does not call
	StartRunnerSilent                    // the runner does not answer the agent
	StartInFlight                        // the start has not been answered yet
	StartUnanswered                      // a start got no answer
	StartNoLease                         // the agent has no lease
	StartLeaseExpired                    // the runner says that the lease has expired
	StartNoCapacity                      // the runner lacks room
	StartUnavailable                     // the runner refuses starts for now
	StartRefused                         // the runner refuses this start
	StartBeingReturned                   // the agent has given the run up and makes sure that it cannot start
	startCauses        = iota
)

// String returns the cause as logs and metrics name it.
func (c StartCause) String() string {
	names := [startCauses]string{
		"not-reported", "not-sent", "agent-silent", "runner-silent", "start-in-flight", "start-unanswered", "no-lease",
		"lease-expired", "no-room", "runner-unavailable", "start-refused", "being-returned",
	}
	if int(c) >= len(names) {
		return names[StartNotReported]
	}
	return names[c]
}

// begunRun is a run that has begun, and how long after its assignment.
type begunRun struct {
	run  tracker.RunKey
	took timekeeper.Millis
}

// recordReports updates the runs that an agent reports. It returns those that have begun since its last report.
func (s *starts) recordReports(r *WatchRequest, now timekeeper.Millis) []begunRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var begun []begunRun
	begin := func(key tracker.RunKey, at timekeeper.Millis) {
		if run := s.runs[key]; run != nil && !run.begun {
			run.begun = true
			begun = append(begun, begunRun{key, max(at-run.assignedAt, 0)})
		}
	}
	for _, report := range r.Starts {
		if report.Confirmed {
			begin(report.Run, now-report.Since)
		} else if run := s.runs[report.Run]; run != nil {
			run.cause = report.Cause
		}
	}
	for _, report := range r.Running {
		begin(report.Run, now)
	}
	return begun
}

// lateRun is a run that is late to begin, or late to end.
type lateRun struct {
	run    tracker.RunKey
	worker string
	since  timekeeper.Millis
	cause  StartCause
	ending bool // the run is to end: its task or its job needs it no more
	entry  *assignedRun
}

// lateRuns compares the runs that workers hold with the state and returns those that are late to begin or to end, the
// longest first, or false if the last scan is too recent.
func (s *starts) lateRuns(state tracker.State, now timekeeper.Millis) ([]lateRun, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scannedAt != 0 && now-s.scannedAt < startScanInterval {
		return nil, false
	}
	s.scannedAt = now
	current := make(map[tracker.RunKey]*assignedRun, len(s.runs))
	var late []lateRun
	for _, w := range state.Workers() {
		for _, r := range w.Runs {
			entry := s.runs[r.Key]
			if entry == nil {
				entry = &assignedRun{worker: w.Name, assignedAt: now}
			}
			current[r.Key] = entry
			entry.recordEnding(r.Stopping || !state.IsCurrent(w.Name, r.Key), now)
			if l, ok := s.lateRun(w, r.Key, entry, now); ok {
				late = append(late, l)
			}
		}
	}
	s.runs = current
	slices.SortFunc(late, func(a, b lateRun) int {
		return cmp.Or(-cmp.Compare(a.since, b.since), a.run.Task.Compare(b.run.Task))
	})
	return late, true
}

// recordEnding records whether the run is to end. A line about its late end does not wait for one about its late start.
func (r *assignedRun) recordEnding(ending bool, now timekeeper.Millis) {
	switch {
	case !ending:
		r.endingSince = 0
	case r.endingSince == 0:
		r.endingSince, r.loggedAt = now, 0
	}
}

// lateRun returns a run of a worker if it is late to begin or to end. The caller holds mu.
func (s *starts) lateRun(w tracker.Worker, key tracker.RunKey, entry *assignedRun, now timekeeper.Millis) (lateRun, bool) {
	l := lateRun{run: key, worker: w.Name, ending: entry.endingSince != 0, entry: entry}
	if l.ending {
		l.since = now - entry.endingSince
		if entry.sentEpoch != w.Epoch {
			l.cause = StartNotSent
		}
		return l, l.since >= lateEnd
	}
	l.since, l.cause = now-entry.assignedAt, entry.cause
	if _, unsent := s.unsent[key]; unsent {
		l.cause = StartNotSent
	}
	return l, !entry.begun && l.since >= lateStart
}

// dueLines returns the late runs of which a line is due, at most maxLateLines.
func (s *starts) dueLines(late []lateRun, now timekeeper.Millis) []lateRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []lateRun
	for _, l := range late {
		if len(due) < maxLateLines && (l.entry.loggedAt == 0 || now-l.entry.loggedAt >= lateLogInterval) {
			l.entry.loggedAt = now
			due = append(due, l)
		}
	}
	return due
}

// publishLateRuns logs and counts the runs that are late to begin or to end.
func (c *Coordinator) publishLateRuns(state tracker.State, now timekeeper.Millis) {
	late, ok := c.starts.lateRuns(state, now)
	if !ok {
		return
	}
	var notBegun, notEnded [startCauses]int
	for i, l := range late {
		late[i].cause = c.lateCause(l, now)
		if l.ending {
			notEnded[late[i].cause]++
		} else {
			notBegun[late[i].cause]++
		}
	}
	for cause := range startCauses {
		c.meter.GaugeOf("runs_not_begun", StartCause(cause).String(), float64(notBegun[cause]))
		c.meter.GaugeOf("runs_not_ended", StartCause(cause).String(), float64(notEnded[cause]))
	}
	for _, l := range c.starts.dueLines(late, now) {
		c.logLateRun(l, state, now)
	}
}

// lateCause returns why a run is late. An agent that was told of the run, and whose silence or whose runner's silence
// explains it, comes before what that agent said last.
func (c *Coordinator) lateCause(l lateRun, now timekeeper.Millis) StartCause {
	silence, runnerDown := c.leases.lastContact(l.worker, now)
	switch {
	case l.cause == StartNotSent:
	case runnerDown:
		return StartRunnerSilent
	case silence > agentTimeout:
		return StartAgentSilent
	}
	return l.cause
}

func (c *Coordinator) logLateRun(l lateRun, state tracker.State, now timekeeper.Millis) {
	silence, _ := c.leases.lastContact(l.worker, now)
	fields := []logger.Field{
		logger.F("job", string(l.run.Task.Job)), logger.F("run", l.run.String()), logger.F("worker", l.worker),
		logger.F("cause", l.cause.String()), logger.F("silence", silence), logger.F("state", state.Index),
	}
	if !l.ending {
		c.log.Log(logger.RunNotBegun, append(fields, logger.F("assigned", l.since))...)
		return
	}
	phase := "unknown"
	if j, ok := state.Job(l.run.Task.Job); ok {
		phase = j.Phase.String()
	}
	c.log.Log(logger.RunNotEnded, append(fields, logger.F("ending", l.since), logger.F("phase", phase))...)
}

// resetStarts forgets the runs of another term.
func (c *Coordinator) resetStarts() {
	c.starts.reset()
	for cause := range startCauses {
		c.meter.GaugeOf("runs_not_begun", StartCause(cause).String(), 0)
		c.meter.GaugeOf("runs_not_ended", StartCause(cause).String(), 0)
	}
}

// recordStarts updates the runs that an agent reports, and records how long they took to begin.
func (c *Coordinator) recordStarts(r *WatchRequest, now timekeeper.Millis) {
	state := c.machine.State()
	for _, b := range c.starts.recordReports(r, now) {
		if j, ok := state.Job(b.run.Task.Job); ok {
			c.meter.Observe("run_start", j.Workspace, j.Queue, b.took.Duration())
		}
	}
}
