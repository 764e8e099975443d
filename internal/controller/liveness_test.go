package controller

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// stateWith returns a state to which the given agents are attached.
func stateWith(t *testing.T, agents ...string) registrar.State {
	s := registrar.New()
	for i, id := range agents {
		next, e := s.Apply(uint64(i+1), registrar.Command{Attach: &registrar.Agent{ID: id, Incarnation: "1"}})
		if err := e.Answer.Err(); err != nil {
			t.Fatal(err)
		}
		s = next
	}
	return s
}

func fullReport(entry string, serial uint64, agents ...string) HeartbeatRequest {
	r := HeartbeatRequest{Entry: entry, Incarnation: "1", Serial: serial, Complete: true, AckedRevision: 1}
	for _, id := range agents {
		r.Joined = append(r.Joined, AttachedAgent{ID: id, Incarnation: "1"})
	}
	return r
}

// lostAgents returns the agents that the leader declares lost at time now.
func lostAgents(l *Liveness, now timekeeper.Millis, s registrar.State) []string {
	var lost []string
	for _, c := range l.DueCommands(now, s) {
		if c.Detach != nil {
			lost = append(lost, c.Detach.Agent)
		}
	}
	return lost
}

// TestAgentLostOnlyAfterLeaseExpires checks that an agent without heartbeats is lost only after its lease, and that it
// is not lost again when it reattaches. It guards against a fault in which a reattached agent was declared lost at
// once, because its last heartbeat before the interruption was still the one that counted.
func TestAgentLostOnlyAfterLeaseExpires(t *testing.T) {
	s := stateWith(t, "a", "b")
	l := NewLiveness(0)
	l.HandleHeartbeat(100, fullReport("e", 1, "a", "b"), s)
	withoutA := HeartbeatRequest{Entry: "e", Incarnation: "1", Serial: 2, AckedRevision: 1, Silent: []string{"a"}}
	if got := l.HandleHeartbeat(1200, withoutA, s).Suspects; !cmp.Equal(got, []string{"a"}) {
		t.Errorf("suspects %v, want a", got)
	}
	end := 100 + AgentLease + LeaseMargin
	if lost := lostAgents(l, end, s); len(lost) != 0 {
		t.Errorf("at the end of the lease and its margin: lost %v, want none", lost)
	}
	if lost := lostAgents(l, end+1, s); !cmp.Equal(lost, []string{"a"}) {
		t.Errorf("after the lease and its margin: lost %v, want a", lost)
	}
	l.AgentAttached(end+500, "a")
	if lost := lostAgents(l, end+600, s); len(lost) != 0 {
		t.Errorf("after the agent reattached: lost %v, want none", lost)
	}
}

// TestNewLeaderWaitsForEarlierLeases checks that a new leader declares no agent lost until the leases that an earlier
// leader granted have expired.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	s := stateWith(t, "a")
	l := NewLiveness(10_000)
	if lost := lostAgents(l, 10_000+AgentLease+LeaseMargin, s); len(lost) != 0 {
		t.Errorf("lost %v within a lease of the takeover, want none", lost)
	}
	if lost := lostAgents(l, 10_001+AgentLease+LeaseMargin, s); len(lost) != 1 {
		t.Errorf("lost %v after the leases expired, want a", lost)
	}
}

// TestOutOfOrderHeartbeatsAreRejected checks that a repeated report, a late one and one after a gap are answered with a
// request for a complete report, which renews no lease.
func TestOutOfOrderHeartbeatsAreRejected(t *testing.T) {
	s := stateWith(t, "a")
	l := NewLiveness(0)
	l.HandleHeartbeat(100, fullReport("e", 5, "a"), s)
	for _, serial := range []uint64{4, 5, 7} {
		r := HeartbeatRequest{Entry: "e", Incarnation: "1", Serial: serial, Left: []string{"a"}}
		if !l.HandleHeartbeat(200, r, s).NeedComplete {
			t.Errorf("the report with serial %d was accepted after serial 5", serial)
		}
	}
}

// TestRevisionInForceAfterAllEntriesAcknowledge checks that a revision comes into force once every entry that may hold
// a lease has acknowledged it, and not before the leases of an earlier leader have expired.
func TestRevisionInForceAfterAllEntriesAcknowledge(t *testing.T) {
	s := registrar.New()
	preset := "peak"
	s, _ = s.Apply(1, registrar.Command{Change: &registrar.Change{BaseRevision: 1, Preset: &registrar.Preset{Name: preset}}})
	inForce := func(l *Liveness, now timekeeper.Millis) bool {
		for _, c := range l.DueCommands(now, s) {
			if c.InForce != nil {
				return true
			}
		}
		return false
	}
	expired := EntryLease + LeaseMargin + 1
	l := NewLiveness(0)
	for serial, acked := range []uint64{1, 2} {
		for _, entry := range []string{"e", "f"} {
			r := fullReport(entry, uint64(serial+1))
			r.AckedRevision = acked
			if entry == "f" {
				r.AckedRevision = 1
			}
			l.HandleHeartbeat(expired, r, s)
		}
	}
	if inForce(l, expired) {
		t.Error("revision in force although entry f has not acknowledged it")
	}
	if !inForce(l, 2*expired) {
		t.Error("revision not in force although the lease of entry f has expired")
	}
	fresh := NewLiveness(0)
	if inForce(fresh, expired-2) {
		t.Error("revision in force before earlier leases have expired")
	}
}
