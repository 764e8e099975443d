package controller

import (
	"maps"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Liveness is what a leader knows of entries and agents since it took over. It holds no lock and reads no clock:
// its owner guards it and passes the time, from a monotonic clock.
//
// Invariant: whatever an earlier leader granted has ended by the time anything is declared lost, since silence is
// counted from the takeover at the earliest.
type Liveness struct {
	takeover   timekeeper.Millis // takeover
	entries    map[string]*entryRecord
	lastReport map[string]timekeeper.Millis // agent to when its last round was reported
}

type entryRecord struct {
	incarnation   string
	lastReport    timekeeper.Millis
	serial        uint64
	agents        map[string]string // attached agents and their incarnations
	silent        []string
	ackedRevision uint64
	stopping      bool
}

// NewLiveness returns the knowledge of a leader that takes over now.
func NewLiveness(now timekeeper.Millis) *Liveness {
	return &Liveness{takeover: now, entries: map[string]*entryRecord{}, lastReport: map[string]timekeeper.Millis{}}
}

func ownerName(entry, incarnation string) string { return entry + "/" + incarnation }

// HandleRound takes an entry's report and returns what it is granted.
func (l *Liveness) HandleRound(now timekeeper.Millis, r RoundRequest, s registrar.State) RoundResponse {
	rec := l.entries[r.Entry]
	if rec == nil || rec.incarnation != r.Incarnation {
		rec = &entryRecord{incarnation: r.Incarnation, agents: map[string]string{}}
		l.entries[r.Entry] = rec
		if !r.Whole {
			rec.lastReport = now
			return RoundResponse{Serial: r.Serial, NeedWhole: true}
		}
	}
	if r.Serial <= rec.serial {
		return RoundResponse{Serial: r.Serial, NeedWhole: true} // late or twice: it may undo a newer report
	}
	if !r.Whole && r.Serial != rec.serial+1 {
		return RoundResponse{Serial: r.Serial, NeedWhole: true}
	}
	rec.update(now, r)
	for id := range rec.agents {
		if !slices.Contains(rec.silent, id) {
			l.lastReport[id] = now
		}
	}
	return RoundResponse{Serial: r.Serial, Suspects: l.suspects(now, s), InForce: s.InForce}
}

// AgentAttached counts an agent as heard that is being announced: its entry reports it with the next round only.
func (l *Liveness) AgentAttached(now timekeeper.Millis, agent string) { l.lastReport[agent] = now }

func (rec *entryRecord) update(now timekeeper.Millis, r RoundRequest) {
	rec.lastReport, rec.serial, rec.ackedRevision, rec.stopping = now, r.Serial, r.Acked, r.Leaving
	rec.silent = r.Missed
	if r.Whole {
		rec.agents = map[string]string{}
	}
	for _, a := range r.Joined {
		rec.agents[a.ID] = a.Incarnation
	}
	for _, id := range r.Left {
		delete(rec.agents, id)
	}
}

// suspects returns the known agents that no entry heard in its last round.
func (l *Liveness) suspects(now timekeeper.Millis, s registrar.State) []string {
	const suspectRounds = 2
	var found []string
	for _, a := range s.Agents() {
		if last, ok := l.lastReport[a.ID]; !ok || now-last >= suspectRounds*RoundInterval {
			found = append(found, a.ID)
		}
	}
	return found
}

// DueCommands returns the commands that silence and acknowledgements call for.
func (l *Liveness) DueCommands(now timekeeper.Millis, s registrar.State) []registrar.Command {
	var commands []registrar.Command
	for _, a := range s.Agents() {
		if now-max(l.lastReport[a.ID], l.takeover) > AgentLease+LeaseMargin {
			commands = append(commands, registrar.Command{Detach: &registrar.Detach{Agent: a.ID, Incarnation: a.Incarnation}})
		}
	}
	commands = append(commands, l.lostOwners(now, s)...)
	if l.allAcked(now, s.Revision) && s.InForce < s.Revision {
		commands = append(commands, registrar.Command{InForce: &registrar.InForce{Revision: s.Revision}})
	}
	return commands
}

func (l *Liveness) earlierLeasesEnded(now timekeeper.Millis) bool {
	return now-l.takeover > EntryLease+LeaseMargin
}

func (l *Liveness) mayHoldLease(now timekeeper.Millis, rec *entryRecord) bool {
	return now-rec.lastReport <= EntryLease+LeaseMargin
}

// lostOwners names entry processes with unsettled requests that were started anew or whose lease has ended.
func (l *Liveness) lostOwners(now timekeeper.Millis, s registrar.State) []registrar.Command {
	leased := map[string]bool{}
	reported := map[string]bool{}
	for name, rec := range l.entries {
		leased[ownerName(name, rec.incarnation)] = l.mayHoldLease(now, rec)
		reported[name] = true
	}
	var commands []registrar.Command
	for _, o := range s.PendingOwners() {
		name, _, _ := splitOwner(o)
		if leased[o] || !reported[name] && !l.earlierLeasesEnded(now) {
			continue
		}
		if s.HasClaimed(o) {
			commands = append(commands, registrar.Command{OwnerLost: &registrar.OwnerLost{Owner: o}})
		}
	}
	return commands
}

func splitOwner(o string) (entry, incarnation string, ok bool) {
	for i := len(o) - 1; i >= 0; i-- {
		if o[i] == '/' {
			return o[:i], o[i+1:], true
		}
	}
	return o, "", false
}

// allAcked reports whether every holder that may still hold a lease has acknowledged a revision.
func (l *Liveness) allAcked(now timekeeper.Millis, revision uint64) bool {
	if !l.earlierLeasesEnded(now) {
		return false
	}
	for name, rec := range l.entries {
		if !l.mayHoldLease(now, rec) {
			delete(l.entries, name)
			continue
		}
		if rec.ackedRevision < revision && !rec.stopping {
			return false
		}
	}
	return true
}

// Entries returns the entries heard of, by name.
func (l *Liveness) Entries(now timekeeper.Millis) []EntryStatus {
	var list []EntryStatus
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		rec := l.entries[name]
		list = append(list, EntryStatus{name, now - rec.lastReport, len(rec.agents), rec.ackedRevision})
	}
	return list
}
