package replicator

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors returned for proposals and reads.
var (
	ErrNotLeader     = errors.New("this replica is not the leader")
	ErrChangePending = errors.New("another membership change is in progress")
	ErrOverloaded    = errors.New("too many uncommitted proposals")
	ErrTooLarge      = errors.New("the proposal is too large for a message")
)

const (
	maxAppendEntries  = 512
	maxPendingEntries = 8192
	maxAppendBytes    = 4 << 20  // of the entries of one message, unless it holds one entry alone
	maxEntryBytes     = 15 << 20 // less than the largest message that a replica receives
)

// Timing holds the intervals of the protocol. A zero field selects the default.
type Timing struct {
	ElectionTimeout   timekeeper.Millis // minimum election timeout, default 500 ms; each timeout is random, below twice the minimum
	HeartbeatInterval timekeeper.Millis // interval between heartbeats, default 120 ms
}

// WithDefaults returns a copy of t with zero fields set to their defaults.
func (t Timing) WithDefaults() Timing {
	if t.ElectionTimeout == 0 {
		t.ElectionTimeout = 500
	}
	if t.HeartbeatInterval == 0 {
		t.HeartbeatInterval = 120
	}
	return t
}

// progress is the leader's view of one follower.
type progress struct {
	match        uint64
	next         uint64
	lastResponse timekeeper.Millis
	ackedRound   uint64
	nextSnapshot timekeeper.Millis // earliest time at which another snapshot may be sent
}

type pendingRead struct {
	round uint64
	index uint64
	id    uint64
}

// Core is the Raft state of one replica, without I/O. It is not safe for concurrent use.
//
// Invariants:
//   - The term never decreases.
//   - A replica grants at most one vote in a term.
//   - The commit index never decreases and never exceeds the last index that a quorum has made durable.
//   - Entries at or below the commit index are never replaced.
type Core struct {
	id     ReplicaID
	timing Timing
	rng    *rand.Rand
	now    timekeeper.Millis

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID
	log    entryLog
	commit uint64

	durableIndex      uint64 // last index known to be on this replica's disk
	persisting        uint64 // last index handed to the driver to persist
	applying          uint64 // last committed index handed to the driver to apply
	savedState        journaler.HardState
	receivedSnapshot  *journaler.Snapshot
	eager             []Message
	messages          []Message
	readResults       []ReadResult
	electionDeadline  timekeeper.Millis
	starting          bool // since the start, this replica has neither heard from a leader, nor stood for election, nor voted
	lastLeaderContact timekeeper.Millis
	nextHeartbeat     timekeeper.Millis
	votes             map[ReplicaID]bool // of the campaign: true for a vote granted, false for one refused
	failedCampaign    *Campaign          // the last one, until the driver has taken it
	peers             map[ReplicaID]*progress
	readRound         uint64
	reads             []pendingRead
	transferee        ReplicaID
	transferDeadline  timekeeper.Millis
}

// ReadResult is the result of the read with the given ID. If Err is nil, a state that includes the entry at Index is
// current enough for a linearizable read.
type ReadResult struct {
	ID    uint64
	Index uint64
	Err   error
}

// Ready is work for the driver, to be done in this order: send Eager, save Snapshot, persist State and Entries if
// Persist is set, send Messages, apply Committed, complete Reads.
type Ready struct {
	Eager     []Message
	Snapshot  *journaler.Snapshot
	Persist   bool
	State     journaler.HardState
	Entries   []journaler.Entry
	Messages  []Message
	Committed []journaler.Entry
	Reads     []ReadResult
}

// NewCore returns a follower with the state that j holds.
func NewCore(id ReplicaID, timing Timing, seed uint64, j *journaler.Journal, now timekeeper.Millis) (*Core, error) {
	return restoreCore(id, timing, seed, j.State(), j.Snapshot(), j.Entries(), now)
}

func restoreCore(id ReplicaID, timing Timing, seed uint64, state journaler.HardState, snap journaler.Snapshot, entries []journaler.Entry, now timekeeper.Millis) (*Core, error) {
	members, err := decodeMembership(snap.Members)
	if err != nil {
		return nil, fmt.Errorf("read snapshot membership: %w", err)
	}
	c := &Core{
		id:         id,
		timing:     timing.WithDefaults(),
		rng:        rand.New(rand.NewPCG(seed, uint64(id))),
		now:        now,
		term:       state.Term,
		vote:       ReplicaID(state.Vote),
		savedState: state,
		commit:     snap.Index,
		applying:   snap.Index,
	}
	c.log.reset(snap, members)
	for _, e := range entries {
		if e.Index > snap.Index {
			c.log.append(e)
		}
	}
	c.durableIndex, c.persisting = c.log.last(), c.log.last()
	c.lastLeaderContact, c.starting = now-c.timing.ElectionTimeout, true
	c.resetElectionTimeout()
	return c, nil
}

// Bootstrap appends the membership m as the first entry of a new log. It does nothing if the replica already has a
// log or a term.
func (c *Core) Bootstrap(m Membership) {
	if c.log.last() > 0 || c.term > 0 {
		return
	}
	c.term = 1
	c.log.append(journaler.Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: m.encode()})
}

