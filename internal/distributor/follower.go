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
	followPause = 100 * time.Millisecond
	lagCheck    = 500 * time.Millisecond
)

// errLagging ends a stream that stays behind what the leader says is committed.
var errLagging = errors.New("the replica followed is behind the leader")

// Follower keeps a registrar.Machine in step with the committed log. One goroutine applies; any may read.
type Follower struct {
	client  *controller.Client
	machine *registrar.Machine
	log     logger.Logger
	seat    int
	lagging atomic.Bool
	changed chan struct{} // holds one token after a change
}

// NewFollower returns a follower that starts at the seat with the given number.
func NewFollower(client *controller.Client, machine *registrar.Machine, seat int, log logger.Logger) *Follower {
	return &Follower{client: client, machine: machine, seat: seat, log: log, changed: make(chan struct{}, 1)}
}

// Changed receives after the state has changed, once for any number of changes.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// GoElsewhere makes the follower leave a replica that lags.
func (f *Follower) GoElsewhere() { f.lagging.Store(true) }

// Run follows until ctx ends, going to another replica whenever a stream fails.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.log.Log(logger.FollowLost, logger.F("error", err))
		f.seat++
		select {
		case <-ctx.Done():
		case <-time.After(followPause):
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
	watch := time.NewTicker(lagCheck)
	defer watch.Stop()
	for {
		select {
		case item := <-items:
			if err := f.take(item); err != nil {
				return err
			}
		case err := <-ended:
			return err
		case <-watch.C:
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

// take applies what is newer than the state; nothing ever goes back.
func (f *Follower) take(item *controller.FollowItem) error {
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
