package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/queuer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// ErrUncertain is returned for a proposal that may or may not take effect. The caller should retry it with the same
// command ID.
var ErrUncertain = errors.New("the outcome of the proposal is unknown")

// ErrStopped is returned when the node is no longer running.
var ErrStopped = errors.New("the replica has stopped")

const (
	maxBatch             = 256
	maxPendingBytes      = 16 << 20 // of the proposals that are not yet committed; one more may exceed it
	inboxCapacity        = 4096
	inboxBytes           = 16 << 20 // of the entries and snapshots in the inbox
	tickInterval         = 30 * timekeeper.Millis(1)
	defaultSnapshotEvery = 20_000
	maxCommittedBatch    = 512
)

// StateMachine is the state that the commands of the log change. Node calls it from one goroutine, in log order.
type StateMachine interface {
	// Apply applies one command to the state and returns its result.
	Apply(index uint64, command []byte) any
	// Capture returns a function that encodes the state as of this call. The function may run on any goroutine.
	Capture() func() ([]byte, error)
	// Restore replaces the state with the encoded state after the entry at index.
	Restore(index uint64, data []byte) error
	// Check returns an error if Restore would refuse data. Any goroutine may call it.
	Check(data []byte) error
}

// Transport sends messages to other replicas. Send must not block and may drop messages.
type Transport interface {
	Send(members Membership, messages []Message)
}

type result struct {
	value any
	err   error
}

type proposal struct {
	kind   uint8
	data   []byte
	term   uint64 // in which the entry must be proposed; zero for any
	change func(Membership) (Membership, error)
	done   chan result
}

type readRequest struct {
	done chan result
}

type waiter struct {
	term uint64
	done chan result
}

type snapshotResult struct {
	snapshot journaler.Snapshot
	err      error
}

// Node runs one replica. The goroutine of Run owns the core, the journal and the state machine. Other goroutines
// communicate with it over channels and read immutable views that it publishes.
type Node struct {
	core          *Core
	journal       *journaler.Journal
	append        func(journaler.Batch) error // to the journal
	machine       StateMachine
	transport     Transport
	clock         timekeeper.Clock
	log           logger.Logger
	campaigns     logger.Throttle // bounds the lines about elections
	storage       storage
	snapshotEvery uint64 // entries between snapshots

	proposals       chan proposal
	readRequests    chan readRequest
	inbox           *queuer.Queue[Message]
	transfers       chan chan bool
	bootstraps      chan Membership
	peerRequests    chan chan []Peer
	snapshotResults chan snapshotResult
	done            chan struct{}

	waiters            map[uint64]waiter
	reads              map[uint64]chan result
	lastReadID         uint64
	applied            uint64
	snapshotIndex      uint64
	snapshotInProgress bool
	nextSnapshot       timekeeper.Millis // earliest time of the next snapshot, after one that the disk had no room for
	view               atomic.Pointer[view]
	lastTick           atomic.Int64
	refused            atomic.Uint64
	err                error
}

// NodeConfig holds the parts and settings of a node. A zero SnapshotEvery selects the default of 20,000 entries, a zero
// DiskBytes stands for a disk of unknown size.
type NodeConfig struct {
	Journal       *journaler.Journal
	Machine       StateMachine
	Transport     Transport
	Clock         timekeeper.Clock
	Timing        Timing
	Seed          uint64
	SnapshotEvery uint64
	DiskBytes     int64 // size of the journal's disk
	Log           logger.Logger
}

// NewNode returns a node that is restored from the journal, with the state machine at the newest snapshot. The caller
// starts it with Run.
func NewNode(config NodeConfig) (*Node, error) {
	j := config.Journal
	core, err := NewCore(ReplicaID(j.Identity()), config.Timing, config.Seed, j, config.Clock.Now())
	if err != nil {
		return nil, fmt.Errorf("restore replica: %w", err)
	}
	if s := j.Snapshot(); s.Index > 0 {
		if err := config.Machine.Restore(s.Index, s.Data); err != nil {
			return nil, fmt.Errorf("restore state from snapshot: %w", err)
		}
	}
	n := &Node{
		core: core, journal: j, append: j.Append, machine: config.Machine, transport: config.Transport, clock: config.Clock,
		log: config.Log, storage: newStorage(config.DiskBytes, j.Usage()),
		snapshotEvery:   config.SnapshotEvery,
		proposals:       make(chan proposal, maxBatch),
		readRequests:    make(chan readRequest, maxBatch),
		inbox:           queuer.New(inboxCapacity, inboxBytes, Message.Bytes),
		transfers:       make(chan chan bool),
		bootstraps:      make(chan Membership),
		peerRequests:    make(chan chan []Peer),
		snapshotResults: make(chan snapshotResult, 1),
		done:            make(chan struct{}),
		waiters:         map[uint64]waiter{},
		reads:           map[uint64]chan result{},
		applied:         j.Snapshot().Index,
	}
	if n.snapshotEvery == 0 {
		n.snapshotEvery = defaultSnapshotEvery
	}
	n.snapshotIndex = n.applied
	n.publish(make(chan struct{}))
	return n, nil
}

