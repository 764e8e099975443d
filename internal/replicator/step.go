package replicator

import (
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Step processes one message from another replica. It returns false if it ignores the message because no replica that
// works sends such a one.
func (c *Core) Step(now timekeeper.Millis, m Message) bool {
	c.now = max(c.now, now)
	if m.To != c.id {
		return true // addressed to an earlier identity of this data folder
	}
	if !c.plausible(m) {
		return false
	}
	c.step(m)
	return true
}

func (c *Core) step(m Message) {
	if m.Kind == VoteRequest || m.Kind == PreVoteRequest {
		c.stepVoteRequest(m)
		return
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return
	}
	if m.Term > c.term && m.Kind != PreVoteResponse {
		c.becomeFollower(m.Term, 0)
	}
	switch m.Kind {
	case AppendRequest:
		c.followLeader(m.From)
		c.stepAppend(m)
	case SnapshotRequest:
		c.followLeader(m.From)
		c.stepSnapshot(m)
	case AppendResponse:
		c.stepAppendResponse(m)
	case PreVoteResponse:
		c.stepVoteResponse(m, PreCandidate)
	case VoteResponse:
		c.stepVoteResponse(m, Candidate)
	case TimeoutNow:
		if c.log.membership().IsVoter(c.id) {
			c.campaign(Candidate, true)
		}
	}
}

// rejectStaleTerm sends a deposed leader the current term.
func (c *Core) rejectStaleTerm(m Message) {
	if m.Kind == AppendRequest || m.Kind == SnapshotRequest {
		c.send(Message{Kind: AppendResponse, To: m.From, Reject: true, Index: m.Index, RejectHint: c.log.last()})
	}
}

func (c *Core) followLeader(leader ReplicaID) {
	c.endStart()
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.lastLeaderContact = c.now
	c.resetElectionTimeout()
}

// stepVoteRequest ignores the request while this replica is the leader or has heard from one within the election
// timeout, unless that leader is transferring leadership.
func (c *Core) stepVoteRequest(m Message) {
	leaderActive := c.role == Leader || c.leader != 0 && c.now-c.lastLeaderContact < c.timing.ElectionTimeout
	if leaderActive && !m.LeaderTransfer {
		return
	}
	upToDate := m.LogTerm > c.log.lastTerm() || m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last()
	if m.Kind == PreVoteRequest {
		if upToDate && m.Term > c.term {
			c.send(Message{Kind: PreVoteResponse, To: m.From, Term: m.Term})
			return
		}
		c.send(Message{Kind: PreVoteResponse, To: m.From, Reject: true})
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, 0)
	}
	grant := m.Term == c.term && upToDate && (c.vote == 0 || c.vote == m.From)
	if grant {
		c.vote, c.starting = m.From, false
		c.resetElectionTimeout()
	}
	c.send(Message{Kind: VoteResponse, To: m.From, Reject: !grant})
}

func (c *Core) stepVoteResponse(m Message, expected Role) {
	if c.role != expected {
		return
	}
	if _, answered := c.votes[m.From]; m.Reject && !answered {
		c.votes[m.From] = false
	}
	if expected == PreCandidate && m.Reject && m.Term > c.term {
		c.becomeFollower(m.Term, 0) // the other replica has a higher term; the next campaign starts from it
		return
	}
	if expected == PreCandidate && m.Term != c.term+1 {
		return
	}
	if !m.Reject {
		c.votes[m.From] = true
		c.countVotes(false)
	}
}

func (c *Core) stepAppend(m Message) {
	if m.Index < c.commit {
		c.acceptAppend(m, c.commit)
		return
	}
	term, ok := c.log.term(m.Index)
	if !ok || term != m.LogTerm {
		hint := c.log.last()
		if ok {
			hint = c.log.lastIndexBeforeTermOf(m.Index)
		}
		c.send(Message{Kind: AppendResponse, To: m.From, Reject: true, Index: m.Index, RejectHint: max(hint, c.commit), ReadRound: m.ReadRound})
		return
	}
	matched := m.Index
	for _, e := range m.Entries {
		if t, ok := c.log.term(e.Index); !ok || t != e.Term {
			c.log.append(e)
			c.persisting = min(c.persisting, e.Index-1)
			c.durableIndex = min(c.durableIndex, e.Index-1)
		}
		matched = e.Index
	}
	c.acceptAppend(m, matched)
}

func (c *Core) acceptAppend(m Message, matched uint64) {
	c.commit = max(c.commit, min(m.Commit, matched))
	c.send(Message{Kind: AppendResponse, To: m.From, Index: matched, ReadRound: m.ReadRound})
}

func (c *Core) stepAppendResponse(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastResponse = c.now
	if m.ReadRound > p.ackedRound {
		p.ackedRound = m.ReadRound
		c.confirmReads()
	}
	if m.Reject {
		c.stepAppendReject(p, m)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.nextSnapshot = 0
		c.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	if c.transferee == m.From {
		c.finishTransfer()
	}
	if p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
}

// stepAppendReject moves next back to where the follower's log may match. It ignores a stale rejection, at an index
// that is known to match.
func (c *Core) stepAppendReject(p *progress, m Message) {
	if m.Index <= p.match {
		return
	}
	next := max(min(m.Index, m.RejectHint+1), p.match+1)
	if next >= p.next && m.Index != c.log.last()+1 {
		return
	}
	p.next = next
	if _, ok := c.log.term(p.next - 1); ok || c.now >= p.nextSnapshot {
		c.sendAppend(m.From)
	}
}

func (c *Core) stepSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || s.Index <= c.commit {
		c.send(Message{Kind: AppendResponse, To: m.From, Index: c.commit})
		return
	}
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		// The log already contains everything in the snapshot. Later entries may have been acknowledged and must be kept.
		c.commit = s.Index
		c.send(Message{Kind: AppendResponse, To: m.From, Index: s.Index})
		return
	}
	members, err := decodeMembership(s.Members)
	if err != nil {
		return
	}
	c.log.reset(*s, members)
	c.commit, c.applying, c.durableIndex, c.persisting = s.Index, s.Index, s.Index, s.Index
	c.receivedSnapshot = s
	c.send(Message{Kind: AppendResponse, To: m.From, Index: s.Index})
}

// attachSnapshot returns the SnapshotRequest m, which Core sends without a snapshot, with the snapshot s.
func attachSnapshot(m Message, s journaler.Snapshot) Message {
	m.Snapshot = &s
	return m
}
