package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// reconcileInterval is the pause between two checks of the membership; several fit into the time for a repair.
	reconcileInterval = 200 * time.Millisecond
	// joinInterval is the pause between two requests to join.
	joinInterval = 300 * time.Millisecond
	// voterTimeout is how long a voter may be silent before a learner replaces it.
	voterTimeout timekeeper.Millis = 1500
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout timekeeper.Millis = 10_000
	// maxMembers bounds the membership, which every replica holds and reports.
	maxMembers = 256
	// refusalLogInterval is the shortest time between two lines about ignored messages.
	refusalLogInterval = 10 * timekeeper.Second
)

// InitialMembership returns the membership of a new cluster: one voter per seed. A voter's ID is derived from the
// seed's address, so that every process computes the same membership.
func InitialMembership(seeds []string) replicator.Membership {
	var m replicator.Membership
	for _, address := range seeds {
		m = m.WithMember(replicator.Member{ID: replicator.ReplicaID(journaler.IdentityFromName(address)), Address: address, Voter: true})
	}
	return m
}

// MaintainMembership adapts the membership to the live replicas while this replica leads, until ctx ends.
func (c *Coordinator) MaintainMembership(ctx context.Context) error {
	var refusals refusalReport
	timekeeper.Repeat(ctx, reconcileInterval, func() {
		c.reportRefusals(&refusals)
		c.reportStorage()
		if c.node.Status().Role == replicator.Leader {
			c.reconcileOnce(ctx)
		}
	})
	return nil
}

// refusalReport is the last report of ignored messages.
type refusalReport struct {
	count uint64
	at    timekeeper.Millis
}

// reportRefusals reports the messages that the replica has ignored since the last report.
func (c *Coordinator) reportRefusals(last *refusalReport) {
	refused, now := c.node.Refused(), c.clock.Now()
	if refused == last.count || last.at != 0 && now-last.at < refusalLogInterval {
		return
	}
	c.meter.Gauge("replica_messages_refused", float64(refused))
	c.log.Log(logger.MessagesRefused, logger.F("refused", refused-last.count))
	*last = refusalReport{refused, now}
}

// reportStorage publishes the space that the journal takes on its disk.
func (c *Coordinator) reportStorage() {
	u := c.node.StorageUsage()
	c.meter.Gauge("journal_log_bytes", float64(u.Log))
	c.meter.Gauge("journal_log_growth_bytes", float64(u.Growth))
	c.meter.Gauge("journal_snapshot_bytes", float64(u.Snapshot))
}

func (c *Coordinator) reconcileOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	peers, err := c.node.Peers(ctx)
	if err != nil {
		return // the node or the process is stopping
	}
	if _, ok := nextMembership(c.node.Status().Members, peers, c.settings.Voters); !ok {
		return
	}
	err = c.node.ChangeMembership(ctx, func(m replicator.Membership) (replicator.Membership, error) {
		next, ok := nextMembership(m, peers, c.settings.Voters)
		if !ok {
			return m, errors.New("the membership needs no change any more")
		}
		return next, nil
	})
	if err != nil {
		c.log.Log(logger.MembershipFailed, logger.F("error", err))
		return
	}
	after := c.node.Status().Members
	c.log.Log(logger.MemberPromoted, logger.F("members", len(after.Members)), logger.F("voters", after.Voters()))
}

// nextMembership returns the membership after one step towards the wanted number of live voters, or false if no step is
// due. A voter is removed only to be replaced by a learner that has caught up: preferably the voter that lost its disk
// and came back as the learner, else the voter that has been silent for longest.
func nextMembership(m replicator.Membership, peers []replicator.Peer, wanted int) (replicator.Membership, bool) {
	for _, p := range peers {
		if current, ok := m.Member(p.Member.ID); !ok || current.Voter || !p.CaughtUp || p.SinceContact > voterTimeout {
			continue
		}
		if old, ok := replacedVoter(m, p.Member); ok {
			return m.WithoutMember(old.ID), true
		}
		if m.Voters() < wanted {
			learner := p.Member
			learner.Voter = true
			return m.WithMember(learner), true
		}
		if silent, ok := longestSilentVoter(m, peers); ok {
			return m.WithoutMember(silent.ID), true
		}
	}
	for _, p := range peers {
		if current, ok := m.Member(p.Member.ID); ok && !current.Voter && p.SinceContact > learnerTimeout {
			return m.WithoutMember(current.ID), true
		}
	}
	return m, false
}

// replacedVoter returns the voter that has the learner's address but another ID: its disk is lost.
func replacedVoter(m replicator.Membership, learner replicator.Member) (replicator.Member, bool) {
	for _, o := range m.Members {
		if o.Voter && o.Address == learner.Address && o.ID != learner.ID {
			return o, true
		}
	}
	return replicator.Member{}, false
}

func longestSilentVoter(m replicator.Membership, peers []replicator.Peer) (replicator.Member, bool) {
	var found replicator.Peer
	for _, p := range peers {
		if m.IsVoter(p.Member.ID) && p.SinceContact > max(voterTimeout, found.SinceContact) {
			found = p
		}
	}
	return found.Member, found.SinceContact > 0
}

// JoinCluster requests to join whenever this replica knows no leader, as when it is not a member, until ctx ends.
func (c *Coordinator) JoinCluster(ctx context.Context, l *locator.Locator) error {
	joining := false
	timekeeper.Repeat(ctx, joinInterval, func() {
		if c.node.Status().Leader != 0 {
			joining = false
			return
		}
		err := c.requestJoin(ctx, l)
		if !joining {
			c.log.Log(logger.ReplicaJoining, logger.F("replica", uint64(c.node.ID())), logger.F("address", c.settings.Address), logger.F("error", err))
		}
		joining = true
	})
	return nil
}

func (c *Coordinator) requestJoin(ctx context.Context, l *locator.Locator) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r := &JoinRequest{ID: c.node.ID(), Address: c.settings.Address}
	_, err := locator.Call[JoinRequest, JoinResponse](ctx, l, MethodJoin, locator.Limits{}, r)
	return err
}

// join adds a replica as a learner. MaintainMembership makes it a voter once it has caught up and a vote is free.
func (c *Coordinator) join(ctx context.Context, r *JoinRequest) (*JoinResponse, error) {
	if r.ID == 0 || !locator.ValidAddress(r.Address) {
		return nil, fmt.Errorf("add replica: %d at %q is no replica", r.ID, r.Address)
	}
	err := c.node.ChangeMembership(ctx, func(m replicator.Membership) (replicator.Membership, error) {
		if o, member := m.Member(r.ID); member && o.Address == r.Address {
			return m, errMember
		}
		next := m.WithLearner(r.ID, r.Address)
		if len(next.Members) > maxMembers {
			return m, errTooManyMembers
		}
		return next, nil
	})
	switch {
	case err == nil:
		c.log.Log(logger.MemberAdded, logger.F("address", r.Address), logger.F("replica", uint64(r.ID)))
	case errors.Is(err, errMember):
	case errors.Is(err, replicator.ErrNotLeader):
		return &JoinResponse{c.notLeader()}, nil
	default:
		return nil, fmt.Errorf("add replica: %w", err)
	}
	return &JoinResponse{c.reply()}, nil
}

var (
	errMember         = errors.New("already a member")
	errTooManyMembers = errors.New("there are too many members; silent learners are removed first")
)
