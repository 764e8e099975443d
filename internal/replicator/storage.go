package replicator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

const (
	// maxLogGrowth is the number of bytes by which the log grows at most before a snapshot is taken.
	maxLogGrowth = 16 << 20
	// growthDivisor divides a disk: a log takes this part of it at most between two snapshots.
	growthDivisor = 8
	// spareDivisor divides a disk: this part of it is left for what is written while a snapshot is taken.
	spareDivisor = 10
	// diskFullRetryDelay is the delay before a write that failed on a full disk is retried.
	diskFullRetryDelay = 200 * time.Millisecond
)

// storage weighs the space that the journal takes against its disk. Any goroutine may use it; set is for the node's.
type storage struct {
	diskBytes int64 // zero if it is unknown
	maxGrowth int64 // of the log between two snapshots
	usage     *atomic.Pointer[journaler.Usage]
	full      *logger.Throttle // bounds the lines about refused writes
	short     *logger.Throttle // bounds the lines about lack of room
}

func newStorage(diskBytes int64, usage journaler.Usage) storage {
	s := storage{diskBytes: diskBytes, maxGrowth: maxLogGrowth, usage: &atomic.Pointer[journaler.Usage]{}, full: &logger.Throttle{}, short: &logger.Throttle{}}
	if diskBytes > 0 {
		s.maxGrowth = min(maxLogGrowth, diskBytes/growthDivisor)
	}
	s.usage.Store(&usage)
	return s
}

func (s storage) set(usage journaler.Usage) {
	if *s.usage.Load() != usage {
		s.usage.Store(&usage)
	}
}

func (s storage) snapshotDue() bool { return s.usage.Load().Growth >= s.maxGrowth }

// hasRoom reports whether the disk has room for the next snapshot beside the present one, and for the segment that
// follows it.
func (s storage) hasRoom() bool {
	if s.diskBytes == 0 {
		return true
	}
	u := s.usage.Load()
	next := u.Snapshot + u.Growth // all that was added since the last snapshot may belong to the state
	retained := u.Log - u.Growth
	return u.Log+u.Snapshot+next+retained <= s.diskBytes-s.diskBytes/spareDivisor
}

func (s storage) fields() []logger.Field {
	u := s.usage.Load()
	return []logger.Field{
		logger.F("log", u.Log), logger.F("growth", u.Growth), logger.F("snapshot", u.Snapshot), logger.F("disk", s.diskBytes),
	}
}

// HasRoom reports whether the disk has room for more state. If it returns false, the caller should refuse what would
// add to the state. Any goroutine may call it.
func (n *Node) HasRoom() bool {
	if n.storage.hasRoom() {
		return true
	}
	n.storage.short.Log(n.log, logger.StorageShort, n.storage.fields()...)
	return false
}

// StorageUsage returns the space that the journal takes on its disk. Any goroutine may call it.
func (n *Node) StorageUsage() journaler.Usage { return *n.storage.usage.Load() }

// writeWithRetry retries a write while the disk is full. The replica does nothing else meanwhile, so that another
// replica becomes the leader.
func (n *Node) writeWithRetry(ctx context.Context, what string, write func() error) error {
	for {
		err := write()
		if !errors.Is(err, journaler.ErrDiskFull) {
			return err
		}
		n.logRefusedWrite(what, err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(diskFullRetryDelay):
		}
	}
}

func (n *Node) logRefusedWrite(what string, err error) {
	fields := append(n.storage.fields(), logger.F("write", what), logger.F("error", err))
	n.storage.full.Log(n.log, logger.StorageFull, fields...)
}
