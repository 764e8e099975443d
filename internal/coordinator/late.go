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
	// lateLogInterval is the pause between two lines about a late run.
	lateLogInterval timekeeper.Millis = 5000
	// maxLateLines bounds the lines of one scan.
	maxLateLines = 20
)

// StartCause is why an assigned run has not begun.
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

// lateRun is a run that is late to begin.
type lateRun struct {
	run    tracker.RunKey
	worker string
	since  timekeeper.Millis
	cause  StartCause
	entry  *assignedRun
}

// lateRuns compares the assigned runs with the state and returns those that are late to begin, the longest first, or
// false if the last scan is too recent.
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
			if entry.begun || r.Stopping || now-entry.assignedAt < lateStart {
				continue
			}
			l := lateRun{r.Key, w.Name, now - entry.assignedAt, entry.cause, entry}
			if _, unsent := s.unsent[r.Key]; unsent {
				l.cause = StartNotSent
			}
			late = append(late, l)
		}
	}
	s.runs = current
	slices.SortFunc(late, func(a, b lateRun) int {
		return cmp.Or(-cmp.Compare(a.since, b.since), a.run.Task.Compare(b.run.Task))
	})
	return late, true
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

// publishLateRuns logs and counts the runs that are late to begin.
func (c *Coordinator) publishLateRuns(state tracker.State, now timekeeper.Millis) {
	late, ok := c.starts.lateRuns(state, now)
	if !ok {
		return
	}
	var counts [startCauses]int
	for i, l := range late {
		silence, runnerDown := c.leases.lastContact(l.worker, now)
		switch {
		case l.cause == StartNotSent:
		case runnerDown:
			late[i].cause = StartRunnerSilent
		case silence > agentTimeout:
			late[i].cause = StartAgentSilent
		}
		counts[late[i].cause]++
	}
	for cause, n := range counts {
		c.meter.GaugeOf("runs_not_begun", StartCause(cause).String(), float64(n))
	}
	for _, l := range c.starts.dueLines(late, now) {
		silence, _ := c.leases.lastContact(l.worker, now)
		c.log.Log(logger.RunNotBegun, logger.F("job", string(l.run.Task.Job)), logger.F("run", l.run.String()), logger.F("worker", l.worker),
			logger.F("cause", l.cause.String()), logger.F("assigned", l.since), logger.F("silence", silence), logger.F("state", state.Index))
	}
}

// resetStarts forgets the runs of another term.
func (c *Coordinator) resetStarts() {
	c.starts.reset()
	for cause := range startCauses {
		c.meter.GaugeOf("runs_not_begun", StartCause(cause).String(), 0)
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
