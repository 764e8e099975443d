package replicator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// disk is what survives a crash of a simulated replica.
type disk struct {
	state    journaler.HardState
	snapshot journaler.Snapshot
	entries  []journaler.Entry
}

func (d *disk) save(r Ready) {
	if r.Snapshot != nil {
		d.snapshot, d.entries = *r.Snapshot, nil
	}
	if !r.Persist {
		return
	}
	d.state = r.State
	for _, e := range r.Entries {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(o journaler.Entry) bool { return o.Index >= e.Index })
		d.entries = append(d.entries, e)
	}
}

// host is one place at which a replica lives; its disk may be lost, which makes the replica there a new one.
type host struct {
	address string
	id      ReplicaID
	disk    *disk
	core    *Core // nil while the process is down
	frozen  bool
	applied map[uint64]uint64 // index to command, since the last restart or snapshot
	upTo    uint64
	waiting map[uint64]*operation // proposals of this process, by index
	reads   map[uint64]*operation
	readID  uint64
}

// operation is a client's command or read, with its place in the global order of events.
type operation struct {
	command uint64 // 0 for a read
	term    uint64
	invoked int
	done    int // 0 until acknowledged
	index   uint64
}

// naive names a careless driver, against which the checks are tried.
type naive uint8

const (
	careful           naive = iota
	forgetsVotes            // the hard state is not synced
	answersBeforeSync       // messages leave before entries are on disk
	keepsIdentity           // a replica with an empty disk goes on under its old identity
)

// reporter is the part of a test that a world tells its findings.
type reporter interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// world is a simulated cluster: hosts, messages on their way, and what clients were told.
type world struct {
	failf   func(format string, args ...any)
	logf    func(format string, args ...any)
	naive   naive
	rng     *rand.Rand
	now     timekeeper.Millis
	hosts   []*host
	flying  []Message
	cut     map[[2]ReplicaID]bool
	order   int // counts clients' events
	lastCmd uint64
	ops     []*operation
	leaders map[uint64]ReplicaID // by term
	chosen  map[uint64]uint64    // index to command, as first applied anywhere
	nextID  ReplicaID
	lost    map[ReplicaID]bool // identities whose disk is gone
	calmed  bool               // no more crashes
}

func newWorld(t reporter, n int, seed uint64, naive naive) *world {
	w := &world{
		failf: t.Fatalf, logf: t.Logf, naive: naive, rng: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]ReplicaID]bool{}, leaders: map[uint64]ReplicaID{},
		chosen: map[uint64]uint64{}, lost: map[ReplicaID]bool{}, now: 1000,
	}
	for i := range n {
		w.nextID++
		h := &host{address: fmt.Sprint("h", i), id: w.nextID, disk: &disk{}}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	var members Membership
	for _, h := range w.hosts {
		members = members.WithMember(Member{ID: h.id, Address: h.address, Voter: true})
	}
	// All hosts begin with the same first entry, as if joined one by one before the simulation.
	first := journaler.Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: members.encode()}
	for _, h := range w.hosts {
		h.disk.state = journaler.HardState{Term: 1}
		h.disk.entries = []journaler.Entry{first}
		w.start(h)
	}
	return w
}

// start brings up a replica with what is on its disk.
func (w *world) start(h *host) {
	core, err := restoreCore(h.id, Timing{}, w.rng.Uint64(), h.disk.state, h.disk.snapshot, h.disk.entries, w.now)
	if err != nil {
		w.failf("restore: %v", err)
	}
	h.core, h.frozen = core, false
	h.applied, h.upTo = map[uint64]uint64{}, h.disk.snapshot.Index
	h.waiting, h.reads = map[uint64]*operation{}, map[uint64]*operation{}
}

func (h *host) up() bool { return h.core != nil && !h.frozen }

