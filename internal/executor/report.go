package executor

import (
	"context"
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
// never list.
func (s *session) unreported() []tracker.End {
	var ends []tracker.End
	for _, end := range s.listing.Finished {
		if end.Number > max(s.reportedEnd, s.committedEnd) {
			if r := s.runs[end.Run]; r != nil {
				end.RunTime = r.duration
			}
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
