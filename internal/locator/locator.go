package locator

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// maxMembers bounds the number of addresses learnt from replicas: several generations of a membership. Older addresses
// are dropped.
const maxMembers = 32

// ReplicaStatus is what a replica reports about itself and the other replicas.
type ReplicaStatus struct {
	NotLeader bool     `cbor:"1,keyasint,omitempty"`
	Leader    string   `cbor:"2,keyasint,omitempty"` // address of the leader; empty if unknown
	Members   []string `cbor:"3,keyasint,omitempty"` // addresses of all members; a leader omits them from most replies
	Uncertain bool     `cbor:"4,keyasint,omitempty"` // the call may still be carried out
	Term      uint64   `cbor:"5,keyasint,omitempty"` // of the leader; a report of an earlier term is stale
	Revision  uint64   `cbor:"6,keyasint,omitempty"` // of the membership; it grows with each change
	Undecided bool     `cbor:"7,keyasint,omitempty"` // the leader would refuse the call, but an earlier attempt of it may have been taken
}

// Response is a response of a control replica.
type Response interface {
	// ReplicaStatus returns the status of the replica that answered.
	ReplicaStatus() ReplicaStatus
}

// Locator tracks the leader and holds the connections to control replicas. It is safe for concurrent use; mu guards the
// fields below it.
type Locator struct {
	log   logger.Logger
	clock timekeeper.Monotonic

	mu             sync.Mutex
	seeds          []string // addresses from the settings
	members        []string // addresses that replicas reported, the latest first
	conns          map[string]*connection
	leader         string
	term           uint64 // of leader
	revision       uint64 // of the newest membership in members
	newestRevision uint64 // of the newest membership that a replica reported
	nextAddress    int
	lastAnswer     timekeeper.Millis // when a leader last answered
	lostSince      timekeeper.Millis // when a call first failed to reach a leader since one answered; zero if none has
	lossLogged     bool              // the loss of the leader was logged
}

// New returns a locator that starts with the given addresses.
func New(seeds []string, log logger.Logger) *Locator {
	return &Locator{log: log, seeds: slices.Clone(seeds), conns: map[string]*connection{}}
}

// Close closes all connections.
func (l *Locator) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, c := range l.conns {
		_ = c.conn.Close()
		delete(l.conns, address)
	}
}

// SetSeeds replaces the addresses from the settings. Addresses that replicas reported are kept.
func (l *Locator) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(seeds)
}

// Seeds returns the addresses from the settings.
func (l *Locator) Seeds() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.seeds)
}

// Status returns what this process knows of the replicas, to be passed on to other processes.
func (l *Locator) Status() ReplicaStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ReplicaStatus{NotLeader: true, Leader: l.leader, Members: slices.Clone(l.members), Term: l.term, Revision: l.revision}
}

// LeaderAnsweredWithin reports whether a leader has answered within the last span.
func (l *Locator) LeaderAnsweredWithin(span timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAnswer > 0 && l.clock.Now()-l.lastAnswer <= span
}

// MembersOutdated reports whether a replica has reported a newer membership than the one whose addresses are known.
func (l *Locator) MembersOutdated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestRevision > l.revision
}

// target returns the address to call: the last known leader, else each known address in turn.
func (l *Locator) target() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	if len(l.seeds)+len(l.members) == 0 {
		return ""
	}
	l.nextAddress++
	i := l.nextAddress % (len(l.seeds) + len(l.members))
	if i < len(l.seeds) {
		return l.seeds[i]
	}
	return l.members[i-len(l.seeds)]
}

// recordFailure notes that a call to address failed, so that it no longer counts as the leader. If the call timed out,
// it closes the connection that the call used, which may never work again.
func (l *Locator) recordFailure(address string, used *connection, timedOut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
	l.markLost()
	if timedOut && used != nil && l.conns[address] == used {
		l.drop(address)
	}
}

// recordStatus updates the leader and the members from the status that a replica returned.
func (l *Locator) recordStatus(address string, s ReplicaStatus) {
	if s.NotLeader {
		l.Update(s)
		l.recordNotLeader(address)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeMembers(s)
	if l.lossLogged || l.lastAnswer == 0 {
		l.log.Log(logger.LeaderFound, logger.F("address", address), logger.F("term", s.Term))
	}
	l.term, l.leader, l.lastAnswer, l.lostSince, l.lossLogged = s.Term, address, l.clock.Now(), 0, false
}

// recordNotLeader notes that the replica at address has answered that it does not lead.
func (l *Locator) recordNotLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
	l.markLost()
}

// markLost notes that no leader was found. The caller holds mu.
func (l *Locator) markLost() {
	if l.lostSince == 0 {
		l.lostSince = l.clock.Now()
	}
}

// Update merges a status that any process reports. It ignores the leader of an earlier term, and addresses that none can
// have.
func (l *Locator) Update(s ReplicaStatus) {
	s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(address string) bool { return !ValidAddress(address) })
	if !ValidAddress(s.Leader) {
		s.Leader = ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeMembers(s)
	if s.Term < l.term || s.Term == l.term && s.Leader == "" {
		return
	}
	l.term, l.leader = s.Term, s.Leader
}

// mergeMembers adds the reported member addresses, those of the newest membership first. The caller holds mu.
func (l *Locator) mergeMembers(s ReplicaStatus) {
	l.newestRevision = max(l.newestRevision, s.Revision)
	if len(s.Members) == 0 {
		return
	}
	if s.Revision < l.revision {
		l.members = mergeAddresses(l.members, s.Members)
		return
	}
	l.revision = s.Revision
	l.members = mergeAddresses(s.Members, l.members)
}

// mergeAddresses returns the addresses of both lists without duplicates, cut to the first maxMembers.
func mergeAddresses(first, second []string) []string {
	list := slices.Clone(first)
	for _, address := range second {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list[:min(len(list), maxMembers)]
}

const maxAddressBytes = 255

// ValidAddress reports whether address may be that of a replica: a host name or IP address, with a port from 1 to 65535
// if it has one.
func ValidAddress(address string) bool {
	if address == "" || len(address) > maxAddressBytes || strings.ContainsFunc(address, isOddInAddress) {
		return false
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return !strings.Contains(address, ":")
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func isOddInAddress(r rune) bool {
	return r <= ' ' || r > '~' || strings.ContainsRune(`%/?#@\"`, r)
}

func (l *Locator) logLoss() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lossLogged && l.lastAnswer > 0 && l.clock.Now()-l.lastAnswer > timekeeper.FromDuration(AttemptTimeout) {
		l.lossLogged = true
		l.log.Log(logger.LeaderLost, logger.F("silence", l.clock.Now()-l.lastAnswer))
	}
}
