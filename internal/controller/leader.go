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
	leaderInterval  = 100 * time.Millisecond
	transferTimeout = 2 * time.Second
	transferPoll    = 20 * time.Millisecond
)

// RunLeaderDuties performs the leader's duties while this replica leads, until ctx ends or the node stops. It fires due
// timers, declares agents and entries lost, puts revisions in force and promotes learners.
func (s *Server) RunLeaderDuties(ctx context.Context) error {
	ticker := time.NewTicker(leaderInterval)
	defer ticker.Stop()
	var last replicator.Status
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.node.Done():
			return nil
		case <-ticker.C:
		}
		status := s.node.Status()
		if status.Term != last.Term || status.Leader != last.Leader {
			s.log.Log(logger.LeaderChanged, logger.F("term", status.Term), logger.F("leader", s.leadership().Leader))
			last = status
		}
		if status.Role == replicator.Leader {
			s.leaderTick(ctx)
		}
	}
}

func (s *Server) leaderTick(ctx context.Context) {
	for _, c := range s.dueCommands() {
		response, err := s.submit(ctx, c)
		if err != nil || response.Leadership.NotLeader || response.Uncertain {
			s.log.Log(logger.ProposalFailed)
			return
		}
		s.logCommand(c)
	}
	s.promoteLearner(ctx, s.node.Promotable())
}

// dueCommands returns the commands to propose now. It returns nil if this replica does not lead or its view is stale.
func (s *Server) dueCommands() []registrar.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	liveness, leads := s.leaderLiveness()
	if !leads || !s.tickIsRecent() {
		return nil
	}
	state := s.machine.State()
	commands := liveness.DueCommands(s.clock.Now(), state)
	if at, ok := state.Scheduler.NextTimer(); ok && at <= s.logTime() {
		commands = append(commands, registrar.Command{Events: []scheduler.Event{{TimePassed: &scheduler.TimePassed{}}}})
	}
	return commands
}

func (s *Server) logCommand(c registrar.Command) {
	switch {
	case c.Detach != nil:
		s.log.Log(logger.AgentLost, logger.F("agent", c.Detach.Agent))
	case c.OwnerLost != nil:
		s.log.Log(logger.EntryLost, logger.F("owner", c.OwnerLost.Owner))
	case c.InForce != nil:
		s.log.Log(logger.RevisionInForce, logger.F("revision", c.InForce.Revision))
	}
}

// TransferLeadership transfers leadership before a planned stop. It waits up to transferTimeout until this replica no
// longer leads.
func (s *Server) TransferLeadership(ctx context.Context) {
	if s.node.Status().Role != replicator.Leader || !s.node.TransferLeadership(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for s.node.Status().Role == replicator.Leader {
		select {
		case <-ctx.Done():
			return
		case <-time.After(transferPoll):
		}
	}
}
