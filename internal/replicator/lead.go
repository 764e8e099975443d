package replicator

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

func (c *Core) tickLeader() {
	if !c.quorumActive() {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transferee != 0 && c.now >= c.transferDeadline {
		c.transferee = 0
	}
	if c.now >= c.nextHeartbeat {
		c.broadcast(true)
	}
}

func (c *Core) quorumActive() bool {
	return c.log.membership().quorum(func(id ReplicaID) bool {
		p := c.peers[id]
		return id == c.id || p != nil && c.now-p.lastResponse < c.timing.Election
	})
}

// Transfer hands leadership to the most advanced voter; proposals are refused until it ends or an election passes.
func (c *Core) Transfer() bool {
	if c.role != Leader {
		return false
	}
	var best ReplicaID
	for _, o := range c.log.membership().Members {
		p := c.peers[o.ID]
		if !o.Voter || p == nil || c.now-p.lastResponse >= c.timing.Election {
			continue
		}
		if best == 0 || p.match > c.peers[best].match {
			best = o.ID
		}
	}
	if best == 0 {
		return false
	}
	c.transferee, c.transferDeadline = best, c.now+c.timing.Election
	c.finishTransfer()
	return true
}

func (c *Core) finishTransfer() {
	p := c.peers[c.transferee]
	if p != nil && p.match == c.log.last() {
		c.send(Message{Kind: TimeoutNow, To: c.transferee})
	}
}

// Peer is what a leader knows of another member.
type Peer struct {
	Member   Member
	Silence  timekeeper.Millis // since it was last heard
	CaughtUp bool              // its log has reached the commit index
}

// Peers returns the other members as the leader knows them; a replica that does not lead knows none.
func (c *Core) Peers() []Peer {
	if c.role != Leader {
		return nil
	}
	var peers []Peer
	for _, o := range c.log.membership().Members {
		if p := c.peers[o.ID]; p != nil {
			peers = append(peers, Peer{o, c.now - p.lastResponse, p.match >= c.commit && p.match > 0})
		}
	}
	return peers
}

// Promotable returns learners whose log has reached the commit index.
func (c *Core) Promotable() []Member {
	var ready []Member
	for _, o := range c.log.membership().Members {
		p := c.peers[o.ID]
		if c.role == Leader && !o.Voter && p != nil && p.match >= c.commit && p.match > 0 {
			ready = append(ready, o)
		}
	}
	return ready
}

// syncPeers keeps one progress for each other member. A new one counts as just heard, so that a change of
// membership does not fail the quorum check at once.
func (c *Core) syncPeers() {
	members := c.log.membership()
	for _, o := range members.Members {
		if o.ID != c.id && c.peers[o.ID] == nil {
			c.peers[o.ID] = &progress{next: c.log.last() + 1, lastResponse: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := members.Member(id); !ok {
			delete(c.peers, id)
		}
	}
}

// peerIDs returns the followers in a fixed order, so that equal runs send equal messages.
func (c *Core) peerIDs() []ReplicaID {
	ids := make([]ReplicaID, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) broadcast(heartbeat bool) {
	if heartbeat {
		c.nextHeartbeat = c.now + c.timing.Heartbeat
	}
	for _, id := range c.peerIDs() {
		if heartbeat || c.peers[id].next <= c.log.last() {
			c.sendAppend(id)
		}
	}
}

func (c *Core) sendAppend(id ReplicaID) {
	p := c.peers[id]
	term, ok := c.log.term(p.next - 1)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	entries := c.log.slice(p.next-1, c.log.last(), maxAppendEntries)
	c.send(Message{Kind: AppendRequest, To: id, Index: p.next - 1, LogTerm: term, Commit: c.commit, Entries: entries, ReadRound: c.readRound})
	p.next += uint64(len(entries))
}

// sendSnapshot asks the driver for its newest snapshot; a heartbeat goes along so that the follower keeps quiet.
func (c *Core) sendSnapshot(id ReplicaID, p *progress) {
	c.send(Message{Kind: AppendRequest, To: id, Index: c.log.last() + 1, LogTerm: c.term, ReadRound: c.readRound})
	if c.now < p.nextSnapshot {
		return
	}
	p.nextSnapshot = c.now + 4*c.timing.Election
	c.send(Message{Kind: SnapshotRequest, To: id})
}

// advanceCommit commits what a majority of voters has made durable, provided that it ends in the present term.
func (c *Core) advanceCommit() {
	var durable []uint64
	for _, o := range c.log.membership().Members {
		if o.Voter {
			durable = append(durable, c.matchIndex(o.ID))
		}
	}
	slices.Sort(durable)
	index := durable[(len(durable)-1)/2]
	if term, ok := c.log.term(index); index <= c.commit || !ok || term != c.term {
		return
	}
	c.commit = index
	c.confirmReads()
}

func (c *Core) matchIndex(id ReplicaID) uint64 {
	if id == c.id {
		return c.durableIndex
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

func (c *Core) confirmReads() {
	members := c.log.membership()
	for len(c.reads) > 0 {
		r := c.reads[0]
		if !members.quorum(func(id ReplicaID) bool { return id == c.id || c.peers[id] != nil && c.peers[id].ackedRound >= r.round }) {
			return
		}
		c.readResults = append(c.readResults, ReadResult{ID: r.id, Index: r.index})
		c.reads = c.reads[1:]
	}
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.readResults = append(c.readResults, ReadResult{ID: r.id, Err: ErrNotLeader})
	}
	c.reads = nil
}
