package replicator

import (
	"errors"
	"fmt"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
)

// installSnapshot replaces the journal's log and the state machine's state with a snapshot that the leader sent.
func (n *Node) installSnapshot(s journaler.Snapshot) error {
	if err := n.journal.SaveSnapshot(s); err != nil {
		return fmt.Errorf("save received snapshot: %w", err)
	}
	if err := n.machine.Restore(s.Index, s.Data); err != nil {
		return fmt.Errorf("restore received snapshot: %w", err)
	}
	n.applied, n.snapshotIndex = s.Index, s.Index
	return nil
}

// startSnapshot encodes and writes a snapshot in the background when one is due; finishSnapshot completes it.
func (n *Node) startSnapshot() {
	if n.snapshotInProgress || n.applied-n.snapshotIndex < n.snapshotEvery {
		return
	}
	n.snapshotInProgress = true
	term, _ := n.core.log.term(n.applied)
	s := journaler.Snapshot{Index: n.applied, Term: term, Members: n.core.log.membershipAt(n.applied).encode()}
	encode := n.machine.Capture()
	go func() {
		var err error
		if s.Data, err = encode(); err == nil {
			err = n.journal.PrepareSnapshot(s)
		}
		n.snapshotResults <- snapshotResult{s, err}
	}()
}

func (n *Node) finishSnapshot(d snapshotResult) error {
	n.snapshotInProgress = false
	if errors.Is(d.err, journaler.ErrDiskFull) {
		n.snapshotIndex = n.applied // retry after another snapshotEvery entries
		return nil
	}
	if d.err != nil {
		return d.err
	}
	if d.snapshot.Index <= n.journal.Snapshot().Index {
		return nil // superseded by a received snapshot
	}
	if err := n.journal.InstallSnapshot(d.snapshot); err != nil {
		return err
	}
	n.snapshotIndex = d.snapshot.Index
	if entries := n.journal.Entries(); len(entries) > 0 {
		n.core.Compact(entries[0].Index)
	}
	return nil
}
