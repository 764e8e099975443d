package replicator

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
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
		return id == c.id || p != nil && c.now-p.lastResponse < c.timing.ElectionTimeout
	})
}

// TransferLeadership starts a leadership transfer to the responsive voter with the highest match index. It reports
// whether there is such a voter. Propose returns ErrNotLeader until the transfer ends or the election timeout expires.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	var best ReplicaID
	for _, o := range c.log.membership().Members {
		p := c.peers[o.ID]
		if !o.Voter || p == nil || c.now-p.lastResponse >= c.timing.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > c.peers[best].match {
			best = o.ID
		}
	}
	if best == 0 {
		return false
	}
	c.transferee, c.transferDeadline = best, c.now+c.timing.ElectionTimeout
	c.finishTransfer()
	return true
}

func (c *Core) finishTransfer() {
	p := c.peers[c.transferee]
	if p != nil && p.match == c.log.last() {
		c.send(Message{Kind: TimeoutNow, To: c.transferee})
	}
}

// Peer is the leader's view of another member.
type Peer struct {
	Member       Member
	SinceContact timekeeper.Millis // time since its last response
	CaughtUp     bool              // its log has reached the commit index
}

// Peers returns the leader's view of the other members, or nil if this replica is not the leader.
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

// Promotable returns the learners whose log has reached the commit index, or nil if this replica is not the leader.
func (c *Core) Promotable() []Member {
	var learners []Member
	for _, o := range c.log.membership().Members {
		p := c.peers[o.ID]
		if c.role == Leader && !o.Voter && p != nil && p.match >= c.commit && p.match > 0 {
			learners = append(learners, o)
		}
	}
	return learners
}

// syncPeers updates peers to hold one progress for each other member. A new member counts as having just responded, so
// that a membership change does not fail the quorum check at once.
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

// peerIDs returns the IDs of the followers in ascending order, so that runs with the same seed send the same messages.
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
		c.nextHeartbeat = c.now + c.timing.HeartbeatInterval
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
	entries := firstBytes(c.log.slice(p.next-1, c.log.last(), maxAppendEntries), maxAppendBytes)
	c.send(Message{Kind: AppendRequest, To: id, Index: p.next - 1, LogTerm: term, Commit: c.commit, Entries: entries, ReadRound: c.readRound})
	p.next += uint64(len(entries))
}

// firstBytes returns the first entries whose data has at most limit bytes, or one entry if that has more.
func firstBytes(entries []journaler.Entry, limit int) []journaler.Entry {
	for i, e := range entries {
		if limit -= len(e.Data); limit < 0 && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// sendSnapshot sends a SnapshotRequest, to which the driver attaches its newest snapshot, at most once per four
// election timeouts. It always sends a heartbeat as well, so that the follower does not start an election meanwhile.
func (c *Core) sendSnapshot(id ReplicaID, p *progress) {
	c.send(Message{Kind: AppendRequest, To: id, Index: c.log.last() + 1, LogTerm: c.term, ReadRound: c.readRound})
	if c.now < p.nextSnapshot {
		return
	}
	p.nextSnapshot = c.now + 4*c.timing.ElectionTimeout
	c.send(Message{Kind: SnapshotRequest, To: id})
}

// advanceCommit advances the commit index to the last entry that a majority of voters has made durable, provided that
// the entry is of the current term.
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
