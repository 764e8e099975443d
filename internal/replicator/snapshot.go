package replicator

import (
	"context"
	"errors"
	"fmt"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// snapshotRetryDelay is the pause after a snapshot that the disk had no room for, and between snapshots that are taken
// for lack of room.
const snapshotRetryDelay = 5 * timekeeper.Second

// installSnapshot replaces the journal's log and the state machine's state with a snapshot that the leader sent.
func (n *Node) installSnapshot(ctx context.Context, s journaler.Snapshot) error {
	if err := n.writeWithRetry(ctx, "received snapshot", func() error { return n.journal.SaveSnapshot(s) }); err != nil {
		return fmt.Errorf("save received snapshot: %w", err)
	}
	if err := n.machine.Restore(s.Index, s.Data); err != nil {
		return fmt.Errorf("restore received snapshot: %w", err)
	}
	n.applied, n.snapshotIndex = s.Index, s.Index
	n.storage.set(n.journal.Usage())
	return nil
}

// snapshotDue reports whether the log has grown by enough entries or bytes since the last snapshot, or is to be compacted
// to make room.
func (n *Node) snapshotDue() bool {
	if n.snapshotInProgress || n.applied == n.snapshotIndex || n.clock.Now() < n.nextSnapshot {
		return false
	}
	return n.applied-n.snapshotIndex >= n.snapshotEvery || n.storage.snapshotDue() || !n.storage.hasRoom()
}

// startSnapshot encodes and writes a snapshot in the background when one is due; finishSnapshot completes it.
func (n *Node) startSnapshot() {
	if !n.snapshotDue() {
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

// awaitSnapshot waits for the goroutine of a snapshot in progress, which uses the journal.
func (n *Node) awaitSnapshot() {
	if n.snapshotInProgress {
		<-n.snapshotResults
	}
}

func (n *Node) finishSnapshot(d snapshotResult) error {
	n.snapshotInProgress = false
	if d.err == nil && d.snapshot.Index <= n.journal.Snapshot().Index {
		return n.journal.DropPrepared(d.snapshot) // superseded by a received snapshot
	}
	before := n.journal.Usage()
	if d.err == nil {
		d.err = n.journal.InstallSnapshot(d.snapshot)
	}
	// A snapshot that could not be followed by a new segment is installed all the same: the old segment continues.
	if n.journal.Snapshot().Index == d.snapshot.Index {
		n.snapshotIndex = d.snapshot.Index
		if entries := n.journal.Entries(); len(entries) > 0 {
			n.core.Compact(entries[0].Index)
		}
	}
	if errors.Is(d.err, journaler.ErrDiskFull) {
		n.nextSnapshot = n.clock.Now() + snapshotRetryDelay
		n.logRefusedWrite("snapshot", d.err)
		return nil
	}
	if d.err != nil {
		return d.err
	}
	after := n.journal.Usage()
	n.storage.set(after)
	if !n.storage.hasRoom() {
		n.nextSnapshot = n.clock.Now() + snapshotRetryDelay
	}
	n.log.Log(logger.SnapshotTaken, logger.F("index", d.snapshot.Index), logger.F("snapshot", after.Snapshot),
		logger.F("log-before", before.Log), logger.F("log", after.Log), logger.F("disk", n.storage.diskBytes))
	return nil
}
