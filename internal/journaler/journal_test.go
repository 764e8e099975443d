package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

func mustOpen(t interface{ Fatalf(string, ...any) }, dir string) *Journal {
	j, err := Open(dir)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return j
}

func entry(index, term uint64) Entry {
	return Entry{Index: index, Term: term, Data: []byte{byte(index), byte(term)}}
}

// lastSegment returns the path and content of the newest segment.
func lastSegment(t interface{ Fatalf(string, ...any) }, dir string) (string, []byte) {
	paths, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no segments: %v", err)
	}
	path := slices.Max(paths)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	return path, data
}

// TestReopenKeepsAppendedEntries runs random appends, overwrites, snapshots and crashes that tear the last record, and
// compares the reopened journal with a model.
func TestReopenKeepsAppendedEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "j")
		if err != nil {
			rt.Fatal(err)
		}
		j := mustOpen(rt, dir)
		id := j.Identity()
		model := map[uint64]uint64{} // index to term
		last, term := uint64(0), uint64(1)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1, 2:
				from := last + 1
				if last > j.Snapshot().Index && rapid.Bool().Draw(rt, "overwrite") {
					from = rapid.Uint64Range(j.Snapshot().Index+1, last).Draw(rt, "from")
					term++
				}
				var batch Batch
				batch.State = HardState{Term: term}
				for i := range uint64(rapid.IntRange(1, 4).Draw(rt, "entries")) {
					batch.Entries = append(batch.Entries, entry(from+i, term))
				}
				if err := j.Append(batch); err != nil {
					rt.Fatalf("append: %v", err)
				}
				for index := range model {
					if index >= from {
						delete(model, index)
					}
				}
				for _, e := range batch.Entries {
					model[e.Index] = e.Term
					last = e.Index
				}
			case 3:
				if last > j.Snapshot().Index {
					if err := j.SaveSnapshot(Snapshot{Index: last, Term: model[last], Data: []byte("s")}); err != nil {
						rt.Fatalf("snapshot: %v", err)
					}
				}
			default:
				if err := j.Close(); err != nil {
					rt.Fatalf("close: %v", err)
				}
				appendTornRecord(rt, dir)
				j = mustOpen(rt, dir)
			}
		}
		checkModel(rt, j, model, last, id)
	})
}

// appendTornRecord appends a proper prefix of a record that was never acknowledged to the newest segment.
func appendTornRecord(t *rapid.T, dir string) {
	record, err := appendRecord(nil, Batch{State: HardState{Term: 99}, Entries: []Entry{entry(500, 99)}})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	path, data := lastSegment(t, dir)
	cut := rapid.IntRange(0, len(record)-1).Draw(t, "torn")
	if err := os.WriteFile(path, append(data, record[:cut]...), fileMode); err != nil {
		t.Fatalf("write: %v", err)
	}
}

func checkModel(t *rapid.T, j *Journal, model map[uint64]uint64, last, id uint64) {
	if j.Identity() != id {
		t.Fatalf("the identity changed")
	}
	got := map[uint64]uint64{}
	for _, e := range j.Entries() {
		got[e.Index] = e.Term
	}
	for index := j.Snapshot().Index + 1; index <= last; index++ {
		if got[index] != model[index] {
			t.Fatalf("entry %d has term %d, want %d", index, got[index], model[index])
		}
	}
	for index := range got {
		if index > last {
			t.Fatalf("entry %d was never acknowledged", index)
		}
	}
}