// Bootstrap makes this replica the only voter of a new log. Other replicas may join at the addresses in seats. It
// blocks until Run accepts the request or returns.
func (n *Node) Bootstrap(address string, seats []string) {
	self := Member{ID: n.ID(), Address: address, Voter: true}
	n.BootstrapWith(Membership{Members: []Member{self}, Seats: seats})
}

// BootstrapWith starts a new log whose first entry is the membership m, unless the replica already has a log. Every
// replica that may be a voter and has no log must be given the same membership. It blocks until Run accepts the request
// or returns.
func (n *Node) BootstrapWith(m Membership) {
	select {
	case n.bootstraps <- m:
	case <-n.done:
	}
}

// ID returns the ID of the replica.
func (n *Node) ID() ReplicaID { return ReplicaID(n.journal.Identity()) }

// LastTick returns the time of the last tick, by the node's clock. A node whose last tick is old may report itself as
// the leader after it has lost leadership.
func (n *Node) LastTick() timekeeper.Millis { return timekeeper.Millis(n.lastTick.Load()) }

// Done returns a channel that is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Receive queues a message from another replica. It drops the message if the queue is full, and a snapshot that cannot be
// restored, before it could replace what is on the disk.
func (n *Node) Receive(m Message) {
	if m.Kind == SnapshotRequest && m.Snapshot != nil && n.machine.Check(m.Snapshot.Data) != nil {
		n.refused.Add(1)
		return
	}
	n.inbox.Offer(m)
}

// Propose appends command to the log and returns the state machine's result once it is committed and applied. After
// ErrUncertain the command may or may not take effect; after any other error it never does.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	return n.submit(ctx, proposal{kind: EntryCommand, data: command})
}

// ProposeInTerm is like Propose, but returns ErrNotLeader unless this replica leads in the given term.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, command []byte) (any, error) {
	return n.submit(ctx, proposal{kind: EntryCommand, data: command, term: term})
}

// ChangeMembership proposes the membership that change returns for the current one, and waits until it is committed.
func (n *Node) ChangeMembership(ctx context.Context, change func(Membership) (Membership, error)) error {
	_, err := n.submit(ctx, proposal{kind: EntryMembership, change: change})
	return err
}

func (n *Node) submit(ctx context.Context, p proposal) (any, error) {
	p.done = make(chan result, 1)
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait to propose: %w", ctx.Err())
	case <-n.done:
		return nil, ErrStopped
	}
	return n.await(ctx, p.done)
}

func (n *Node) await(ctx context.Context, done <-chan result) (any, error) {
	select {
	case o := <-done:
		return o.value, o.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUncertain, ctx.Err())
	case <-n.done:
		return nil, fmt.Errorf("%w: %w", ErrUncertain, ErrStopped)
	}
}

// Read returns once a quorum has confirmed that this replica is the leader and the state machine has applied every
// entry committed before the call. It returns the confirmed commit index.
func (n *Node) Read(ctx context.Context) (uint64, error) {
	r := readRequest{done: make(chan result, 1)}
	select {
	case n.readRequests <- r:
	case <-ctx.Done():
		return 0, fmt.Errorf("wait to read: %w", ctx.Err())
	case <-n.done:
		return 0, ErrStopped
	}
	value, err := n.await(ctx, r.done)
	if err != nil {
		return 0, err
	}
	return value.(uint64), nil
}

// TransferLeadership starts a leadership transfer to another voter. It reports whether a suitable voter was found.
func (n *Node) TransferLeadership(ctx context.Context) bool {
	answer := make(chan bool, 1)
	select {
	case n.transfers <- answer:
		return <-answer
	case <-ctx.Done():
	case <-n.done:
	}
	return false
}

// Peers returns this replica's view of the other members, or nil if it is not the leader.
func (n *Node) Peers(ctx context.Context) ([]Peer, error) {
	answer := make(chan []Peer, 1)
	select {
	case n.peerRequests <- answer:
		return <-answer, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait to inspect peers: %w", ctx.Err())
	case <-n.done:
		return nil, ErrStopped
	}
}

// Run runs the replica. It returns nil when ctx is done, and an error if the journal or the state machine fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.awaitSnapshot()
	defer close(n.done)
	defer n.failAll(ErrStopped)
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		if err := n.processReady(ctx); err != nil {
			n.err = err
			return fmt.Errorf("run replica: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := n.clock.Now()
			n.core.Tick(now)
			n.lastTick.Store(int64(now))
		case m := <-n.inbox.Items():
			n.stepMessages(m)
		case p := <-n.proposals:
			n.handleProposals(p)
		case r := <-n.readRequests:
			n.handleRead(r)
		case answer := <-n.transfers:
			answer <- n.core.TransferLeadership()
		case m := <-n.bootstraps:
			n.core.Bootstrap(m)
		case answer := <-n.peerRequests:
			answer <- n.core.Peers()
		case s := <-n.snapshotResults:
			if err := n.finishSnapshot(s); err != nil {
				return fmt.Errorf("replace snapshot: %w", err)
			}
		}
	}
}

