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

// disk is the state of a simulated replica that survives a crash.
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

// host is a simulated host that runs one replica. If its disk is lost, the replica on it gets a new identity.
type host struct {
	address     string
	id          ReplicaID
	disk        *disk
	core        *Core // nil while the process is down
	frozen      bool
	applied     map[uint64]uint64 // index to command, since the last restart or snapshot
	lastApplied uint64
	proposals   map[uint64]*operation // proposals of this process, by index
	reads       map[uint64]*operation
	lastReadID  uint64
}

// operation is a client's command or read, with its position in the global order of client events.
type operation struct {
	command   uint64 // 0 for a read
	term      uint64
	invokedAt int
	ackedAt   int // 0 until acknowledged
	index     uint64
}

// driverFault is a deliberate fault of the driver that the checks must detect.
type driverFault uint8

const (
	noFault            driverFault = iota
	losesHardState                 // the hard state is never persisted
	sendsBeforePersist             // messages are sent before entries are on disk
	reusesIdentity                 // a replica that lost its disk keeps its old identity
)

// failureReporter is the part of a test to which a simulation reports failures.
type failureReporter interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// simulation is a simulated cluster: hosts, messages in flight, and the history of client operations.
type simulation struct {
	failf           func(format string, args ...any)
	logf            func(format string, args ...any)
	driverFault     driverFault
	rng             *rand.Rand
	now             timekeeper.Millis
	hosts           []*host
	inFlight        []Message
	blockedLinks    map[[2]ReplicaID]bool
	eventCount      int // number of client events so far
	lastCommand     uint64
	ops             []*operation
	leaderByTerm    map[uint64]ReplicaID // first leader seen in each term
	committed       map[uint64]uint64    // index to command, as first applied on any host
	nextID          ReplicaID
	lostIDs         map[ReplicaID]bool // identities whose disk is lost
	crashesDisabled bool               // no more crashes
}

func newSimulation(t failureReporter, n int, seed uint64, fault driverFault) *simulation {
	sim := &simulation{
		failf: t.Fatalf, logf: t.Logf, driverFault: fault, rng: rand.New(rand.NewPCG(seed, 7)), blockedLinks: map[[2]ReplicaID]bool{}, leaderByTerm: map[uint64]ReplicaID{},
		committed: map[uint64]uint64{}, lostIDs: map[ReplicaID]bool{}, now: 1000,
	}
	for i := range n {
		sim.nextID++
		h := &host{address: fmt.Sprint("h", i), id: sim.nextID, disk: &disk{}}
		sim.hosts = append(sim.hosts, h)
		sim.restart(h)
	}
	var members Membership
	for _, h := range sim.hosts {
		members = members.WithMember(Member{ID: h.id, Address: h.address, Voter: true})
	}
	// All hosts start with the same first entry, as if they had joined one by one before the simulation.
	first := journaler.Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: members.encode()}
	for _, h := range sim.hosts {
		h.disk.state = journaler.HardState{Term: 1}
		h.disk.entries = []journaler.Entry{first}
		sim.restart(h)
	}
	return sim
}

// restart starts the replica of a host with the state on its disk.
func (sim *simulation) restart(h *host) {
	core, err := restoreCore(h.id, Timing{}, sim.rng.Uint64(), h.disk.state, h.disk.snapshot, h.disk.entries, sim.now)
	if err != nil {
		sim.failf("restore: %v", err)
	}
	h.core, h.frozen = core, false
	h.applied, h.lastApplied = map[uint64]uint64{}, h.disk.snapshot.Index
	h.proposals, h.reads = map[uint64]*operation{}, map[uint64]*operation{}
}

func (h *host) up() bool { return h.core != nil && !h.frozen }

