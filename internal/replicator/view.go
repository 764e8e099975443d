package replicator

import "github.com/lagoonmill/lagoonmill/internal/journaler"

// view is the state of a node that other goroutines read. It is immutable.
type view struct {
	status     Status
	applied    uint64
	snapshot   journaler.Snapshot // newest snapshot
	entries    []journaler.Entry  // applied, contiguous; the index before the first is at most snapshot.Index
	firstIndex uint64             // index of entries[0]
	changed    chan struct{}      // closed when the next view is published
	promotable []Member
}

// Status returns the state of the replica as of the last iteration of Run that changed it.
func (n *Node) Status() Status { return n.view.Load().status }

// Promotable returns the learners that have caught up, or nil if this replica is not the leader.
func (n *Node) Promotable() []Member { return n.view.Load().promotable }

// Committed returns applied entries after index, or the newest snapshot if the entry at index+1 has been compacted. If
// there are no later entries, it returns a channel that is closed when there may be.
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

// Changed returns a channel that is closed when the state that Status, Promotable and Committed report next changes.
func (n *Node) Changed() <-chan struct{} { return n.view.Load().changed }

func (n *Node) publishIfChanged() {
	old := n.view.Load()
	status := n.core.Status()
	unchanged := old.status.Term == status.Term && old.status.Role == status.Role && old.status.Leader == status.Leader &&
		old.status.LastIndex == status.LastIndex && old.applied == n.applied && old.snapshot.Index == n.journal.Snapshot().Index &&
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
