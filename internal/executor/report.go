package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// reportTimeout bounds a report with its retries.
const reportTimeout = 3 * time.Second

// report hands in the ends that are not in the log yet.
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
		s.handed <- reportResult{ends, response.Lost, err}
	}()
}

// unreported returns the ends that the runner lists, and those that only this session knows.
func (s *session) unreported() []tracker.End {
	var ends []tracker.End
	for _, end := range s.listing.Finished {
		if end.Number > max(s.reported, s.recorded) {
			if r := s.orders[end.Run]; r != nil {
				end.Took = r.took
			}
			ends = append(ends, end)
		}
	}
	for key, r := range s.orders {
		if kind := r.missing(); kind != 0 {
			ends = append(ends, tracker.End{Run: key, Kind: kind})
		}
	}
	return ends
}

func (s *session) takeReceipt(r reportResult) {
	s.reporting = false
	if r.err != nil {
		return // the ends are handed in again
	}
	if r.lost {
		s.lose("the leader knows another attachment")
		return
	}
	for _, end := range r.ends {
		s.reported = max(s.reported, end.Number)
		if o := s.orders[end.Run]; o != nil {
			o.over = true
		}
	}
	s.recorded = max(s.recorded, s.reported)
}