// processReady does a host's ready work as Node does. The host crashes before it persists entries if crashAt is 1, and
// after it if crashAt is 2.
func (sim *simulation) processReady(h *host, crashAt int) {
	for h.core != nil && !h.core.Idle() {
		r := h.core.Ready()
		sim.send(h, r.Eager)
		if sim.driverFault == sendsBeforePersist {
			sim.send(h, r.Messages)
			r.Messages = nil
		}
		if crashAt == 1 {
			h.core = nil
			return
		}
		if sim.driverFault == losesHardState {
			r.State = h.disk.state
		}
		h.disk.save(r)
		if r.Snapshot != nil {
			h.lastApplied = r.Snapshot.Index
		}
		if len(r.Entries) > 0 {
			h.core.Persisted(r.Entries[len(r.Entries)-1].Index)
		}
		if crashAt == 2 {
			h.core = nil
			return
		}
		sim.send(h, r.Messages)
		sim.apply(h, r.Committed)
		for _, read := range r.Reads {
			sim.finishRead(h, read)
		}
	}
	if h.core != nil {
		sim.checkLeader(h)
	}
}

func (sim *simulation) send(h *host, messages []Message) {
	for _, m := range messages {
		if m.Kind == SnapshotRequest && m.Snapshot == nil {
			m = attachSnapshot(m, h.disk.snapshot)
		}
		sim.inFlight = append(sim.inFlight, m)
	}
}

func (sim *simulation) apply(h *host, entries []journaler.Entry) {
	for _, e := range entries {
		if e.Index != h.lastApplied+1 {
			sim.failf("host %s applies index %d after index %d", h.address, e.Index, h.lastApplied)
		}
		h.lastApplied = e.Index
		command := uint64(0)
		if e.Kind == EntryCommand {
			command = binary.BigEndian.Uint64(e.Data)
		}
		if first, ok := sim.committed[e.Index]; ok && first != command {
			sim.failf("index %d holds command %d on host %s and command %d on another host", e.Index, command, h.address, first)
		}
		sim.committed[e.Index] = command
		if op := h.proposals[e.Index]; op != nil {
			delete(h.proposals, e.Index)
			if op.term == e.Term {
				sim.eventCount++
				op.ackedAt, op.index = sim.eventCount, e.Index
			}
		}
	}
}

func (sim *simulation) finishRead(h *host, r ReadResult) {
	op := h.reads[r.ID]
	delete(h.reads, r.ID)
	if r.Err != nil {
		return
	}
	sim.eventCount++
	op.ackedAt, op.index = sim.eventCount, r.Index
}

func (sim *simulation) checkLeader(h *host) {
	s := h.core.Status()
	if s.Role != Leader {
		return
	}
	if other, ok := sim.leaderByTerm[s.Term]; ok && other != h.id {
		sim.failf("replicas %d and %d are both leaders of term %d", other, h.id, s.Term)
	}
	sim.leaderByTerm[s.Term] = h.id
}

func (sim *simulation) hostByID(id ReplicaID) *host {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver picks a random message in flight and delivers it, delivers it and keeps it in flight, or loses it.
func (sim *simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.inFlight))
	m := sim.inFlight[i]
	if sim.rng.IntN(20) > 0 {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
	h := sim.hostByID(m.To)
	if sim.blockedLinks[[2]ReplicaID{m.From, m.To}] || sim.rng.IntN(50) == 0 || h == nil || !h.up() {
		return
	}
	h.core.Step(sim.now, m)
	sim.processReady(h, sim.randomCrashPoint())
}

// randomCrashPoint returns a crash point for processReady, or, mostly, 0 for no crash.
func (sim *simulation) randomCrashPoint() int {
	if !sim.crashesDisabled && sim.rng.IntN(400) == 0 {
		return 1 + sim.rng.IntN(2)
	}
	return 0
}

func (sim *simulation) tick() {
	sim.now += timekeeper.Millis(sim.rng.IntN(30))
	for _, h := range sim.hosts {
		if h.up() {
			h.core.Tick(sim.now)
			sim.processReady(h, 0)
		}
	}
	const maxFlying = 300
	if len(sim.inFlight) > maxFlying {
		sim.inFlight = sim.inFlight[len(sim.inFlight)-maxFlying:]
	}
}

