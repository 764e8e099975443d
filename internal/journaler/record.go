package journaler

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

const (
	headerBytes    = 8
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Entry is one entry of the replicated log; Index counts from 1.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Kind  uint8  `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint"`
}

// HardState is what a replica must make durable before it responds: its term and its vote in that term.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote uint64 `cbor:"2,keyasint"`
}

// Batch is the content of one record: the hard state after it, and entries that replace all entries at or after the
// index of the first.
type Batch struct {
	State   HardState `cbor:"1,keyasint"`
	Entries []Entry   `cbor:"2,keyasint,omitempty"`
}

// A CorruptError reports that a snapshot is damaged, or that a segment is damaged before intact records, so that
// truncating it would lose acknowledged entries.
type CorruptError struct {
	File   string
	Offset int
}

// Error returns a message with the file and the byte offset of the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal file %s is damaged at byte %d and intact records follow; restore the replica as a new one", e.File, e.Offset)
}

var errBadRecord = errors.New("invalid record")

// splitBytes is the size of the data of a batch's entries above which a batch is written as several records.
const splitBytes = maxRecordBytes / 4

// appendRecords encodes b as one record, or as several if its entries are large.
func appendRecords(dst []byte, b Batch) ([]byte, error) {
	size := 0
	for i, e := range b.Entries {
		if size += len(e.Data); size <= splitBytes || i == 0 {
			continue
		}
		dst, err := appendRecord(dst, Batch{State: b.State, Entries: b.Entries[:i]})
		if err != nil {
			return dst, err
		}
		return appendRecords(dst, Batch{State: b.State, Entries: b.Entries[i:]})
	}
	return appendRecord(dst, b)
}

func appendRecord(dst []byte, b Batch) ([]byte, error) {
	payload, err := encoder.Marshal(b)
	if err != nil {
		return dst, err
	}
	if len(payload) > maxRecordBytes {
		return dst, fmt.Errorf("record of %d bytes exceeds %d", len(payload), maxRecordBytes)
	}
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	dst = append(dst, header[:]...)
	return append(dst, payload...), nil
}

// readRecord decodes the record at the start of data and returns its length in bytes, including the header.
func readRecord(data []byte) (Batch, int, error) {
	var b Batch
	if len(data) < headerBytes {
		return b, 0, errBadRecord
	}
	size := int(binary.LittleEndian.Uint32(data[:4]))
	if size == 0 || size > maxRecordBytes || size > len(data)-headerBytes {
		return b, 0, errBadRecord
	}
	payload := data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:8]) {
		return b, 0, errBadRecord
	}
	if err := encoder.Unmarshal(payload, &b); err != nil {
		return b, 0, fmt.Errorf("%w: %w", errBadRecord, err)
	}
	return b, headerBytes + size, nil
}

// readAll decodes the records of one segment and returns them with the length of the intact prefix in bytes. Only a
// torn record may follow the prefix; readAll returns a CorruptError if an intact record follows a damaged one.
func readAll(name string, data []byte) ([]Batch, int, error) {
	var batches []Batch
	offset := 0
	for offset < len(data) {
		b, n, err := readRecord(data[offset:])
		if err != nil {
			break
		}
		batches = append(batches, b)
		offset += n
	}
	if offset < len(data) && containsIntactRecord(data[offset+1:]) {
		return nil, 0, &CorruptError{File: name, Offset: offset}
	}
	return batches, offset, nil
}

// containsIntactRecord reports whether an intact record starts at any offset of data.
func containsIntactRecord(data []byte) bool {
	for i := range data {
		if _, _, err := readRecord(data[i:]); err == nil {
			return true
		}
	}
	return false
}
