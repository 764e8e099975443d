package journaler

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/google/uuid"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

const (
	segmentPattern         = "segment-%020d.log"
	segmentPrefix          = "segment-"
	snapshotFile           = "snapshot"
	identityFile           = "identity"
	dirMode                = 0o750
	fileMode               = 0o640
	retainedBeforeSnapshot = 1024 // entries kept for followers that lag slightly behind
	// retainedBytes bounds the data of the entries that are kept for followers that lag slightly behind.
	retainedBytes = 4 << 20
)

// ErrDiskFull reports that an append is not durable because the disk is full. The replica must step down.
var ErrDiskFull = errors.New("no space left for the data directory")

// Snapshot is the encoded state of the state machine after the entry at Index, with the membership in force at Index.
type Snapshot struct {
	Index   uint64 `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Members []byte `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
}

// segment is the file that a journal appends to.
type segment interface {
	io.WriteSeeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// Journal is the durable log of one replica.
//
// Entries are contiguous and start right after the compaction point. A batch for which Append returned nil survives a
// crash. The newest snapshot is never older than the compaction point. A Journal must be used by one goroutine only,
// except for PrepareSnapshot.
type Journal struct {
	dir      string
	openFile func(path string) (segment, error)
	file     segment
	size     int64 // bytes of the current segment that are known to be durable
	older    int64 // bytes of the earlier segments that are still there
	base     int64 // bytes of the current segment when it was started
	sequence uint64
	identity uint64
	created  bool
	fatalErr error

	state    HardState
	snapshot Snapshot
	first    uint64 // index of entries[0]
	entries  []Entry
}

// Usage is the space in bytes that a journal takes on its disk.
type Usage struct {
	Log      int64 // of all segments
	Growth   int64 // of the log since the last snapshot was installed
	Snapshot int64 // of the data of the newest snapshot
}

// Open opens the journal in dir. It creates the directory and a random identity if they do not exist.
func Open(dir string) (*Journal, error) { return open(dir, uuid.New(), openFile) }

// OpenNamed is like Open, but a new journal gets the identity that IdentityFromName returns for name.
func OpenNamed(dir, name string) (*Journal, error) { return open(dir, uuidFromName(name), openFile) }

// IdentityFromName returns the identity of the first replica with the given name. Any process can compute it.
func IdentityFromName(name string) uint64 { return identityFromUUID(uuidFromName(name)) }

func uuidFromName(name string) uuid.UUID { return uuid.NewSHA1(uuid.NameSpaceURL, []byte(name)) }

func openFile(path string) (segment, error) { return os.OpenFile(path, os.O_RDWR, fileMode) }

func open(dir string, newID uuid.UUID, openFile func(string) (segment, error)) (*Journal, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("create data directory: %w", err)
	}
	j := &Journal{dir: dir, openFile: openFile, first: 1}
	if err := removeTemporary(dir); err != nil {
		return nil, fmt.Errorf("remove temporary files: %w", err)
	}
	if err := j.loadIdentity(newID); err != nil {
		return nil, fmt.Errorf("load identity: %w", err)
	}
	if err := j.loadSnapshot(); err != nil {
		return nil, fmt.Errorf("load snapshot: %w", err)
	}
	if err := j.loadSegments(); err != nil {
		return nil, fmt.Errorf("load segments: %w", err)
	}
	if err := j.syncLoaded(); err != nil {
		return nil, fmt.Errorf("sync what was loaded: %w", err)
	}
	return j, nil
}

// syncLoaded makes durable what was loaded. A process that was killed may have written a record, or renamed a file, without
// a sync; the replica acknowledges what it has loaded.
func (j *Journal) syncLoaded() error {
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	return syncDir(j.dir)
}

// Identity returns the replica's identity, which is permanent for its data directory.
func (j *Journal) Identity() uint64 { return j.identity }

// Created reports whether opening the journal created it, because the data directory had no identity.
func (j *Journal) Created() bool { return j.created }

// State returns the last durable hard state.
func (j *Journal) State() HardState { return j.state }

// Snapshot returns the newest durable snapshot. Its Index is zero if there is none.
func (j *Journal) Snapshot() Snapshot { return j.snapshot }

// Entries returns the entries after the compaction point. The caller must not modify them.
func (j *Journal) Entries() []Entry { return j.entries }

// Usage returns the space that the journal takes.
func (j *Journal) Usage() Usage {
	log := j.older + j.size
	return Usage{Log: log, Growth: log - j.base, Snapshot: int64(len(j.snapshot.Data))}
}

// Append makes b durable. Its entries replace all entries at or after the index of the first.
func (j *Journal) Append(b Batch) error {
	if j.fatalErr != nil {
		return j.fatalErr
	}
	record, err := appendRecords(nil, b)
	if err != nil {
		return fmt.Errorf("encode batch: %w", err)
	}
	if err := j.write(record); err != nil {
		return err
	}
	j.applyBatch(b)
	return nil
}