func (sim *simulation) propose() {
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	if !h.up() {
		return
	}
	sim.eventCount++
	if sim.rng.IntN(3) == 0 {
		h.lastReadID++
		if h.core.Read(h.lastReadID) == nil {
			op := &operation{invokedAt: sim.eventCount}
			h.reads[h.lastReadID] = op
			sim.ops = append(sim.ops, op)
		}
		sim.processReady(h, 0)
		return
	}
	command := sim.lastCommand + 1
	index, term, err := h.core.Propose(EntryCommand, binary.BigEndian.AppendUint64(nil, command))
	if err != nil {
		return
	}
	sim.lastCommand = command
	op := &operation{command: command, term: term, invokedAt: sim.eventCount}
	h.proposals[index] = op
	sim.ops = append(sim.ops, op)
	h.core.Flush()
	sim.processReady(h, sim.randomCrashPoint())
}

// takeSnapshot compacts a host's log as Node does.
func (sim *simulation) takeSnapshot() {
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	if !h.up() || h.lastApplied <= h.disk.snapshot.Index {
		return
	}
	term, _ := h.core.log.term(h.lastApplied)
	s := journaler.Snapshot{Index: h.lastApplied, Term: term, Members: h.core.log.membershipAt(h.lastApplied).encode()}
	h.disk.snapshot = s
	h.disk.entries = slices.DeleteFunc(slices.Clone(h.disk.entries), func(e journaler.Entry) bool { return e.Index <= s.Index })
	h.core.Compact(s.Index)
}

// repairMembership lets the leader add new replicas as learners and promote those that have caught up, as the
// controller does.
func (sim *simulation) repairMembership() {
	for _, h := range sim.hosts {
		if !h.up() || h.core.Status().Role != Leader {
			continue
		}
		members := h.core.Status().Members
		for _, o := range sim.hosts {
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
		sim.processReady(h, 0)
	}
}

// canLoseDisk reports whether victim's disk may be lost: in every membership on the other disks, the voters with lost
// disks must remain a minority.
func (sim *simulation) canLoseDisk(victim *host) bool {
	for _, h := range sim.hosts {
		core, err := restoreCore(h.id, Timing{}, 1, h.disk.state, h.disk.snapshot, h.disk.entries, sim.now)
		if err != nil || h == victim {
			continue
		}
		for _, m := range core.log.memberships {
			lostVoters := 0
			for _, o := range m.value.Members {
				if o.Voter && (sim.lostIDs[o.ID] || o.ID == victim.id) {
					lostVoters++
				}
			}
			if m.index > h.disk.snapshot.Index || m.index == core.log.membershipIndex() {
				if lostVoters > (m.value.Voters()-1)/2 {
					return false
				}
			}
		}
	}
	return true
}

func (sim *simulation) loseDisk(h *host) {
	if !sim.canLoseDisk(h) {
		return
	}
	h.disk = &disk{}
	if sim.driverFault != reusesIdentity {
		sim.lostIDs[h.id] = true
		sim.nextID++
		h.id = sim.nextID
	}
	sim.restart(h)
}

// injectFault injects or ends a failure of the given kind.
func (sim *simulation) injectFault(kind int) {
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	o := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	switch kind {
	case 0:
		h.core = nil
	case 1:
		if h.core == nil {
			sim.restart(h)
		}
	case 2:
		sim.blockedLinks[[2]ReplicaID{h.id, o.id}] = true
	case 3:
		sim.blockedLinks[[2]ReplicaID{h.id, o.id}], sim.blockedLinks[[2]ReplicaID{o.id, h.id}] = true, true
	case 4:
		sim.blockedLinks = map[[2]ReplicaID]bool{}
	case 5:
		h.frozen = h.core != nil
	case 6:
		h.frozen = false
	case 7:
		sim.loseDisk(h)
	case 8:
		sim.now += 3000
	case 9:
		sim.blockedLinks = map[[2]ReplicaID]bool{}
	}
}

// faultKinds is the number of kinds that injectFault handles, plus one for a phase without a new fault.
const faultKinds = 11

// heal ends all failures and runs the cluster until it has recovered.
func (sim *simulation) heal() {
	sim.crashesDisabled = true
	sim.blockedLinks = map[[2]ReplicaID]bool{}
	for _, h := range sim.hosts {
		if h.core == nil {
			sim.restart(h)
		}
		h.frozen = false
	}
	for range 6000 {
		sim.tick()
		for range 6 {
			sim.deliver()
		}
		sim.repairMembership()
		if sim.recovered() {
			return
		}
		if sim.rng.IntN(20) == 0 {
			sim.propose()
		}
	}
	for _, h := range sim.hosts {
		if h.core != nil {
			sim.logf("host %s id %d: %+v applied %d promotable %v", h.address, h.id, h.core.Status(), h.lastApplied, h.core.Promotable())
		}
	}
	sim.failf("%s", livenessFailure)
}

// recovered reports whether all hosts are voters, know a leader and have applied every acknowledged operation.
func (sim *simulation) recovered() bool {
	acked := uint64(0)
	for _, op := range sim.ops {
		if op.ackedAt > 0 {
			acked = max(acked, op.index)
		}
	}
	for _, h := range sim.hosts {
		if h.core == nil || h.lastApplied < acked || !h.core.Status().Members.IsVoter(h.id) || h.core.Status().Leader == 0 {
			return false
		}
	}
	return true
}

// checkHistory checks that the history of client operations is linearizable in log order: an operation invoked after
// another was acknowledged follows it in the log, and an acknowledged command is in the log once, at its index.
func (sim *simulation) checkHistory() {
	seen := map[uint64]uint64{}
	for index, command := range sim.committed {
		if command == 0 {
			continue
		}
		if other, twice := seen[command]; twice {
			sim.failf("command %d is at index %d and at index %d", command, other, index)
		}
		seen[command] = index
	}
	for _, op := range sim.ops {
		if op.ackedAt > 0 && op.command > 0 && sim.committed[op.index] != op.command {
			sim.failf("acknowledged command %d is not at its index %d", op.command, op.index)
		}
		for _, earlier := range sim.ops {
			if earlier.ackedAt == 0 || op.ackedAt == 0 || earlier.ackedAt > op.invokedAt {
				continue
			}
			if op.index < earlier.index || op.index == earlier.index && op.command > 0 {
				sim.failf("operation %+v was invoked after %+v was acknowledged, but precedes it in the log", *op, *earlier)
			}
		}
	}
}

// run runs a whole schedule: phases with at most one new fault each, then recovery, then the checks.
func (sim *simulation) run(phases int) {
	for range phases {
		sim.injectFault(sim.rng.IntN(faultKinds))
		for range 20 + sim.rng.IntN(300) {
			sim.step()
		}
	}
	sim.heal()
	sim.checkHistory()
}

// TestSimulatedFailures runs replicas through random schedules of crashes, blocked links, frozen processes, clock
// jumps, lost disks, and lost, duplicated and reordered messages.
func TestSimulatedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts")
		sim := newSimulation(t, hosts, rapid.Uint64().Draw(t, "seed"), noFault)
		sim.run(rapid.IntRange(10, 40).Draw(t, "phases"))
	})
}