// drive does a host's ready work as Node does; with crashAt it goes down at that point of it.
func (w *world) drive(h *host, crashAt int) {
	for h.core != nil && !h.core.Idle() {
		r := h.core.Ready()
		w.send(h, r.Eager)
		if w.naive == answersBeforeSync {
			w.send(h, r.Messages)
			r.Messages = nil
		}
		if crashAt == 1 {
			h.core = nil
			return
		}
		if w.naive == forgetsVotes {
			r.State = h.disk.state
		}
		h.disk.save(r)
		if r.Snapshot != nil {
			h.upTo = r.Snapshot.Index
		}
		if len(r.Entries) > 0 {
			h.core.Persisted(r.Entries[len(r.Entries)-1].Index)
		}
		if crashAt == 2 {
			h.core = nil
			return
		}
		w.send(h, r.Messages)
		w.apply(h, r.Committed)
		for _, read := range r.Reads {
			w.finishRead(h, read)
		}
	}
	if h.core != nil {
		w.checkLeader(h)
	}
}

func (w *world) send(h *host, messages []Message) {
	for _, m := range messages {
		if m.Kind == SnapshotRequest && m.Snapshot == nil {
			m = attachSnapshot(m, h.disk.snapshot)
		}
		w.flying = append(w.flying, m)
	}
}

func (w *world) apply(h *host, entries []journaler.Entry) {
	for _, e := range entries {
		if e.Index != h.upTo+1 {
			w.failf("host %s applies index %d after %d", h.address, e.Index, h.upTo)
		}
		h.upTo = e.Index
		command := uint64(0)
		if e.Kind == EntryCommand {
			command = binary.BigEndian.Uint64(e.Data)
		}
		if first, ok := w.chosen[e.Index]; ok && first != command {
			w.failf("index %d holds command %d at %s and %d elsewhere", e.Index, command, h.address, first)
		}
		w.chosen[e.Index] = command
		if op := h.waiting[e.Index]; op != nil {
			delete(h.waiting, e.Index)
			if op.term == e.Term {
				w.order++
				op.done, op.index = w.order, e.Index
			}
		}
	}
}

func (w *world) finishRead(h *host, r ReadResult) {
	op := h.reads[r.ID]
	delete(h.reads, r.ID)
	if r.Err != nil {
		return
	}
	w.order++
	op.done, op.index = w.order, r.Index
}

func (w *world) checkLeader(h *host) {
	s := h.core.Status()
	if s.Role != Leader {
		return
	}
	if other, ok := w.leaders[s.Term]; ok && other != h.id {
		w.failf("replicas %d and %d both lead term %d", other, h.id, s.Term)
	}
	w.leaders[s.Term] = h.id
}

func (w *world) hostOf(id ReplicaID) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver takes a random message: it arrives, arrives and stays for a second time, or is lost.
func (w *world) deliver() {
	if len(w.flying) == 0 {
		return
	}
	i := w.rng.IntN(len(w.flying))
	m := w.flying[i]
	if w.rng.IntN(20) > 0 {
		w.flying = slices.Delete(w.flying, i, i+1)
	}
	h := w.hostOf(m.To)
	if w.cut[[2]ReplicaID{m.From, m.To}] || w.rng.IntN(50) == 0 || h == nil || !h.up() {
		return
	}
	h.core.Step(w.now, m)
	w.drive(h, w.crashPoint())
}

// crashPoint rarely makes a host go down in the middle of its work.
func (w *world) crashPoint() int {
	if !w.calmed && w.rng.IntN(400) == 0 {
		return 1 + w.rng.IntN(2)
	}
	return 0
}

func (w *world) tick() {
	w.now += timekeeper.Millis(w.rng.IntN(30))
	for _, h := range w.hosts {
		if h.up() {
			h.core.Tick(w.now)
			w.drive(h, 0)
		}
	}
	const maxFlying = 300
	if len(w.flying) > maxFlying {
		w.flying = w.flying[len(w.flying)-maxFlying:]
	}
}

