package distributor

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/controller"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

const (
	followRetryDelay = 100 * time.Millisecond
	lagCheckInterval = 500 * time.Millisecond
)

// errLagging closes a stream that is too far behind the leader's commit index.
var errLagging = errors.New("the followed replica lags behind the leader")

// Follower applies the committed log to a registrar.Machine. One goroutine applies; any may read.
type Follower struct {
	client  *controller.Client
	machine *registrar.Machine
	log     logger.Logger
	seat    int
	lagging atomic.Bool   // the current replica lags
	changed chan struct{} // has capacity 1; signals that the state changed
}

// NewFollower returns a follower of machine that starts with the replica at the given seat.
func NewFollower(client *controller.Client, machine *registrar.Machine, seat int, log logger.Logger) *Follower {
	return &Follower{client: client, machine: machine, seat: seat, log: log, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives after the state has changed. Several changes may give one signal.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// SwitchReplica makes the follower switch to another replica because the current one lags.
func (f *Follower) SwitchReplica() { f.lagging.Store(true) }

// Run follows the log until ctx ends. It switches to another replica whenever a stream fails.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.log.Log(logger.LogStreamLost, logger.F("error", err))
		f.seat++
		select {
		case <-ctx.Done():
		case <-time.After(followRetryDelay):
		}
	}
	return nil
}

func (f *Follower) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.lagging.Store(false)
	stream, err := f.client.Follow(ctx, f.seat, f.machine.State().Index)
	if err != nil {
		return err
	}
	items := make(chan *controller.FollowItem)
	ended := make(chan error, 1)
	go func() { ended <- receive(ctx, stream, items) }()
	lagTicker := time.NewTicker(lagCheckInterval)
	defer lagTicker.Stop()
	for {
		select {
		case item := <-items:
			if err := f.apply(item); err != nil {
				return err
			}
		case err := <-ended:
			return err
		case <-lagTicker.C:
			if f.lagging.Load() {
				return errLagging
			}
		}
	}
}

func receive(ctx context.Context, stream *controller.FollowStream, items chan<- *controller.FollowItem) error {
	for {
		item, err := stream.Next()
		if err != nil {
			return err
		}
		select {
		case items <- item:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply applies the snapshot and entries that are newer than the state, which never goes back.
func (f *Follower) apply(item *controller.FollowItem) error {
	if item.SnapshotIndex > f.machine.State().Index {
		if err := f.machine.Restore(item.SnapshotIndex, item.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range item.Entries {
		if e.Index > f.machine.State().Index {
			f.applyEntry(e.Index, e.Kind, e.Data)
		}
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
	return nil
}

func (f *Follower) applyEntry(index uint64, kind uint8, data []byte) {
	if kind == replicator.EntryCommand {
		f.machine.Apply(index, data)
		return
	}
	f.machine.Skip(index)
}