// write appends record to the segment and syncs it. After a failed write it truncates the file to its durable length.
// After a failed sync the content of the file is unknown, so all later appends fail.
func (j *Journal) write(record []byte) error {
	if _, err := j.file.Write(record); err != nil {
		if truncateErr := j.truncate(); truncateErr != nil {
			j.fatalErr = truncateErr
		}
		return fmt.Errorf("write record: %w", wrapDiskFull(err))
	}
	if err := j.file.Sync(); err != nil {
		j.fatalErr = fmt.Errorf("sync segment: %w", err)
		return j.fatalErr
	}
	j.size += int64(len(record))
	return nil
}

func (j *Journal) truncate() error {
	if err := j.file.Truncate(j.size); err != nil {
		return fmt.Errorf("truncate segment: %w", err)
	}
	if _, err := j.file.Seek(j.size, 0); err != nil {
		return fmt.Errorf("seek segment: %w", err)
	}
	return nil
}

// applyBatch applies a durable batch to the copy in memory.
func (j *Journal) applyBatch(b Batch) {
	j.state = b.State
	for _, e := range b.Entries {
		if e.Index < j.first {
			continue
		}
		if len(j.entries) == 0 || e.Index > j.first+uint64(len(j.entries)) {
			j.first, j.entries = e.Index, nil // a snapshot covers what came before
		}
		if keep := int(e.Index - j.first); keep < len(j.entries) {
			j.entries = append([]Entry(nil), j.entries[:keep]...)
		}
		j.entries = append(j.entries, e)
	}
}

// PrepareSnapshot makes s durable without replacing the current snapshot. Any goroutine may call it, but only one at a
// time.
func (j *Journal) PrepareSnapshot(s Snapshot) error {
	data, err := encoder.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	return writeSynced(j.pendingSnapshotPath(s), withChecksum(data))
}

// pendingSnapshotPath depends on the index, so that a snapshot taken here and one received use different files.
func (j *Journal) pendingSnapshotPath(s Snapshot) string {
	return filepath.Join(j.dir, fmt.Sprintf("%s.%d%s", snapshotFile, s.Index, tempSuffix))
}

// InstallSnapshot replaces the current snapshot by s, which must be prepared, and removes obsolete segments.
func (j *Journal) InstallSnapshot(s Snapshot) error {
	if err := os.Rename(j.pendingSnapshotPath(s), filepath.Join(j.dir, snapshotFile)); err != nil {
		return fmt.Errorf("rename snapshot into place: %w", err)
	}
	if err := syncDir(j.dir); err != nil {
		return err
	}
	j.snapshot = s
	j.compact(s)
	return j.rollSegment()
}

// DropPrepared removes what PrepareSnapshot has written of a snapshot that is not installed.
func (j *Journal) DropPrepared(s Snapshot) error {
	if err := os.Remove(j.pendingSnapshotPath(s)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("remove prepared snapshot: %w", err)
	}
	return nil
}

// SaveSnapshot prepares and installs s.
func (j *Journal) SaveSnapshot(s Snapshot) error {
	if err := j.PrepareSnapshot(s); err != nil {
		return fmt.Errorf("prepare snapshot: %w", err)
	}
	return j.InstallSnapshot(s)
}

// compact drops the entries before the snapshot but for the last ones: at most retainedBeforeSnapshot, with at most
// retainedBytes of data. If the log lacks the snapshot's own entry, it has diverged or is too short, and compact drops all
// entries.
func (j *Journal) compact(s Snapshot) {
	if j.first == s.Index+1 {
		return
	}
	contained := s.Index >= j.first && s.Index-j.first < uint64(len(j.entries))
	if !contained || j.entries[s.Index-j.first].Term != s.Term {
		j.entries = nil
		j.first = s.Index + 1
		return
	}
	from := j.retainedFrom(s.Index)
	if from <= j.first {
		return
	}
	j.entries = append([]Entry(nil), j.entries[from-j.first:]...)
	j.first = from
}

// retainedFrom returns the index of the first entry to retain before a snapshot at index, which is always retained.
func (j *Journal) retainedFrom(index uint64) uint64 {
	from, size := index, 0
	for from > j.first && index-from < retainedBeforeSnapshot {
		size += len(j.entries[from-1-j.first].Data)
		if size > retainedBytes {
			break
		}
		from--
	}
	return from
}

// rollSegment starts a segment with a copy of the hard state and the retained entries, and removes older segments.
func (j *Journal) rollSegment() error {
	old := j.file
	oldSequence := j.sequence
	j.sequence++
	record, err := appendRecords(nil, Batch{State: j.state, Entries: j.entries})
	if err != nil {
		return fmt.Errorf("encode start of segment: %w", err)
	}
	name := fmt.Sprintf(segmentPattern, j.sequence)
	if err := j.writeFileAtomic(name, record); err != nil {
		j.sequence = oldSequence
		return fmt.Errorf("write segment: %w", err)
	}
	if err := j.openSegment(name); err != nil {
		j.fatalErr = err
		return err
	}
	j.base = j.size
	if err := old.Close(); err != nil {
		return fmt.Errorf("close old segment: %w", err)
	}
	if err := j.removeSegmentsBefore(j.sequence); err != nil {
		return err
	}
	j.older = 0
	return nil
}

