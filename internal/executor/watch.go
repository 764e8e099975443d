package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// watchTimeout bounds a watch, including retries. The next watch carries newer progress reports.
const watchTimeout = 3 * time.Second

// watch starts a call that reports progress to the leader and asks for changed assignments and a lease.
func (s *session) watch(ctx context.Context) {
	s.watching = true
	a, _ := s.agent.lastAnnouncement()
	r := &coordinator.WatchRequest{
		Worker: s.agent.worker, Epoch: s.epoch, KnownVersion: s.assignmentVersion,
		Draining: s.draining(), DrainTimeLeft: a.DrainTimeLeft, RunnerUnresponsive: s.failedPolls >= unresponsiveAfter,
		Starts: s.startReports(),
	}
	for _, running := range s.listing.Running {
		r.Running = append(r.Running, coordinator.RunReport{Run: running.Run, Percent: running.Percent, Checkpoint: running.Checkpoint})
	}
	clock, sent := s.clock, s.agent.clock.Now()
	go func() {
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		response, err := locator.Call[coordinator.WatchRequest, coordinator.WatchResponse](
			call, s.agent.locator, coordinator.MethodWatch, locator.Limits{ExtraTimeout: coordinator.WatchTimeout.Duration()}, r)
		s.watchResults <- watchResult{response, err, leaseEnd(clock, sent, response.Lease)}
	}()
}

// leaseEnd returns the end of a lease by the runner's clock, or zero if no lease was granted. The lease starts when the
// request was sent. The runner's clock had reached at least the sampled value when the sample arrived, so the runner
// never ends the lease later than the leader does.
func leaseEnd(clock clockSample, sent, lease timekeeper.Millis) timekeeper.Millis {
	if lease == 0 {
		return 0
	}
	return clock.value + (sent - clock.receivedAt) + lease
}

func (s *session) handleWatchResult(r watchResult) {
	s.watching = false
	if r.err != nil {
		return // the locator has logged the error; the session sends another watch
	}
	if r.response.Lost {
		s.detach("the leader detached the worker, or another process attached")
		return
	}
	s.leaseEnd = max(s.leaseEnd, r.leaseEnd)
	s.committedEnd = max(s.committedEnd, r.response.CommittedEnd)
	if r.response.Version == s.assignmentVersion {
		return
	}
	s.assignmentVersion, s.assigned = r.response.Version, true
	s.setAssignments(r.response.Assignments)
	s.reconcile()
}