func (n *Node) stepMessages(m Message) {
	now := n.clock.Now()
	n.step(now, m)
	for range maxBatch {
		select {
		case m = <-n.inbox.Items():
			n.step(now, m)
		default:
			return
		}
	}
}

func (n *Node) step(now timekeeper.Millis, m Message) {
	n.inbox.Taken(m)
	if !n.core.Step(now, m) {
		n.refused.Add(1)
	}
}

// Refused returns the number of messages that were ignored because no replica that works sends such ones.
func (n *Node) Refused() uint64 { return n.refused.Load() }

// handleProposals appends p and a batch of the queued proposals, so that they share one disk write.
func (n *Node) handleProposals(p proposal) {
	n.propose(p)
	for range maxBatch {
		select {
		case p = <-n.proposals:
			n.propose(p)
		default:
			n.core.Flush()
			return
		}
	}
	n.core.Flush()
}

func (n *Node) propose(p proposal) {
	var index, term uint64
	var err error
	if p.term != 0 && p.term != n.core.Status().Term {
		p.done <- result{err: ErrNotLeader}
		return
	}
	switch {
	case n.core.pendingBytes() >= maxPendingBytes:
		err = ErrOverloaded
	case p.change == nil:
		index, term, err = n.core.Propose(p.kind, p.data)
	default:
		index, term, err = n.proposeMembership(p.change)
	}
	if err != nil {
		p.done <- result{err: err}
		return
	}
	n.waiters[index] = waiter{term, p.done}
}

func (n *Node) proposeMembership(change func(Membership) (Membership, error)) (index, term uint64, err error) {
	next, err := change(n.core.Status().Members)
	if err != nil {
		return 0, 0, fmt.Errorf("change membership: %w", err)
	}
	return n.core.ProposeMembership(next)
}

func (n *Node) handleRead(r readRequest) {
	n.lastReadID++
	n.reads[n.lastReadID] = r.done
	if err := n.core.Read(n.lastReadID); err != nil {
		delete(n.reads, n.lastReadID)
		r.done <- result{err: err}
	}
}

// processReady does all work that the core has ready, in the order that Ready requires.
func (n *Node) processReady(ctx context.Context) error {
	for !n.core.Idle() {
		r := n.core.Ready()
		members := n.core.Status().Members
		n.transport.Send(members, n.attachSnapshots(r.Eager))
		if err := n.persist(ctx, r); err != nil {
			return err
		}
		n.transport.Send(members, n.attachSnapshots(r.Messages))
		n.apply(r.Committed)
		n.completeReads(r.Reads)
	}
	if n.core.Status().Role != Leader {
		n.failWaiters()
	}
	n.reportCampaign()
	n.startSnapshot()
	n.publishIfChanged()
	return nil
}

func (n *Node) attachSnapshots(messages []Message) []Message {
	for i, m := range messages {
		if m.Kind == SnapshotRequest && m.Snapshot == nil {
			messages[i] = attachSnapshot(m, n.journal.Snapshot())
		}
	}
	return messages
}

func (n *Node) persist(ctx context.Context, r Ready) error {
	if r.Snapshot != nil {
		if err := n.installSnapshot(ctx, *r.Snapshot); err != nil {
			return err
		}
	}
	if !r.Persist {
		return nil
	}
	batch := journaler.Batch{State: r.State, Entries: r.Entries}
	if err := n.writeWithRetry(ctx, "append", func() error { return n.append(batch) }); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	n.storage.set(n.journal.Usage())
	if len(r.Entries) > 0 {
		n.core.Persisted(r.Entries[len(r.Entries)-1].Index)
	}
	return nil
}

func (n *Node) apply(entries []journaler.Entry) {
	for _, e := range entries {
		var value any
		if e.Kind == EntryCommand {
			value = n.machine.Apply(e.Index, e.Data)
		}
		n.applied = e.Index
		w, ok := n.waiters[e.Index]
		if !ok {
			continue
		}
		delete(n.waiters, e.Index)
		if w.term != e.Term {
			w.done <- result{err: ErrNotLeader} // another leader's entry has this index, so the proposal never takes effect
			continue
		}
		w.done <- result{value: value}
	}
}

func (n *Node) completeReads(results []ReadResult) {
	for _, r := range results {
		done, ok := n.reads[r.ID]
		if !ok {
			continue
		}
		delete(n.reads, r.ID)
		done <- result{value: r.Index, err: r.Err}
	}
}

// failWaiters answers the proposals in flight with ErrUncertain when leadership is lost: the next leader may still
// commit their entries.
func (n *Node) failWaiters() {
	for index, w := range n.waiters {
		delete(n.waiters, index)
		w.done <- result{err: ErrUncertain}
	}
}

func (n *Node) failAll(err error) {
	n.failWaiters()
	for id, done := range n.reads {
		delete(n.reads, id)
		done <- result{err: err}
	}
}
