package locator

import (
	"slices"
	"sync"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// maxMembers bounds the addresses learnt from replicas: several generations of a membership. Older ones are forgotten.
const maxMembers = 32

// Standing is what a replica says of itself and of the others.
type Standing struct {
	NotLeader bool     `cbor:"1,keyasint,omitempty"`
	Leader    string   `cbor:"2,keyasint,omitempty"` // address of the leader, where it is known
	Members   []string `cbor:"3,keyasint,omitempty"` // addresses of all members; a leader leaves them out of most answers
	Uncertain bool     `cbor:"4,keyasint,omitempty"` // the call may be carried out all the same
	Term      uint64   `cbor:"5,keyasint,omitempty"` // of the leader; a hint of an earlier term is out of date
	Revision  uint64   `cbor:"6,keyasint,omitempty"` // of the membership; it grows with each change
}

// Response is an answer of a control replica.
type Response interface {
	// ReplicaStatus returns the standing of the replica that answered.
	ReplicaStatus() Standing
}

// Locator holds the connections to control replicas. It is safe for concurrent use; mu guards all fields below it.
type Locator struct {
	log   logger.Logger
	clock timekeeper.Monotonic

	mu             sync.Mutex
	seeds          []string // addresses that the settings name
	members        []string // addresses that replicas told, the last told first
	conns          map[string]*grpc.ClientConn
	leader         string
	term           uint64 // of leader
	revision       uint64 // of the newest membership that members holds
	newestRevision uint64 // of the newest membership that exists, as far as a replica told
	nextAddress    int
	lastAnswer     timekeeper.Millis // when a leader last answered
	lostSince      timekeeper.Millis // when a call first found no leader since one answered; zero while they find it
	lossLogged     bool              // no leader has answered for a while, and this was logged
}

// New returns a locator that starts with the given addresses.
func New(seeds []string, log logger.Logger) *Locator {
	return &Locator{log: log, seeds: slices.Clone(seeds), conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (l *Locator) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, conn := range l.conns {
		_ = conn.Close()
		delete(l.conns, address)
	}
}

// SetSeeds replaces the addresses that the settings name; what replicas have told stays.
func (l *Locator) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(seeds)
}

// Seeds returns the addresses that the settings name.
func (l *Locator) Seeds() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.seeds)
}

// Standing returns what is known of the replicas, for others who know less.
func (l *Locator) Standing() Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Standing{NotLeader: true, Leader: l.leader, Members: slices.Clone(l.members), Term: l.term, Revision: l.revision}
}

// HeardWithin reports whether a leader answered within the span that ends now.
func (l *Locator) HeardWithin(span timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAnswer > 0 && l.clock.Now()-l.lastAnswer <= span
}

// MembersOutdated reports whether a newer membership exists than the one whose addresses are known.
func (l *Locator) MembersOutdated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestRevision > l.revision
}

// conn returns a connection to address; it is dialled when first used.
func (l *Locator) conn(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := messenger.Dial(address)
	if err != nil {
		return nil, err
	}
	l.conns[address] = conn
	return conn, nil
}

// target returns the replica to ask: the leader last heard of, else each address in turn.
func (l *Locator) target() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	l.nextAddress++
	i := l.nextAddress % (len(l.seeds) + len(l.members))
	if i < len(l.seeds) {
		return l.seeds[i]
	}
	return l.members[i-len(l.seeds)]
}

// recordFailure drops the guess of the leader; a connection on which a call got no answer may be silent for good.
func (l *Locator) recordFailure(address string, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
	l.markLost()
	if conn := l.conns[address]; conn != nil && silent {
		_ = conn.Close()
		delete(l.conns, address)
	}
}

// recordStatus takes what a replica answered of the leader and of the members.
func (l *Locator) recordStatus(asked string, s Standing) {
	if s.NotLeader {
		l.Update(s)
		l.recordNotLeader(asked)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeMembers(s)
	if l.lossLogged || l.lastAnswer == 0 {
		l.log.Log(logger.LeaderFound, logger.F("address", asked), logger.F("term", s.Term))
	}
	l.term, l.leader, l.lastAnswer, l.lostSince, l.lossLogged = s.Term, asked, l.clock.Now(), 0, false
}

// recordNotLeader drops the guess of the leader if it is a replica that has just answered that it does not lead.
func (l *Locator) recordNotLeader(asked string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == asked {
		l.leader = ""
	}
	l.markLost()
}

// markLost notes that no leader was found; the caller holds mu.
func (l *Locator) markLost() {
	if l.lostSince == 0 {
		l.lostSince = l.clock.Now()
	}
}

// Update takes what somebody tells of the replicas. A leader of a term that is over is no news.
func (l *Locator) Update(s Standing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeMembers(s)
	if s.Term < l.term || s.Term == l.term && s.Leader == "" {
		return
	}
	l.term, l.leader = s.Term, s.Leader
}

// mergeMembers notes the addresses of members; the caller holds mu.
func (l *Locator) mergeMembers(s Standing) {
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

// mergeAddresses returns the addresses of both lists without repetitions, the first ones of those that are too many.
func mergeAddresses(first, then []string) []string {
	list := slices.Clone(first)
	for _, address := range then {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list[:min(len(list), maxMembers)]
}

func (l *Locator) logLoss() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lossLogged && l.lastAnswer > 0 && l.clock.Now()-l.lastAnswer > timekeeper.FromDuration(AttemptTimeout) {
		l.lossLogged = true
		l.log.Log(logger.LeaderLost, logger.F("silence", l.clock.Now()-l.lastAnswer))
	}
}
