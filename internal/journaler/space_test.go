package journaler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fullDevice refuses every write with the error of a full disk.
const fullDevice = "/dev/full"

// TestRetainedEntriesAreBoundedByBytes guards against a log that keeps a number of entries of any size after a snapshot,
// which fills the disk.
func TestRetainedEntriesAreBoundedByBytes(t *testing.T) {
	const entries, size = 64, 256 << 10
	j := mustOpen(t, t.TempDir())
	defer func() { _ = j.Close() }()
	for i := uint64(1); i <= entries; i++ {
		b := Batch{State: HardState{Term: 1}, Entries: []Entry{{Index: i, Term: 1, Data: make([]byte, size)}}}
		if err := j.Append(b); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.SaveSnapshot(Snapshot{Index: entries, Term: 1}); err != nil {
		t.Fatal(err)
	}
	if u := j.Usage(); u.Log > retainedBytes+2*size || u.Growth != 0 {
		t.Errorf("after the snapshot the log takes %d bytes and has grown by %d, want at most %d and 0", u.Log, u.Growth, retainedBytes+2*size)
	}
	if got := len(j.Entries()); got != retainedBytes/size+1 {
		t.Errorf("%d entries are retained, want %d", got, retainedBytes/size+1)
	}
}

// TestSnapshotOnFullDiskLeavesNoPart guards against a snapshot that the disk has no room for and whose part takes up
// what room there is.
func TestSnapshotOnFullDiskLeavesNoPart(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir)
	defer func() { _ = j.Close() }()
	s := Snapshot{Index: 1, Term: 1, Data: []byte("state")}
	fillDiskFor(t, j.pendingSnapshotPath(s))
	if err := j.PrepareSnapshot(s); !errors.Is(err, ErrDiskFull) {
		t.Errorf("prepare a snapshot: error %v, want %v", err, ErrDiskFull)
	}
	if _, err := os.Lstat(j.pendingSnapshotPath(s)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("look for the part of the snapshot: error %v, want %v", err, os.ErrNotExist)
	}
}

// TestEntriesAreKeptWithoutRoomForTheNextSegment guards against a journal that loses entries, or stops, if the disk is
// full after a snapshot was installed and before the segment that follows it.
func TestEntriesAreKeptWithoutRoomForTheNextSegment(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir)
	state := HardState{Term: 1}
	if err := j.Append(Batch{State: state, Entries: []Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}); err != nil {
		t.Fatal(err)
	}
	fillDiskFor(t, filepath.Join(dir, fmt.Sprintf(segmentPattern, 2)+tempSuffix))
	if err := j.SaveSnapshot(Snapshot{Index: 2, Term: 1}); !errors.Is(err, ErrDiskFull) {
		t.Errorf("save a snapshot: error %v, want %v", err, ErrDiskFull)
	}
	if err := j.Append(Batch{State: state, Entries: []Entry{entry(4, 1)}}); err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	reopened := mustOpen(t, dir)
	defer func() { _ = reopened.Close() }()
	if diff := cmp.Diff([]Entry{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)}, reopened.Entries()); diff != "" {
		t.Errorf("entries after the restart (-want +got):\n%s", diff)
	}
	if err := reopened.SaveSnapshot(Snapshot{Index: 4, Term: 1}); err != nil {
		t.Errorf("save a snapshot once there is room: %v", err)
	}
}

// fillDiskFor makes the next write to path fail as on a full disk.
func fillDiskFor(t *testing.T, path string) {
	t.Helper()
	if err := os.Symlink(fullDevice, path); err != nil {
		t.Fatal(err)
	}
}
