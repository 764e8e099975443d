package executor

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// attachTimeout bounds one attempt to attach.
	attachTimeout = 3 * time.Second
	// attachPause is the pause before the next attempt.
	attachPause = 100 * time.Millisecond
)

// Executor is the agent beside one runner. It is safe for concurrent use; mu guards what was announced.
type Executor struct {
	worker  string // name of the worker
	process string // incarnation of this agent
	dial    Dialer
	locator *locator.Locator
	log     logger.Logger
	clock   timekeeper.Monotonic

	mu      sync.Mutex
	newest  Announcement
	arrived timekeeper.Millis
	changed chan struct{}
}

// New returns the agent of a worker; process names this incarnation of it.
func New(worker, process string, dial Dialer, l *locator.Locator, log logger.Logger) *Executor {
	return &Executor{worker: worker, process: process, dial: dial, locator: l, log: log, changed: make(chan struct{}, 1)}
}

// Announce takes what the runner says of itself; what an earlier life says, or what was overtaken, is left out.
func (e *Executor) Announce(a Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.newest
	if a.Life.Born < old.Life.Born || a.Life == old.Life && a.Sequence < old.Sequence {
		return
	}
	if a.Life == old.Life {
		a.Draining = a.Draining || old.Draining
		a.Left = old.Left
	}
	e.noteChange(old, a)
	e.newest, e.arrived = a, e.clock.Now()
	if a.Life != old.Life || a.Draining != old.Draining {
		e.signal()
	}
}

func (e *Executor) noteChange(old, a Announcement) {
	if a.Life != old.Life {
		e.log.Log(logger.RunnerReplaced, logger.F("runner", a.Life.ID), logger.F("born", int(a.Life.Born)), logger.F("before", old.Life.ID))
	}
	if a.Draining && (!old.Draining || a.Life != old.Life) {
		e.log.Log(logger.RunnerDraining, logger.F("runner", a.Life.ID), logger.F("left", a.Leaving))
	}
}

// Leave notes that the runner with the given id ends now.
func (e *Executor) Leave(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest.Life.ID != id || e.newest.Left {
		return
	}
	e.newest.Draining, e.newest.Left = true, true
	e.log.Log(logger.RunnerLeft, logger.F("runner", id))
	e.signal()
}

// signal wakes Run; the caller holds mu.
func (e *Executor) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// announced returns the newest announcement and when it arrived.
func (e *Executor) announced() (Announcement, timekeeper.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.arrived
}

// Run attaches to each life of the runner in turn, until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a, arrived := e.announced()
		if a.Life.ID == "" || a.Left {
			e.waitForNews(ctx)
			continue
		}
		epoch, ok := e.attach(ctx, a)
		if !ok {
			continue
		}
		s := newSession(e, a, arrived, epoch)
		s.run(ctx)
	}
	return nil
}

func (e *Executor) waitForNews(ctx context.Context) {
	select {
	case <-e.changed:
	case <-ctx.Done():
	}
}

func (e *Executor) attach(ctx context.Context, a Announcement) (uint64, bool) {
	call, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	r := &coordinator.AttachRequest{Attach: tracker.Attach{
		Worker: e.worker, Life: a.Life, Process: e.process, Profile: a.Profile, Draining: a.Draining,
	}}
	answer, err := locator.Call[coordinator.AttachRequest, coordinator.AttachResponse](call, e.locator, coordinator.MethodAttach, locator.Limits{}, r)
	if err != nil || !answer.Accepted {
		e.log.Log(logger.AttachmentLost, logger.F("runner", a.Life.ID), logger.F("refused", err == nil), logger.F("error", err))
		pause(ctx, attachPause)
		return 0, false
	}
	e.log.Log(logger.RunnerAttached, logger.F("runner", a.Life.ID), logger.F("born", int(a.Life.Born)), logger.F("epoch", answer.Epoch))
	return answer.Epoch, true
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
