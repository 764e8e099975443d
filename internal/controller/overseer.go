package controller

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

const (
	overseeInterval = 100 * time.Millisecond
	handoverWait    = 2 * time.Second
	handoverPoll    = 20 * time.Millisecond
)

// Oversee does the leader's duties while this replica leads, until ctx ends: it fires timers, declares what is
// lost, puts revisions in force and mends the membership.
func (s *Server) Oversee(ctx context.Context) error {
	ticker := time.NewTicker(overseeInterval)
	defer ticker.Stop()
	var seen replicator.Status
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.node.Done():
			return nil
		case <-ticker.C:
		}
		status := s.node.Status()
		if status.Term != seen.Term || status.Leader != seen.Leader {
			s.log.Log(logger.LeaderChanged, logger.F("term", status.Term), logger.F("leader", s.standing().Leader))
			seen = status
		}
		if status.Role == replicator.Leader {
			s.oversee(ctx)
		}
	}
}

func (s *Server) oversee(ctx context.Context) {
	for _, c := range s.due() {
		response, err := s.submit(ctx, c)
		if err != nil || response.Standing.NotLeader || response.Uncertain {
			s.log.Log(logger.ProposalFailed)
			return
		}
		s.logDue(c)
	}
	s.mendMembership(ctx, s.node.Promotable())
}

// due returns the commands that are called for now.
func (s *Server) due() []registrar.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	liveness, leads := s.lead()
	if !leads || !s.fresh() {
		return nil
	}
	state := s.machine.State()
	commands := liveness.Due(s.clock.Now(), state)
	if at, ok := state.Scheduler.NextDue(); ok && at <= s.now() {
		commands = append(commands, registrar.Command{Events: []scheduler.Event{{TimePassed: &scheduler.TimePassed{}}}})
	}
	return commands
}

func (s *Server) logDue(c registrar.Command) {
	switch {
	case c.Detach != nil:
		s.log.Log(logger.AgentLost, logger.F("agent", c.Detach.Agent))
	case c.Owner != nil:
		s.log.Log(logger.EntryLost, logger.F("owner", c.Owner.Owner))
	case c.InForce != nil:
		s.log.Log(logger.RevisionInForce, logger.F("revision", c.InForce.Revision))
	}
}

// HandOver passes leadership on before a planned stop and waits until another replica leads.
func (s *Server) HandOver(ctx context.Context) {
	if s.node.Status().Role != replicator.Leader || !s.node.Transfer(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	for s.node.Status().Role == replicator.Leader {
		select {
		case <-ctx.Done():
			return
		case <-time.After(handoverPoll):
		}
	}
}
