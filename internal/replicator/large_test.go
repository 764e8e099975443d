package replicator

import (
	"errors"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
)

// maxMessageBytes is the largest message that a replica receives.
const maxMessageBytes = 16 << 20

// TestLargeEntriesFitIntoMessages lets a follower miss many large entries and return.
func TestLargeEntriesFitIntoMessages(t *testing.T) {
	sim := newSimulation(t, 3, 1, 0)
	sim.untilLeader(5000)
	leader := sim.hosts[sim.leader()].core
	for range 200 {
		if _, _, err := leader.Propose(EntryNoop, make([]byte, 256<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := leader.Propose(EntryCommand, make([]byte, maxMessageBytes)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("proposal of a whole message: error %v, want %v", err, ErrTooLarge)
	}
	leader.Flush()
	for range 50 {
		for _, m := range leader.eager {
			if size := dataBytes(m.Entries); size >= maxMessageBytes {
				t.Fatalf("a message holds %d bytes of entries, the limit is %d", size, maxMessageBytes)
			}
		}
		sim.stepMillisecond([2]ReplicaID{})
	}
	for _, h := range sim.hosts {
		if got, want := h.core.log.last(), leader.log.last(); got != want {
			t.Errorf("replica %d has entries up to %d, want %d", h.id, got, want)
		}
	}
}

func dataBytes(entries []journaler.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}