func (w *world) propose() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if !h.up() {
		return
	}
	w.order++
	if w.rng.IntN(3) == 0 {
		h.readID++
		if h.core.Read(h.readID) == nil {
			op := &operation{invoked: w.order}
			h.reads[h.readID] = op
			w.ops = append(w.ops, op)
		}
		w.drive(h, 0)
		return
	}
	command := w.lastCmd + 1
	index, term, err := h.core.Propose(EntryCommand, binary.BigEndian.AppendUint64(nil, command))
	if err != nil {
		return
	}
	w.lastCmd = command
	op := &operation{command: command, term: term, invoked: w.order}
	h.waiting[index] = op
	w.ops = append(w.ops, op)
	h.core.Flush()
	w.drive(h, w.crashPoint())
}

// snapshot compacts a host's log as Node does.
func (w *world) snapshot() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if !h.up() || h.upTo <= h.disk.snapshot.Index {
		return
	}
	term, _ := h.core.log.term(h.upTo)
	s := journaler.Snapshot{Index: h.upTo, Term: term, Members: h.core.log.membershipAt(h.upTo).encode()}
	h.disk.snapshot = s
	h.disk.entries = slices.DeleteFunc(slices.Clone(h.disk.entries), func(e journaler.Entry) bool { return e.Index <= s.Index })
	h.core.Compact(s.Index)
}

// mend lets the leader take in new replicas and promote those that have caught up, as the overseer does.
func (w *world) mend() {
	for _, h := range w.hosts {
		if !h.up() || h.core.Status().Role != Leader {
			continue
		}
		members := h.core.Status().Members
		for _, o := range w.hosts {
			if _, known := members.Member(o.id); !known && o.core != nil {
				_, _, _ = h.core.ProposeMembership(members.WithLearner(o.id, o.address))
				break
			}
		}
		if ready := h.core.Promotable(); len(ready) > 0 {
			next, _ := h.core.Status().Members.Promote(ready[0])
			_, _, _ = h.core.ProposeMembership(next)
		}
		h.core.Flush()
		w.drive(h, 0)
	}
}

// mayLose reports whether one more disk may be lost: in every membership that a living disk holds, the voters whose
// disk is gone must stay a minority.
func (w *world) mayLose(victim *host) bool {
	for _, h := range w.hosts {
		core, err := restoreCore(h.id, Timing{}, 1, h.disk.state, h.disk.snapshot, h.disk.entries, w.now)
		if err != nil || h == victim {
			continue
		}
		for _, m := range core.log.memberships {
			gone := 0
			for _, o := range m.value.Members {
				if o.Voter && (w.lost[o.ID] || o.ID == victim.id) {
					gone++
				}
			}
			if m.index > h.disk.snapshot.Index || m.index == core.log.membershipIndex() {
				if gone > (m.value.Voters()-1)/2 {
					return false
				}
			}
		}
	}
	return true
}

func (w *world) loseDisk(h *host) {
	if !w.mayLose(h) {
		return
	}
	h.disk = &disk{}
	if w.naive != keepsIdentity {
		w.lost[h.id] = true
		w.nextID++
		h.id = w.nextID
	}
	w.start(h)
}

// fault makes one failure happen, or ends one.
func (w *world) fault(kind int) {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	o := w.hosts[w.rng.IntN(len(w.hosts))]
	switch kind {
	case 0:
		h.core = nil
	case 1:
		if h.core == nil {
			w.start(h)
		}
	case 2:
		w.cut[[2]ReplicaID{h.id, o.id}] = true
	case 3:
		w.cut[[2]ReplicaID{h.id, o.id}], w.cut[[2]ReplicaID{o.id, h.id}] = true, true
	case 4:
		w.cut = map[[2]ReplicaID]bool{}
	case 5:
		h.frozen = h.core != nil
	case 6:
		h.frozen = false
	case 7:
		w.loseDisk(h)
	case 8:
		w.now += 3000
	case 9:
		w.cut = map[[2]ReplicaID]bool{}
	}
}

// faultKinds is the number of kinds that fault knows, and one for a phase without a new fault.
const faultKinds = 11

