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
	retainedBeforeSnapshot = 1024 // entries kept for followers that lag a little
)

// ErrDiskFull tells that an append was not made durable for want of space; the replica must step down.
var ErrDiskFull = errors.New("data folder is full")

// Snapshot is the state machine's content after the entry at Index, with the membership in force there.
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
// Invariants: entries are contiguous and start right after the compaction point; what Append returned nil for
// survives a crash; the newest snapshot is never older than the compaction point. It belongs to one goroutine.
type Journal struct {
	dir      string
	file     segment
	size     int64 // bytes of the current segment that are known durable
	sequence uint64
	identity uint64
	created  bool
	fatalErr error

	state    HardState
	snapshot Snapshot
	first    uint64 // index of entries[0]
	entries  []Entry
}

// Open reads the journal under dir, making the folder and a new identity where it is empty.
func Open(dir string) (*Journal, error) { return open(dir, uuid.New()) }

// OpenAs is Open, but that an empty folder gets the identity that IdentityOf gives for name.
func OpenAs(dir, name string) (*Journal, error) { return open(dir, uuidFromName(name)) }

// IdentityOf returns the identity of the first replica with the given name, which everybody can work out.
func IdentityOf(name string) uint64 { return identityFromUUID(uuidFromName(name)) }

func uuidFromName(name string) uuid.UUID { return uuid.NewSHA1(uuid.NameSpaceURL, []byte(name)) }

func open(dir string, fresh uuid.UUID) (*Journal, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("make data folder: %w", err)
	}
	j := &Journal{dir: dir, first: 1}
	if err := removeTemporary(dir); err != nil {
		return nil, fmt.Errorf("remove unfinished files: %w", err)
	}
	if err := j.loadIdentity(fresh); err != nil {
		return nil, fmt.Errorf("load identity: %w", err)
	}
	if err := j.loadSnapshot(); err != nil {
		return nil, fmt.Errorf("load snapshot: %w", err)
	}
	if err := j.loadSegments(); err != nil {
		return nil, fmt.Errorf("load segments: %w", err)
	}
	return j, nil
}

// Identity returns the replica's identity, which lives as long as its data folder.
func (j *Journal) Identity() uint64 { return j.identity }

// Created reports whether the data folder was empty when the journal was opened.
func (j *Journal) Created() bool { return j.created }

// State returns the hard state last made durable.
func (j *Journal) State() HardState { return j.state }

// Snapshot returns the newest durable snapshot; its Index is zero where there is none.
func (j *Journal) Snapshot() Snapshot { return j.snapshot }

// Entries returns the entries held after the compaction point; the caller must not change them.
func (j *Journal) Entries() []Entry { return j.entries }

// Append makes b durable: entries replace any at or after the first one's index.
func (j *Journal) Append(b Batch) error {
	if j.fatalErr != nil {
		return j.fatalErr
	}
	record, err := appendRecord(nil, b)
	if err != nil {
		return fmt.Errorf("encode batch: %w", err)
	}
	if err := j.write(record); err != nil {
		return err
	}
	j.applyBatch(b)
	return nil
}

// write appends record to the segment and syncs it. After a failed sync the content of the file is unknown, so
// the journal refuses all further work; after a failed write it cuts the file back to its durable length.
func (j *Journal) write(record []byte) error {
	if _, err := j.file.Write(record); err != nil {
		if cutErr := j.truncate(); cutErr != nil {
			j.fatalErr = cutErr
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
		return fmt.Errorf("cut segment: %w", err)
	}
	if _, err := j.file.Seek(j.size, 0); err != nil {
		return fmt.Errorf("seek segment: %w", err)
	}
	return nil
}

// applyBatch brings the in-memory copy in step with a durable batch.
func (j *Journal) applyBatch(b Batch) {
	j.state = b.State
	for _, e := range b.Entries {
		if e.Index < j.first {
			continue
		}
		if len(j.entries) == 0 {
			j.first = e.Index
		}
		if keep := int(e.Index - j.first); keep < len(j.entries) {
			j.entries = append([]Entry(nil), j.entries[:keep]...)
		}
		j.entries = append(j.entries, e)
	}
}

// PrepareSnapshot makes s durable beside the present snapshot; it may run on any goroutine, one at a time.
func (j *Journal) PrepareSnapshot(s Snapshot) error {
	data, err := encoder.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	return writeSynced(j.pendingSnapshotPath(s), withChecksum(data))
}

// pendingSnapshotPath differs by index, so that a snapshot being written here and one received do not meet in one file.
func (j *Journal) pendingSnapshotPath(s Snapshot) string {
	return filepath.Join(j.dir, fmt.Sprintf("%s.%d%s", snapshotFile, s.Index, tempSuffix))
}

// AdoptSnapshot puts the prepared snapshot s in the present one's place and drops the segments it makes needless.
func (j *Journal) AdoptSnapshot(s Snapshot) error {
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

// SaveSnapshot prepares and adopts s.
func (j *Journal) SaveSnapshot(s Snapshot) error {
	if err := j.PrepareSnapshot(s); err != nil {
		return fmt.Errorf("prepare snapshot: %w", err)
	}
	return j.AdoptSnapshot(s)
}

// compact forgets entries well behind the snapshot. Where the log does not hold the snapshot's own entry, it is
// another history or too short, and all of it goes.
func (j *Journal) compact(s Snapshot) {
	held := s.Index >= j.first && s.Index-j.first < uint64(len(j.entries))
	if !held || j.entries[s.Index-j.first].Term != s.Term {
		j.entries = nil
		j.first = s.Index + 1
		return
	}
	if s.Index <= j.first+retainedBeforeSnapshot {
		return
	}
	from := s.Index - retainedBeforeSnapshot
	j.entries = append([]Entry(nil), j.entries[from-j.first:]...)
	j.first = from
}

// rollSegment starts a segment that repeats what is still needed and removes the older ones.
func (j *Journal) rollSegment() error {
	old := j.file
	oldSequence := j.sequence
	j.sequence++
	record, err := appendRecord(nil, Batch{State: j.state, Entries: j.entries})
	if err != nil {
		return fmt.Errorf("encode segment start: %w", err)
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
	if err := old.Close(); err != nil {
		return fmt.Errorf("close old segment: %w", err)
	}
	return j.removeSegmentsBefore(j.sequence)
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

// Close releases the segment file; everything acknowledged is already durable.
func (j *Journal) Close() error {
	return j.file.Close()
}

func (j *Journal) loadIdentity(fresh uuid.UUID) error {
	path := filepath.Join(j.dir, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		j.created = true
		j.identity = identityFromUUID(fresh)
		return j.writeFileAtomic(identityFile, []byte(fresh.String()))
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

// identityFromUUID folds a UUID into a number that is never zero, since zero means "no replica".
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
		if err := j.loadSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	if j.snapshot.Index > 0 {
		j.compact(j.snapshot)
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
		j.replayBatch(b)
	}
	if !last {
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

// replayBatch keeps entries from before the snapshot too, as they were kept when the segment was rolled.
func (j *Journal) replayBatch(b Batch) {
	if len(j.entries) == 0 && len(b.Entries) > 0 && b.Entries[0].Index < j.first {
		j.first = b.Entries[0].Index
	}
	j.applyBatch(b)
}

func (j *Journal) openSegment(name string) error {
	file, err := os.OpenFile(filepath.Join(j.dir, name), os.O_RDWR, fileMode)
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
	found, err := os.ReadDir(j.dir)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, f := range found {
		if strings.HasPrefix(f.Name(), segmentPrefix) && !strings.HasSuffix(f.Name(), tempSuffix) {
			names = append(names, f.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}
