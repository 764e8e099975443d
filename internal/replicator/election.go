package replicator

import (
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// startElectionDivisor divides the election timeout of a replica that has just started. There is no leader that it
// heard from and should wait for, and pre-votes do not disturb a leader that the others hear from.
const startElectionDivisor = 5

func (c *Core) resetElectionTimeout() {
	shortest := c.timing.ElectionTimeout
	if c.starting {
		shortest = max(shortest/startElectionDivisor, 1)
	}
	c.electionDeadline = c.now + shortest + timekeeper.Millis(c.rng.Int64N(int64(shortest)))
}

// endStart makes the replica wait for whole election timeouts: a leader is there, or votes for one are on their way,
// which take long if disks are slow.
func (c *Core) endStart() {
	if c.starting {
		c.starting = false
		c.resetElectionTimeout()
	}
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	c.endCampaign()
	if term > c.term {
		c.term, c.vote = term, 0
	}
	if c.role == Leader {
		c.failReads()
	}
	c.role, c.leader = Follower, leader
	c.transferee = 0
	c.resetElectionTimeout()
}

func (c *Core) campaign(role Role, transfer bool) {
	c.endCampaign()
	c.role, c.leader = role, 0
	c.votes = map[ReplicaID]bool{c.id: true}
	term, kind := c.term+1, PreVoteRequest
	if role == Candidate {
		c.term, c.vote, kind = term, c.id, VoteRequest
		c.endStart()
	}
	for _, o := range c.log.membership().Members {
		if o.Voter && o.ID != c.id {
			c.send(Message{Kind: kind, To: o.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), LeaderTransfer: transfer})
		}
	}
	c.countVotes(transfer)
}

func (c *Core) countVotes(transfer bool) {
	if !c.log.membership().quorum(func(id ReplicaID) bool { return c.votes[id] }) {
		return
	}
	if c.role == PreCandidate {
		c.campaign(Candidate, transfer)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.id
	c.peers = map[ReplicaID]*progress{}
	c.reads, c.transferee = nil, 0
	c.syncPeers()
	c.log.append(journaler.Entry{Index: c.log.last() + 1, Term: c.term, Kind: EntryNoop})
	c.broadcast(true)
}
