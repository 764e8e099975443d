package replicator

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
)

// drawOddNumber draws a small number or one at an end of the range.
func drawOddNumber(rt *rapid.T, name string) uint64 {
	return rapid.OneOf(rapid.Uint64Range(0, 40), rapid.Uint64Range(math.MaxUint64-3, math.MaxUint64), rapid.Just(uint64(math.MaxInt64)+1)).Draw(rt, name)
}

// drawOddMessage draws a message of which each part may be right or odd for the replica that receives it.
func drawOddMessage(rt *rapid.T, from ReplicaID, to *Core) Message {
	m := Message{
		Kind: MessageKind(rapid.IntRange(0, 12).Draw(rt, "kind")), From: from, To: to.id,
		Term:  rapid.OneOf(rapid.Just(to.term), rapid.Just(to.term+1), rapid.Custom(func(rt *rapid.T) uint64 { return drawOddNumber(rt, "any") })).Draw(rt, "term"),
		Index: drawOddNumber(rt, "index"), LogTerm: rapid.OneOf(rapid.Just(to.log.lastTerm()), rapid.Uint64Range(0, 3)).Draw(rt, "log-term"), Commit: drawOddNumber(rt, "commit"),
		Reject: rapid.Bool().Draw(rt, "reject"), RejectHint: drawOddNumber(rt, "hint"), ReadRound: drawOddNumber(rt, "round"),
	}
	for range rapid.IntRange(0, 3).Draw(rt, "entries") {
		e := journaler.Entry{Index: drawOddNumber(rt, "entry-index"), Term: drawOddNumber(rt, "entry-term"), Kind: uint8(rapid.IntRange(0, 4).Draw(rt, "entry-kind"))}
		if rapid.Bool().Draw(rt, "data") {
			e.Data = rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(rt, "bytes")
		}
		m.Entries = append(m.Entries, e)
	}
	if rapid.Bool().Draw(rt, "snapshot") {
		m.Snapshot = &journaler.Snapshot{Index: drawOddNumber(rt, "snapshot-index"), Term: drawOddNumber(rt, "snapshot-term"), Members: rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(rt, "members")}
	}
	return m
}

// TestOddMessagesEndNoReplica sends odd messages to every replica, in the name of a stranger and of members.
func TestOddMessagesEndNoReplica(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, 3, 1, 0)
		sim.untilLeader(5000)
		for range rapid.IntRange(1, 5).Draw(rt, "messages") {
			h := sim.hosts[rapid.IntRange(0, 2).Draw(rt, "to")]
			h.core.Step(sim.now, drawOddMessage(rt, ReplicaID(rapid.IntRange(0, 4).Draw(rt, "from")), h.core))
			h.core.Tick(sim.now + 1)
			h.core.Ready()
		}
	})
}

// TestForgedTermDoesNotEndElections sends one message with the highest terms to one replica, in each kind.
func TestForgedTermDoesNotEndElections(t *testing.T) {
	for _, term := range []uint64{math.MaxUint64, math.MaxUint64 - 1, math.MaxUint64 - 2, 1 << 63} {
		for kind := AppendRequest; kind <= TimeoutNow; kind++ {
			t.Run(fmt.Sprint(kind, " ", term), func(t *testing.T) {
				sim := newSimulation(t, 3, 1, 0)
				sim.untilLeader(5000)
				h := sim.hosts[(sim.leader()+1)%3]
				from := sim.hosts[sim.leader()].id
				h.core.Step(sim.now, Message{Kind: kind, From: from, To: h.id, Term: term, Reject: kind == PreVoteResponse, LeaderTransfer: true, Index: 1 << 40, LogTerm: term})
				sim.processReady(h, 0)
				for range 3000 {
					sim.stepMillisecond([2]ReplicaID{})
				}
				for _, h := range sim.hosts {
					if sim.leader() < 0 || h.core.Status().Leader != sim.hosts[sim.leader()].id {
						t.Fatalf("replica %d in term %d follows %d, want a common leader", h.id, h.core.term, h.core.Status().Leader)
					}
				}
			})
		}
	}
}
