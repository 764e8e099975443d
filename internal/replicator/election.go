package replicator

import (
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

func (c *Core) resetElectionTimeout() {
	c.electionDeadline = c.now + c.timing.ElectionTimeout + timekeeper.Millis(c.rng.Int64N(int64(c.timing.ElectionTimeout)))
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
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
	c.role, c.leader = role, 0
	c.votes = map[ReplicaID]bool{c.id: true}
	term, kind := c.term+1, PreVoteRequest
	if role == Candidate {
		c.term, c.vote, kind = term, c.id, VoteRequest
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
