package replicator

import "github.com/lagoonmill/lagoonmill/internal/journaler"

// view is the part of a node that other goroutines read; it is immutable.
type view struct {
	status     Status
	applied    uint64
	snapshot   journaler.Snapshot // state before entries
	entries    []journaler.Entry  // committed and applied, contiguous, after some index at or below base.Index
	firstIndex uint64             // index of entries[0]
	changed    chan struct{}      // closed when the next view is published
	promotable []Member
}

// Status returns the replica's state at the end of its last round of work.
func (n *Node) Status() Status { return n.view.Load().status }

// Promotable returns learners that have caught up, while this replica leads.
func (n *Node) Promotable() []Member { return n.view.Load().promotable }

// Committed returns committed entries after index, or a snapshot to start from where they are no longer held.
// With nothing new it returns a channel that is closed when there may be.
func (n *Node) Committed(index uint64) ([]journaler.Entry, *journaler.Snapshot, <-chan struct{}) {
	v := n.view.Load()
	if index >= v.applied {
		return nil, nil, v.changed
	}
	if index+1 < v.firstIndex {
		return nil, &v.snapshot, nil
	}
	from := index + 1 - v.firstIndex
	to := min(uint64(len(v.entries)), from+maxCommittedBatch)
	return v.entries[from:to], nil, nil
}

// Changed returns a channel that is closed after the node's next round of work.
func (n *Node) Changed() <-chan struct{} { return n.view.Load().changed }

func (n *Node) publishIfChanged() {
	old := n.view.Load()
	status := n.core.Status()
	unchanged := old.status.Term == status.Term && old.status.Role == status.Role && old.status.Leader == status.Leader &&
		old.status.Last == status.Last && old.applied == n.applied && old.snapshot.Index == n.journal.Snapshot().Index &&
		len(old.promotable) == len(n.core.Promotable())
	if unchanged {
		return
	}
	n.publish(make(chan struct{}))
	close(old.changed)
}

func (n *Node) publish(changed chan struct{}) {
	log := &n.core.log
	entries := log.slice(log.compactedIndex, n.applied, len(log.entries))
	n.view.Store(&view{
		status:     n.core.Status(),
		applied:    n.applied,
		snapshot:   n.journal.Snapshot(),
		entries:    entries,
		firstIndex: log.compactedIndex + 1,
		changed:    changed,
		promotable: n.core.Promotable(),
	})
}
