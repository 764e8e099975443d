package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// busyWait is how long a runner holds its answer while something runs: progress is looked at as often.
	busyWait timekeeper.Millis = 1000
	// idleWait is the longest that the platform allows.
	idleWait timekeeper.Millis = 2000
	// holdExtra is what a hold may take beyond its wait.
	holdExtra = 800 * time.Millisecond
	// muteAfter is the number of holds without an answer after which the leader is told not to grant leases.
	muteAfter = 2
)

// hold renews the lease and asks the runner for its lists.
func (s *session) hold(ctx context.Context) {
	s.holding = true
	s.holds++
	order := HoldOrder{Epoch: s.epoch, Forgotten: s.recorded, Lease: s.lease, Wait: s.holdWait()}
	serial := s.holds
	go func() {
		call, cancel := context.WithTimeout(ctx, order.Wait.Duration()+holdExtra)
		defer cancel()
		listing, verdict, err := s.runner.Hold(call, order)
		if err != nil {
			pause(ctx, retryOrder.Duration())
		}
		s.held <- holdResult{serial, listing, s.agent.clock.Now(), verdict, err}
	}()
}

// holdWait is zero while something waits to be seen in a list.
func (s *session) holdWait() timekeeper.Millis {
	if s.listed == 0 {
		return 0
	}
	for _, r := range s.orders {
		if r.awaitsListing() {
			return 0
		}
	}
	if len(s.orders) > 0 || len(s.listing.Running) > 0 {
		return busyWait
	}
	return idleWait
}

func (s *session) takeListing(r holdResult) {
	s.holding = false
	switch {
	case r.err != nil:
		s.noteSilence(r.err)
		return
	case r.verdict == VerdictFenced, r.verdict == VerdictOtherLife, r.listing.Life.Born != 0 && r.listing.Life.Born != s.life.Born:
		s.lose("the runner has another life or has seen a higher token")
		return
	case r.verdict != VerdictDone:
		s.noteSilence(nil)
		return
	}
	s.failures = 0
	s.listed = r.serial
	s.listing = r.listing
	s.clock = reading{r.listing.Clock, r.arrived}
	s.compare()
}

func (s *session) noteSilence(err error) {
	s.failures++
	if s.failures == muteAfter {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "hold"), logger.F("runner", s.life.ID), logger.F("error", err))
	}
	if a, _ := s.agent.announced(); a.Left {
		s.agent.mu.Lock()
		s.agent.signal()
		s.agent.mu.Unlock()
	}
}

func (s *session) lose(reason string) {
	s.over = true
	s.agent.log.Log(logger.AttachmentLost, logger.F("runner", s.life.ID), logger.F("epoch", s.epoch), logger.F("reason", reason))
}
