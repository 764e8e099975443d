package replicator

import "github.com/lagoonmill/lagoonmill/internal/logger"

// Campaign is an election, or the question whether one would succeed, that ended without a majority.
type Campaign struct {
	Role       Role   // PreCandidate or Candidate
	Term       uint64 // that the replica stood for
	Granted    []ReplicaID
	Refused    []ReplicaID
	Unanswered []ReplicaID
}

// endCampaign records the campaign of this replica, if there is one that has not been won.
func (c *Core) endCampaign() {
	members := c.log.membership()
	if c.role != PreCandidate && c.role != Candidate || members.quorum(func(id ReplicaID) bool { return c.votes[id] }) {
		return
	}
	failed := &Campaign{Role: c.role, Term: c.term}
	if c.role == PreCandidate {
		failed.Term++
	}
	for _, o := range members.Members {
		granted, answered := c.votes[o.ID]
		switch {
		case !o.Voter:
		case granted:
			failed.Granted = append(failed.Granted, o.ID)
		case answered:
			failed.Refused = append(failed.Refused, o.ID)
		default:
			failed.Unanswered = append(failed.Unanswered, o.ID)
		}
	}
	c.failedCampaign = failed
}

// TakeFailedCampaign returns the last campaign without a majority, or nil if none has ended since the last call.
func (c *Core) TakeFailedCampaign() *Campaign {
	failed := c.failedCampaign
	c.failedCampaign = nil
	return failed
}

// reportCampaign logs a campaign without a majority.
func (n *Node) reportCampaign() {
	failed := n.core.TakeFailedCampaign()
	if failed == nil {
		return
	}
	n.campaigns.Log(n.log, logger.ElectionLost, logger.F("role", failed.Role.String()), logger.F("term", failed.Term),
		logger.F("granted", n.addresses(failed.Granted)), logger.F("refused", n.addresses(failed.Refused)),
		logger.F("unanswered", n.addresses(failed.Unanswered)))
}

func (n *Node) addresses(ids []ReplicaID) []string {
	addresses := []string{}
	for _, id := range ids {
		member, _ := n.core.Status().Members.Member(id)
		addresses = append(addresses, member.Address)
	}
	return addresses
}
