package executor

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// reportTimeout bounds a report or a deregistration, including retries.
const reportTimeout = 3 * time.Second

// report starts a call that reports the ends that are not in the log yet.
func (s *session) report(ctx context.Context) {
	ends := s.unreported()
	if len(ends) == 0 {
		return
	}
	s.reporting = true
	r := &coordinator.ReportRequest{Report: tracker.Report{Worker: s.agent.worker, Epoch: s.epoch, Ends: ends}}
	go func() {
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		response, err := locator.Call[coordinator.ReportRequest, coordinator.ReportResponse](call, s.agent.locator, coordinator.MethodReport, locator.Limits{}, r)
		s.reportResults <- reportResult{ends, response.Lost, err}
	}()
}

// unreported returns the ends in the last listing that were not reported yet, and the ends of runs that the runner will
// never list. The end of a run that is still assigned is reported whatever its number is.
func (s *session) unreported() []tracker.End {
	var ends []tracker.End
	for _, end := range s.listing.Finished {
		r := s.runs[end.Run]
		if r != nil {
			end.RunTime = r.duration
		}
		if end.Number > s.credibleEnd {
			continue // the next listing repeats it
		}
		if end.Number > max(s.reportedEnd, s.committedEnd) || r != nil && !r.committed {
			ends = append(ends, end)
		}
	}
	for key, r := range s.runs {
		if kind := r.missingEnd(); kind != 0 {
			ends = append(ends, tracker.End{Run: key, Kind: kind})
		}
	}
	return ends
}

// lastCredible returns the highest number up to which listed ends may be reported, given that known was the last one. A
// number that does not follow the one before counts once two listings in a row contain it, since a wrong one would make
// the runner discard the ends below it.
func lastCredible(known int, before, now []tracker.End) int {
	for _, end := range now {
		same := func(o tracker.End) bool { return o.Number == end.Number && o.Run == end.Run }
		if end.Number > known+1 && !slices.ContainsFunc(before, same) {
			break
		}
		known = max(known, end.Number)
	}
	return known
}

func (s *session) handleReportResult(r reportResult) {
	s.reporting = false
	if r.err != nil {
		return // the next report repeats the ends
	}
	if r.lost {
		s.detach("the leader has replaced the attachment")
		return
	}
	for _, end := range r.ends {
		s.reportedEnd = max(s.reportedEnd, end.Number)
		if run := s.runs[end.Run]; run != nil {
			run.committed = true
		}
	}
	s.committedEnd = max(s.committedEnd, s.reportedEnd)
}
