package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// watchTimeout bounds a watch with its retries; afterwards the watch carries fresh reports.
const watchTimeout = 3 * time.Second

// watch asks the leader for the worker's runs and a lease.
func (s *session) watch(ctx context.Context) {
	s.watching = true
	a, _ := s.agent.announced()
	r := &coordinator.WatchRequest{
		Worker: s.agent.worker, Epoch: s.epoch, Seen: s.version,
		Draining: s.draining(), Leaving: a.Leaving, Mute: s.failures >= muteAfter,
	}
	for _, running := range s.listing.Running {
		r.Running = append(r.Running, coordinator.RunReport{Run: running.Run, Percent: running.Percent, Checkpoint: running.Checkpoint})
	}
	clock, sent := s.clock, s.agent.clock.Now()
	go func() {
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		response, err := locator.Call[coordinator.WatchRequest, coordinator.WatchResponse](
			call, s.agent.locator, coordinator.MethodWatch, locator.Limits{Hold: coordinator.HoldTime.Duration()}, r)
		s.watched <- watchResult{response, err, leaseEnd(clock, sent, response.Lease)}
	}()
}

// leaseEnd returns the end of a lease by the runner's clock. The lease counts from when it was asked for, and the
// runner's clock was at least the reading when that arrived: the runner ends the lease no later than the leader does.
func leaseEnd(clock reading, sent, lease timekeeper.Millis) timekeeper.Millis {
	if lease == 0 {
		return 0
	}
	return clock.value + (sent - clock.at) + lease
}

func (s *session) takeOrders(r watchResult) {
	s.watching = false
	if r.err != nil {
		return // the locator has logged it; the next watch follows
	}
	if r.response.Lost {
		s.lose("the leader gave the worker up, or another process attached")
		return
	}
	s.lease = max(s.lease, r.lease)
	s.recorded = max(s.recorded, r.response.Recorded)
	if r.response.Version == s.version {
		return
	}
	s.version, s.ordered = r.response.Version, true
	s.replaceOrders(r.response.Orders)
	s.compare()
}