// TestOpenRefusesDamageBeforeIntactRecords flips a bit in each byte of a record that intact records follow.
func TestOpenRefusesDamageBeforeIntactRecords(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir)
	for i := range uint64(3) {
		if err := j.Append(Batch{State: HardState{Term: 1}, Entries: []Entry{entry(i+1, 1)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	path, data := lastSegment(t, dir)
	for i := range len(data) / 3 {
		damaged := slices.Clone(data)
		damaged[i] ^= 0x40
		if err := os.WriteFile(path, damaged, fileMode); err != nil {
			t.Fatal(err)
		}
		var corrupt *CorruptError
		if _, err := Open(dir); !errors.As(err, &corrupt) {
			t.Fatalf("byte %d damaged: Open returned %v, want a CorruptError", i, err)
		}
	}
}

// TestOpenRefusesDamagedSnapshot checks that a replica does not start if its snapshot is damaged, since it would have
// lost state.
func TestOpenRefusesDamagedSnapshot(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir)
	if err := j.SaveSnapshot(Snapshot{Index: 1, Term: 1, Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, snapshotFile)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)-1] ^= 1
	if err := os.WriteFile(path, data, fileMode); err != nil {
		t.Fatal(err)
	}
	var corrupt *CorruptError
	if _, err := Open(dir); !errors.As(err, &corrupt) {
		t.Errorf("Open returned %v, want a CorruptError", err)
	}
}

// fullDisk is a segment on a disk with free bytes left; further writes fail with ENOSPC.
type fullDisk struct {
	segment
	free int
}

func (f *fullDisk) Write(p []byte) (int, error) {
	n, err := f.segment.Write(p[:min(len(p), f.free)])
	f.free -= n
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}

// TestAppendToFullDisk checks that an append that does not fit returns ErrDiskFull and leaves no part of its record,
// and that the journal accepts appends again once there is free space.
func TestAppendToFullDisk(t *testing.T) {
	record, err := appendRecord(nil, Batch{State: HardState{Term: 2}, Entries: []Entry{entry(2, 2)}})
	if err != nil {
		t.Fatal(err)
	}
	for free := range record {
		dir := t.TempDir()
		j := mustOpen(t, dir)
		if err := j.Append(Batch{State: HardState{Term: 1}, Entries: []Entry{entry(1, 1)}}); err != nil {
			t.Fatal(err)
		}
		file := j.file
		j.file = &fullDisk{file, free}
		err := j.Append(Batch{State: HardState{Term: 2}, Entries: []Entry{entry(2, 2)}})
		if !errors.Is(err, ErrDiskFull) {
			t.Fatalf("%d bytes free: Append returned %v, want ErrDiskFull", free, err)
		}
		j.file = file
		if err := j.Append(Batch{State: HardState{Term: 3}, Entries: []Entry{entry(2, 3)}}); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		reopened := mustOpen(t, dir)
		if diff := cmp.Diff([]Entry{entry(1, 1), entry(2, 3)}, reopened.Entries()); diff != "" {
			t.Fatalf("%d bytes free: entries (-want +got):\n%s", free, diff)
		}
	}
}

// TestNoAppendAfterFailedSync checks that no append is acknowledged after a failed sync, since the content of the file
// is then unknown.
func TestNoAppendAfterFailedSync(t *testing.T) {
	j := mustOpen(t, t.TempDir())
	j.file = &failingSync{segment: j.file}
	if err := j.Append(Batch{State: HardState{Term: 1}}); err == nil {
		t.Fatal("Append acknowledged a batch that was not synced")
	}
	if err := j.Append(Batch{State: HardState{Term: 1}}); err == nil {
		t.Error("Append succeeded after a failed sync")
	}
}

type failingSync struct {
	segment
	failed bool
}

func (f *failingSync) Sync() error {
	if f.failed {
		return f.segment.Sync()
	}
	f.failed = true
	return syscall.EIO
}

// TestManyLargeEntriesAreKept appends more data than one record may hold, at once and over time before a snapshot.
func TestManyLargeEntriesAreKept(t *testing.T) {
	large := func(from, count uint64) (list []Entry) {
		for i := range count {
			list = append(list, Entry{Index: from + i, Term: 1, Data: make([]byte, 1<<20)})
		}
		return list
	}
	dir := t.TempDir()
	j := mustOpen(t, dir)
	const half = maxRecordBytes>>20/2 + 4
	for _, b := range []Batch{{Entries: large(1, 2*half)}, {Entries: large(2*half+1, 1)}} {
		if err := j.Append(b); err != nil {
			t.Fatalf("append entries: %v", err)
		}
	}
	if err := j.SaveSnapshot(Snapshot{Index: 3, Term: 1}); err != nil {
		t.Fatalf("save a snapshot: %v", err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if got := len(mustOpen(t, dir).Entries()); got != 2*half+1 {
		t.Errorf("the reopened journal has %d entries, want %d", got, 2*half+1)
	}
}

// TestEntriesAfterReceivedSnapshotAreKept reopens a journal that took a snapshot from a leader and then appended entries.
func TestEntriesAfterReceivedSnapshotAreKept(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir)
	if err := j.SaveSnapshot(Snapshot{Index: 50, Term: 2}); err != nil {
		t.Fatal(err)
	}
	want := []Entry{entry(51, 2), entry(52, 2)}
	if err := j.Append(Batch{State: HardState{Term: 2}, Entries: want}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, mustOpen(t, dir).Entries()); diff != "" {
		t.Errorf("acknowledged entries (-want +got):\n%s", diff)
	}
}

// TestEntriesAfterInterruptedSnapshotAreKept crashes between the rename of a snapshot and the next segment.
func TestEntriesAfterInterruptedSnapshotAreKept(t *testing.T) {
	for _, index := range []uint64{2, 50} {
		keepAfterInterruptedSnapshot(t, index)
	}
}

func keepAfterInterruptedSnapshot(t *testing.T, index uint64) {
	t.Helper()
	dir := t.TempDir()
	j := mustOpen(t, dir)
	if err := j.Append(Batch{Entries: []Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}); err != nil {
		t.Fatal(err)
	}
	s := Snapshot{Index: index, Term: 2}
	if err := j.PrepareSnapshot(s); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(j.pendingSnapshotPath(s), filepath.Join(dir, snapshotFile)); err != nil {
		t.Fatal(err)
	}
	j = mustOpen(t, dir)
	want := []Entry{entry(index+1, 2), entry(index+2, 2)}
	for _, e := range want {
		if err := j.Append(Batch{State: HardState{Term: 2}, Entries: []Entry{e}}); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(want, mustOpen(t, dir).Entries()); diff != "" {
		t.Errorf("acknowledged entries (-want +got):\n%s", diff)
	}
}

// TestSegmentThatComesBackReplacesNothing brings back a segment whose entries a received snapshot has replaced, as a loss
// of power may do whose removal was not durable. It guards against a replica that drops what it has acknowledged since.
func TestSegmentThatComesBackReplacesNothing(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir)
	if err := j.Append(Batch{State: HardState{Term: 1}, Entries: []Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}); err != nil {
		t.Fatal(err)
	}
	path, old := lastSegment(t, dir)
	if err := j.SaveSnapshot(Snapshot{Index: 2, Term: 2}); err != nil {
		t.Fatal(err)
	}
	want := []Entry{entry(3, 2), entry(4, 2)}
	if err := j.Append(Batch{State: HardState{Term: 2}, Entries: want}); err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, old, fileMode); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, mustOpen(t, dir).Entries()); diff != "" {
		t.Errorf("acknowledged entries (-want +got):\n%s", diff)
	}
}