// calm ends all failures and lets the cluster work until it serves a command again.
func (w *world) calm() {
	w.calmed = true
	w.cut = map[[2]ReplicaID]bool{}
	for _, h := range w.hosts {
		if h.core == nil {
			w.start(h)
		}
		h.frozen = false
	}
	for range 6000 {
		w.tick()
		for range 6 {
			w.deliver()
		}
		w.mend()
		if w.settled() {
			return
		}
		if w.rng.IntN(20) == 0 {
			w.propose()
		}
	}
	for _, h := range w.hosts {
		if h.core != nil {
			w.logf("host %s id %d: %+v applied %d promotable %v", h.address, h.id, h.core.Status(), h.upTo, h.core.Promotable())
		}
	}
	w.failf("%s", noRecovery)
}

// settled reports whether all hosts vote, agree on one leader and hold all that was acknowledged.
func (w *world) settled() bool {
	acked := uint64(0)
	for _, op := range w.ops {
		if op.done > 0 {
			acked = max(acked, op.index)
		}
	}
	for _, h := range w.hosts {
		if h.core == nil || h.upTo < acked || !h.core.Status().Members.IsVoter(h.id) || h.core.Status().Leader == 0 {
			return false
		}
	}
	return true
}

// checkHistory checks that what clients were told is linearizable, with the log as the order: an operation that began
// after another was acknowledged comes after it, and an acknowledged command stands at its index, once.
func (w *world) checkHistory() {
	seen := map[uint64]uint64{}
	for index, command := range w.chosen {
		if command == 0 {
			continue
		}
		if other, twice := seen[command]; twice {
			w.failf("command %d stands at %d and %d", command, other, index)
		}
		seen[command] = index
	}
	for _, op := range w.ops {
		if op.done > 0 && op.command > 0 && w.chosen[op.index] != op.command {
			w.failf("acknowledged command %d is not at its index %d", op.command, op.index)
		}
		for _, earlier := range w.ops {
			if earlier.done == 0 || op.done == 0 || earlier.done > op.invoked {
				continue
			}
			if op.index < earlier.index || op.index == earlier.index && op.command > 0 {
				w.failf("operation %+v began after %+v was acknowledged, and comes before it", *op, *earlier)
			}
		}
	}
}

// run makes a whole schedule: phases with a failure each, then calm, then the checks.
func (w *world) run(phases int) {
	for range phases {
		w.fault(w.rng.IntN(faultKinds))
		for range 20 + w.rng.IntN(300) {
			w.step()
		}
	}
	w.calm()
	w.checkHistory()
}

// TestSimulatedFailures drives replicas through random schedules of kills, cuts, freezes, lost disks, and lost,
// repeated and reordered messages.
func TestSimulatedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts")
		w := newWorld(t, hosts, rapid.Uint64().Draw(t, "seed"), careful)
		w.run(rapid.IntRange(10, 40).Draw(t, "phases"))
	})
}

// noRecovery is a failure of liveness; naive drivers must be caught breaking safety.
const noRecovery = "the cluster did not recover after all failures ended"

// violation is what a world panics with where a test expects a failure.
type violation string

type expectFailure struct{}

func (expectFailure) Fatalf(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

func (expectFailure) Logf(string, ...any) {}

// TestNaiveDriversFail shows that the checks find careless drivers, within a bounded number of seeds.
func TestNaiveDriversFail(t *testing.T) {
	const maxSeeds = 3000
	for name, n := range map[string]naive{
		"forgets-votes": forgetsVotes, "answers-before-sync": answersBeforeSync, "keeps-identity": keepsIdentity,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				if found := findViolation(seed, n); found != "" && found != noRecovery {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Errorf("no violation in %d seeds", maxSeeds)
		})
	}
}

func findViolation(seed uint64, n naive) (found violation) {
	defer func() {
		if v, ok := recover().(violation); ok {
			found = v
		}
	}()
	newWorld(expectFailure{}, 3, seed, n).run(40)
	return ""
}

func (w *world) step() {
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		w.tick()
	case 3, 4:
		w.propose()
	case 5:
		w.snapshot()
	case 6:
		w.mend()
	default:
		w.deliver()
	}
}