// livenessFailure reports a violation of liveness. A faulty driver must be detected by a violation of safety.
const livenessFailure = "the cluster did not recover after all failures ended"

// violation is the value that a simulation panics with when the test expects a failure.
type violation string

type expectFailure struct{}

func (expectFailure) Fatalf(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

func (expectFailure) Logf(string, ...any) {}

// TestChecksDetectFaultyDrivers checks that the simulation detects each driver fault within maxSeeds seeds.
func TestChecksDetectFaultyDrivers(t *testing.T) {
	const maxSeeds = 3000
	for name, fault := range map[string]driverFault{
		"loses-hard-state": losesHardState, "sends-before-persist": sendsBeforePersist, "reuses-identity": reusesIdentity,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				if found := findViolation(seed, fault); found != "" && found != livenessFailure {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Errorf("no violation in %d seeds", maxSeeds)
		})
	}
}

func findViolation(seed uint64, fault driverFault) (found violation) {
	defer func() {
		if v, ok := recover().(violation); ok {
			found = v
		}
	}()
	newSimulation(expectFailure{}, 3, seed, fault).run(40)
	return ""
}

func (sim *simulation) step() {
	switch sim.rng.IntN(12) {
	case 0, 1, 2:
		sim.tick()
	case 3, 4:
		sim.propose()
	case 5:
		sim.takeSnapshot()
	case 6:
		sim.repairMembership()
	default:
		sim.deliver()
	}
}