func (j *Journal) removeSegmentsBefore(sequence uint64) error {
	names, err := j.segmentNames()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name >= fmt.Sprintf(segmentPattern, sequence) {
			continue
		}
		if err := os.Remove(filepath.Join(j.dir, name)); err != nil {
			return fmt.Errorf("remove old segment: %w", err)
		}
	}
	return nil
}

// Close closes the segment file. All acknowledged batches are already durable.
func (j *Journal) Close() error {
	return j.file.Close()
}

func (j *Journal) loadIdentity(newID uuid.UUID) error {
	path := filepath.Join(j.dir, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		j.created = true
		j.identity = identityFromUUID(newID)
		return j.writeFileAtomic(identityFile, []byte(newID.String()))
	}
	if err != nil {
		return fmt.Errorf("read identity: %w", err)
	}
	id, err := uuid.ParseBytes(data)
	if err != nil {
		return fmt.Errorf("parse identity: %w", err)
	}
	j.identity = identityFromUUID(id)
	return nil
}

// identityFromUUID derives a number from a UUID. It is never zero, since zero means "no replica".
func identityFromUUID(id uuid.UUID) uint64 {
	var n uint64
	for _, b := range id[:8] {
		n = n<<8 | uint64(b)
	}
	return n | 1
}

func (j *Journal) loadSnapshot() error {
	data, err := os.ReadFile(filepath.Join(j.dir, snapshotFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	payload, err := verifyChecksum(data)
	if err != nil {
		return &CorruptError{File: snapshotFile}
	}
	if err := encoder.Unmarshal(payload, &j.snapshot); err != nil {
		return fmt.Errorf("parse snapshot: %w", err)
	}
	j.first = j.snapshot.Index + 1
	return nil
}

func (j *Journal) loadSegments() error {
	names, err := j.segmentNames()
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return j.startFirstSegment()
	}
	for i, name := range names {
		// Each segment starts with a copy of what earlier ones hold. An earlier one that is still there, or has come back
		// after a loss of power, adds nothing, and may hold entries that a received snapshot has replaced.
		j.first, j.entries = j.snapshot.Index+1, nil
		if err := j.loadSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	if j.snapshot.Index == 0 {
		return nil
	}
	read := len(j.entries)
	j.compact(j.snapshot)
	if read > 0 && len(j.entries) == 0 {
		return j.rollSegment() // entries that a snapshot replaced must not precede later ones
	}
	return nil
}

func (j *Journal) startFirstSegment() error {
	j.sequence = 1
	name := fmt.Sprintf(segmentPattern, j.sequence)
	if err := j.writeFileAtomic(name, nil); err != nil {
		return fmt.Errorf("start first segment: %w", err)
	}
	return j.openSegment(name)
}

func (j *Journal) loadSegment(name string, last bool) error {
	data, err := os.ReadFile(filepath.Join(j.dir, name))
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	batches, intact, err := readAll(name, data)
	if err != nil {
		return err
	}
	if intact < len(data) && !last {
		return &CorruptError{File: name, Offset: intact}
	}
	for _, b := range batches {
		if !j.continues(b) {
			return &CorruptError{File: name}
		}
		j.replayBatch(b)
	}
	if !last {
		j.older += int64(len(data))
		return nil
	}
	if _, err := fmt.Sscanf(name, segmentPattern, &j.sequence); err != nil {
		return fmt.Errorf("parse segment name %q: %w", name, err)
	}
	if err := j.openSegment(name); err != nil {
		return err
	}
	j.size = int64(intact)
	return j.truncate()
}

// replayBatch applies a batch read from a segment. It keeps entries from before the snapshot, as rollSegment retained
// them.
func (j *Journal) replayBatch(b Batch) {
	if len(j.entries) == 0 && len(b.Entries) > 0 && b.Entries[0].Index < j.first {
		j.first = b.Entries[0].Index
	}
	j.applyBatch(b)
}

// continues reports whether the entries of a batch are numbered without gaps and follow the entries that were read before
// them, or those that the snapshot covers.
func (j *Journal) continues(b Batch) bool {
	for i, e := range b.Entries {
		if e.Index == 0 || e.Index != b.Entries[0].Index+uint64(i) {
			return false
		}
	}
	next := j.snapshot.Index + 1
	if len(j.entries) > 0 {
		next = max(next, j.first+uint64(len(j.entries)))
	}
	return len(b.Entries) == 0 || b.Entries[0].Index <= next
}

func (j *Journal) openSegment(name string) error {
	file, err := j.openFile(filepath.Join(j.dir, name))
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	end, err := file.Seek(0, 2)
	if err != nil {
		return fmt.Errorf("seek segment: %w", err)
	}
	j.file, j.size = file, end
	return nil
}

func (j *Journal) segmentNames() ([]string, error) {
	files, err := os.ReadDir(j.dir)
	if err != nil {
		return nil, fmt.Errorf("list data directory: %w", err)
	}
	var names []string
	for _, f := range files {
		if strings.HasPrefix(f.Name(), segmentPrefix) && !strings.HasSuffix(f.Name(), tempSuffix) {
			names = append(names, f.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}