// Status is a copy of the externally visible state of a Core.
type Status struct {
	ID              ReplicaID
	Term            uint64
	Role            Role
	Leader          ReplicaID
	CommitIndex     uint64
	LastIndex       uint64
	Members         Membership
	MembershipIndex uint64 // index of the entry that set Members
}

// Status returns the current state of the replica.
func (c *Core) Status() Status {
	return Status{c.id, c.term, c.role, c.leader, c.commit, c.log.last(), c.log.membership(), c.log.membershipIndex()}
}

// Tick advances the clock to now and starts an election or sends heartbeats when they are due.
func (c *Core) Tick(now timekeeper.Millis) {
	c.now = now
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if now >= c.electionDeadline {
		c.resetElectionTimeout()
		if c.log.membership().IsVoter(c.id) {
			c.campaign(PreCandidate, false)
		}
	}
}

// Propose appends an entry to the log and returns its index and term. It returns ErrNotLeader if this replica is not
// the leader or is transferring leadership, ErrOverloaded if too many entries are uncommitted, and ErrTooLarge for data
// that no message can hold.
func (c *Core) Propose(kind uint8, data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	if c.log.last()-c.commit >= maxPendingEntries {
		return 0, 0, ErrOverloaded
	}
	if len(data) > maxEntryBytes {
		return 0, 0, ErrTooLarge
	}
	e := journaler.Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append(e)
	return e.Index, e.Term, nil
}

// ProposeMembership appends a membership that differs from the current one in at most one voter. It returns
// ErrChangePending until the previous membership and an entry of the leader's own term are committed.
func (c *Core) ProposeMembership(m Membership) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	committedTerm, _ := c.log.term(c.commit)
	if c.log.membershipIndex() > c.commit || committedTerm != c.term {
		return 0, 0, ErrChangePending
	}
	if !m.IsVoter(c.id) {
		return 0, 0, errors.New("the leader cannot remove itself; transfer leadership first")
	}
	if voterChanges(c.log.membership(), m) > 1 {
		return 0, 0, errors.New("a membership change may add or remove only one voter")
	}
	index, term, err = c.Propose(EntryMembership, m.encode())
	c.syncPeers()
	return index, term, err
}

// pendingBytes returns the bytes of the entries that are not yet committed.
func (c *Core) pendingBytes() int {
	return entryBytes(c.log.slice(c.commit, c.log.last(), maxPendingEntries))
}

func voterChanges(a, b Membership) int {
	n := 0
	for _, o := range a.Members {
		if o.Voter && !b.IsVoter(o.ID) {
			n++
		}
	}
	for _, o := range b.Members {
		if o.Voter && !a.IsVoter(o.ID) {
			n++
		}
	}
	return n
}

// Flush sends followers the entries that have not been sent to them. The driver calls it after a batch of proposals.
func (c *Core) Flush() {
	if c.role == Leader {
		c.broadcast(false)
	}
}

// Read starts a linearizable read: the followers are asked to confirm that this replica is still the leader. The result
// appears in Ready.Reads under id. Read returns ErrNotLeader if this replica is not the leader or has not yet committed
// an entry of its own term.
func (c *Core) Read(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if t, _ := c.log.term(c.commit); t != c.term {
		return ErrNotLeader
	}
	c.readRound++
	c.reads = append(c.reads, pendingRead{c.readRound, c.commit, id})
	c.broadcast(true)
	c.confirmReads()
	return nil
}

// Compact discards entries up to index, which a durable snapshot must cover.
func (c *Core) Compact(index uint64) { c.log.compact(min(index, c.applying)) }

// Persisted records that entries up to index are on this replica's disk.
func (c *Core) Persisted(index uint64) {
	c.durableIndex = max(c.durableIndex, index)
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Ready returns the work that has accumulated since the last call.
func (c *Core) Ready() Ready {
	r := Ready{
		Eager:    c.eager,
		Messages: c.messages,
		Snapshot: c.receivedSnapshot,
		State:    journaler.HardState{Term: c.term, Vote: uint64(c.vote)},
		Entries:  c.log.slice(c.persisting, c.log.last(), int(c.log.last()-c.persisting)),
		Reads:    c.readResults,
	}
	if r.State != c.savedState {
		// A leader must not send before its vote for itself is durable. Otherwise it could crash, lose the vote and lead
		// the same term a second time.
		r.Eager, r.Messages = nil, append(r.Eager, r.Messages...)
	}
	r.Persist = r.State != c.savedState || len(r.Entries) > 0
	c.savedState = r.State
	c.eager, c.messages, c.receivedSnapshot, c.readResults = nil, nil, nil, nil
	c.persisting = c.log.last()
	if c.commit > c.applying {
		r.Committed = c.log.slice(c.applying, c.commit, int(c.commit-c.applying))
		c.applying = c.commit
	}
	return r
}

// Idle reports whether Ready would return no work.
func (c *Core) Idle() bool {
	return len(c.eager) == 0 && len(c.messages) == 0 && c.receivedSnapshot == nil && len(c.readResults) == 0 &&
		c.persisting == c.log.last() && c.commit == c.applying &&
		c.savedState == journaler.HardState{Term: c.term, Vote: uint64(c.vote)}
}

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	if m.Kind == AppendRequest || m.Kind == SnapshotRequest {
		c.eager = append(c.eager, m)
		return
	}
	c.messages = append(c.messages, m)
}