// unsynced is a segment that counts its syncs.
type unsynced struct {
	segment
	syncs *int
}

// Sync implements segment.
func (u unsynced) Sync() error {
	*u.syncs++
	return u.segment.Sync()
}

// TestLoadedRecordsAreSynced opens a journal after a kill. It guards against a replica that takes a record for durable
// which was written and not synced before the kill, so that a loss of power takes back what it has acknowledged.
func TestLoadedRecordsAreSynced(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir)
	record, err := appendRecord(nil, Batch{State: HardState{Term: 1}, Entries: []Entry{entry(1, 1)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := j.file.Write(record); err != nil { // without the sync of an append
		t.Fatal(err)
	}
	syncs := 0
	reopened, err := open(dir, uuid.New(), func(path string) (segment, error) {
		file, err := openFile(path)
		return unsynced{file, &syncs}, err
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reopened.Close() }()
	if len(reopened.Entries()) != 1 || syncs == 0 {
		t.Errorf("%d entries are loaded after %d syncs, want one entry after a sync", len(reopened.Entries()), syncs)
	}
}

// TestOpenRefusesForeignEntries opens segments whose records are intact but number their entries oddly.
func TestOpenRefusesForeignEntries(t *testing.T) {
	for name, b := range map[string]Batch{
		"zero":  {Entries: []Entry{entry(0, 1)}},
		"gap":   {Entries: []Entry{entry(9, 1)}},
		"huge":  {Entries: []Entry{entry(1, 1), entry(1<<63+5, 1)}},
		"order": {Entries: []Entry{entry(1, 1), entry(1, 1)}},
	} {
		dir := t.TempDir()
		j := mustOpen(t, dir)
		record, err := appendRecord(nil, b)
		if err != nil {
			t.Fatal(err)
		}
		if err := j.write(record); err != nil {
			t.Fatal(err)
		}
		var corrupt *CorruptError
		if _, err := Open(dir); !errors.As(err, &corrupt) {
			t.Errorf("%s: Open returned %v, want a CorruptError", name, err)
		}
	}
}

// FuzzReadAll checks that readAll reads, truncates or refuses arbitrary bytes, and that the batches that it returns are
// the same after encoding and reading them again.
func FuzzReadAll(f *testing.F) {
	good, err := appendRecord(nil, Batch{State: HardState{Term: 3, Vote: 7}, Entries: []Entry{entry(1, 3), entry(2, 3)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(append(slices.Clone(good), good[:len(good)-1]...))
	f.Add(append([]byte{1}, good...))
	f.Fuzz(func(t *testing.T, data []byte) {
		batches, intact, err := readAll("fuzz", data)
		if err != nil {
			return
		}
		if intact > len(data) {
			t.Fatalf("readAll returned an intact prefix of %d of %d bytes", intact, len(data))
		}
		var encoded []byte
		for _, b := range batches {
			if encoded, err = appendRecord(encoded, b); err != nil {
				t.Fatal(err)
			}
		}
		reread, _, err := readAll("again", encoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(batches, reread); diff != "" {
			t.Fatalf("batches (-first read +second read):\n%s", diff)
		}
	})
}
