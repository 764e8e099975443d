package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

const (
	peerTimeout       = time.Second
	joinInterval      = 300 * time.Millisecond
	membershipTimeout = 3 * time.Second
)

var errNoSeat = errors.New("address is not a seat of the cluster; add it with 'cluster add'")

// join adds a new replica as a learner. Once it has caught up, it replaces an earlier replica at its address.
func (s *Server) join(ctx context.Context, r *JoinRequest) (*JoinResponse, error) {
	err := s.node.ChangeMembership(ctx, func(m replicator.Membership) (replicator.Membership, error) {
		if _, member := m.Member(r.ID); member {
			return m, errAlreadyMember
		}
		if !slices.Contains(m.Seats, r.Address) {
			return m, errNoSeat
		}
		return m.WithLearner(r.ID, r.Address), nil
	})
	response := &JoinResponse{Leadership: s.leadership()}
	switch {
	case err == nil:
		s.log.Log(logger.MemberAdded, logger.F("address", r.Address), logger.F("replica", uint64(r.ID)))
	case errors.Is(err, errAlreadyMember):
	case errors.Is(err, replicator.ErrNotLeader):
		response.Leadership.NotLeader = true
	default:
		response.Refused = err.Error()
	}
	return response, nil
}

var errAlreadyMember = errors.New("already a member")

// changeSeats adds or removes a seat. Removing a seat also removes the replica there. If that is the leader, it
// transfers leadership first and the caller tries again.
func (s *Server) changeSeats(ctx context.Context, r *SeatRequest) (*JoinResponse, error) {
	if r.Remove && r.Address == s.address {
		s.node.TransferLeadership(ctx)
		return &JoinResponse{Leadership: Leadership{NotLeader: true}}, nil
	}
	err := s.node.ChangeMembership(ctx, func(m replicator.Membership) (replicator.Membership, error) {
		if !r.Remove {
			return m.WithSeat(r.Address), nil
		}
		m = m.WithoutSeat(r.Address)
		if o, ok := m.MemberAt(r.Address); ok {
			m = m.WithoutMember(o.ID)
		}
		return m, nil
	})
	response := &JoinResponse{Leadership: s.leadership()}
	if errors.Is(err, replicator.ErrNotLeader) {
		response.Leadership.NotLeader = true
	} else if err != nil {
		response.Refused = err.Error()
	}
	return response, nil
}

// promoteLearner makes one membership change for the first learner that has caught up. It removes an earlier member at
// the learner's address or, if there is none, promotes the learner.
func (s *Server) promoteLearner(ctx context.Context, promotable []replicator.Member) {
	if len(promotable) == 0 {
		return
	}
	learner := promotable[0]
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	event := logger.MemberPromoted
	err := s.node.ChangeMembership(ctx, func(m replicator.Membership) (replicator.Membership, error) {
		next, removed := m.Promote(learner)
		if removed {
			event = logger.MemberRemoved
		}
		return next, nil
	})
	if err != nil {
		s.log.Log(logger.MembershipFailed, logger.F("address", learner.Address), logger.F("error", err))
		return
	}
	s.log.Log(event, logger.F("address", learner.Address))
}

// JoinOrBootstrap makes a replica with an empty data folder a member of a cluster. It joins the cluster of another
// seat. If all other seats answer that they have none and this is the lowest address, it bootstraps a new cluster. It
// returns at once if the replica has a membership already, and with an error when ctx ends.
func (s *Server) JoinOrBootstrap(ctx context.Context, seats []string, bootstrap func()) error {
	if len(s.node.Status().Members.Members) > 0 {
		return nil
	}
	for {
		cluster, empty := s.findCluster(ctx, seats)
		switch {
		case cluster != "":
			if s.requestJoin(ctx, cluster) {
				return nil
			}
		case empty && s.address == slices.Min(seats):
			bootstrap()
			s.log.Log(logger.ClusterBootstrapped, logger.F("seats", seats))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("join cluster: %w", ctx.Err())
		case <-time.After(joinInterval):
		}
		if len(s.node.Status().Members.Members) > 0 {
			return nil // a leader added this replica already
		}
	}
}

// findCluster probes the other seats. It returns the first one that belongs to a cluster, and whether all of them
// answered that they belong to none.
func (s *Server) findCluster(ctx context.Context, seats []string) (cluster string, empty bool) {
	empty = true
	for _, seat := range seats {
		if seat == s.address {
			continue
		}
		answer, err := callPeer[ProbeRequest, ProbeResponse](ctx, seat, methodProbe, &ProbeRequest{})
		if err != nil {
			empty = false
			continue
		}
		if answer.HasCluster {
			return seat, false
		}
	}
	return "", empty
}

// requestJoin asks seat, and then the leader that it names, to add this replica. It reports whether that succeeded.
func (s *Server) requestJoin(ctx context.Context, seat string) bool {
	s.log.Log(logger.ReplicaJoining, logger.F("through", seat))
	r := &JoinRequest{ID: s.node.ID(), Address: s.address}
	answer, err := callPeer[JoinRequest, JoinResponse](ctx, seat, methodJoin, r)
	if err == nil && answer.Leadership.NotLeader && answer.Leadership.Leader != "" {
		answer, err = callPeer[JoinRequest, JoinResponse](ctx, answer.Leadership.Leader, methodJoin, r)
	}
	return err == nil && !answer.Leadership.NotLeader && answer.Refused == ""
}

// callPeer calls another control process on a new connection, with a timeout of peerTimeout.
func callPeer[Req, Resp any](ctx context.Context, address, method string, r *Req) (*Resp, error) {
	conn, err := messenger.Dial(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return encoder.Call[Req, Resp](ctx, conn, "/"+serviceName+"/"+method, r)
}
