package executor

import (
	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// overdueAfter is the time from the receipt of a run from which its start is overdue.
const overdueAfter timekeeper.Millis = 1000

// recordBegun logs that the runner executes a run which this session has started.
func (s *session) recordBegun(r *run) {
	if r.begunAt > 0 {
		return
	}
	r.begunAt = s.agent.clock.Now()
	took := r.begunAt - r.receivedAt
	s.agent.log.Log(logger.RunStarted, logger.F("job", string(r.assignment.Run.Task.Job)), logger.F("run", r.assignment.Run.String()),
		logger.F("epoch", s.epoch), logger.F("took", took))
	if took > overdueAfter {
		s.agent.log.Log(logger.RunStartedLate, logger.F("job", string(r.assignment.Run.Task.Job)), logger.F("run", r.assignment.Run.String()),
			logger.F("took", took), logger.F("tries", r.failedStarts))
	}
}

// logOverdue logs a run, once, whose start is overdue.
func (s *session) logOverdue(r *run, now timekeeper.Millis) {
	if r.overdueLogged || r.converged() || r.assignment.Stop || now-r.receivedAt <= overdueAfter {
		return
	}
	r.overdueLogged = true
	s.agent.log.Log(logger.RunStartOverdue, logger.F("job", string(r.assignment.Run.Task.Job)), logger.F("run", r.assignment.Run.String()),
		logger.F("cause", s.startCause(r).String()), logger.F("tries", r.failedStarts), logger.F("held", now-r.receivedAt))
}

// startCause returns why the start of a run is not confirmed.
func (s *session) startCause(r *run) coordinator.StartCause {
	switch {
	case r.abandoned:
		return coordinator.StartBeingReturned
	case r.inFlight && r.failedStarts == 0:
		return coordinator.StartInFlight
	case !r.startSent && s.leaseEnd == 0:
		return coordinator.StartNoLease
	case !r.startSent:
		return coordinator.StartNotReported
	}
	switch r.lastVerdict {
	case 0:
		return coordinator.StartUnanswered
	case VerdictLeaseExpired:
		return coordinator.StartLeaseExpired
	case VerdictNoCapacity:
		return coordinator.StartNoCapacity
	case VerdictUnavailable:
		return coordinator.StartUnavailable
	}
	return coordinator.StartRefused
}

// startReports returns the runs that the last listing lacks, and what became of their starts.
func (s *session) startReports() []coordinator.StartReport {
	var reports []coordinator.StartReport
	for key, r := range s.runs {
		if r.listed || r.ended || r.committed || r.assignment.Stop {
			continue
		}
		report := coordinator.StartReport{Run: key, Confirmed: r.startConfirmed}
		if r.startConfirmed {
			report.Since = s.agent.clock.Now() - r.begunAt
		} else {
			report.Cause = s.startCause(r)
		}
		reports = append(reports, report)
	}
	return reports
}
