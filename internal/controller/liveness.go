package controller

import (
	"maps"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Liveness is what a leader knows of entries and agents since it took over. It is not safe for concurrent use. The
// caller passes the time, of a monotonic clock.
//
// Invariant: every lease that an earlier leader granted has expired before an agent or entry is declared lost for lack
// of reports, since the time without a report counts from the takeover at the earliest.
type Liveness struct {
	takeover   timekeeper.Millis // when this leader took over
	entries    map[string]*entryRecord
	lastReport map[string]timekeeper.Millis // time of each agent's last reported heartbeat, by agent id
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

// NewLiveness returns the Liveness of a leader that takes over at time now.
func NewLiveness(now timekeeper.Millis) *Liveness {
	return &Liveness{takeover: now, entries: map[string]*entryRecord{}, lastReport: map[string]timekeeper.Millis{}}
}

func ownerName(entry, incarnation string) string { return entry + "/" + incarnation }

// HandleHeartbeat records an entry's heartbeat and returns the answer to it.
func (l *Liveness) HandleHeartbeat(now timekeeper.Millis, r HeartbeatRequest, s registrar.State) HeartbeatResponse {
	rec := l.entries[r.Entry]
	if rec == nil || rec.incarnation != r.Incarnation {
		rec = &entryRecord{incarnation: r.Incarnation, agents: map[string]string{}}
		l.entries[r.Entry] = rec
		if !r.Complete {
			rec.lastReport = now
			return HeartbeatResponse{Serial: r.Serial, NeedComplete: true}
		}
	}
	if r.Serial <= rec.serial {
		return HeartbeatResponse{Serial: r.Serial, NeedComplete: true} // a late or repeated report could undo a newer one
	}
	if !r.Complete && r.Serial != rec.serial+1 {
		return HeartbeatResponse{Serial: r.Serial, NeedComplete: true}
	}
	rec.update(now, r)
	for id := range rec.agents {
		if !slices.Contains(rec.silent, id) {
			l.lastReport[id] = now
		}
	}
	return HeartbeatResponse{Serial: r.Serial, Suspects: l.suspects(now, s), InForce: s.InForce}
}

// AgentAttached counts the attachment of an agent as a heartbeat, since its entry reports the agent only in its next
// heartbeat.
func (l *Liveness) AgentAttached(now timekeeper.Millis, agent string) { l.lastReport[agent] = now }

func (rec *entryRecord) update(now timekeeper.Millis, r HeartbeatRequest) {
	rec.lastReport, rec.serial, rec.ackedRevision, rec.stopping = now, r.Serial, r.AckedRevision, r.Stopping
	rec.silent = r.Silent
	if r.Complete {
		rec.agents = map[string]string{}
	}
	for _, a := range r.Joined {
		rec.agents[a.ID] = a.Incarnation
	}
	for _, id := range r.Left {
		delete(rec.agents, id)
	}
}

// suspects returns the attached agents without a reported heartbeat in the last suspectIntervals heartbeat intervals.
func (l *Liveness) suspects(now timekeeper.Millis, s registrar.State) []string {
	const suspectIntervals = 2
	var found []string
	for _, a := range s.Agents() {
		if last, ok := l.lastReport[a.ID]; !ok || now-last >= suspectIntervals*HeartbeatInterval {
			found = append(found, a.ID)
		}
	}
	return found
}

// DueCommands returns the commands that declare agents and entries lost and that put an acknowledged revision in force.
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

// earlierLeasesEnded reports whether every entry lease of an earlier leader has expired.
func (l *Liveness) earlierLeasesEnded(now timekeeper.Millis) bool {
	return now-l.takeover > EntryLease+LeaseMargin
}

// mayHoldLease reports whether the entry's lease may still be valid.
func (l *Liveness) mayHoldLease(now timekeeper.Millis, rec *entryRecord) bool {
	return now-rec.lastReport <= EntryLease+LeaseMargin
}

// lostOwners returns commands that declare entry processes with claimed requests lost. A process is lost if its entry
// has reported from a later process, or if its lease has expired.
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

// allAcked reports whether every entry that may hold a lease has acknowledged revision. It removes entries whose lease
// has expired.
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

// Entries returns the status of the entries that have reported, sorted by name.
func (l *Liveness) Entries(now timekeeper.Millis) []EntryStatus {
	var list []EntryStatus
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		rec := l.entries[name]
		list = append(list, EntryStatus{name, now - rec.lastReport, len(rec.agents), rec.ackedRevision})
	}
	return list
}
