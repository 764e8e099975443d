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
	// attachTimeout bounds one attempt to attach to the leader.
	attachTimeout = 3 * time.Second
	// attachRetryDelay is the pause after a failed attempt to attach.
	attachRetryDelay = 100 * time.Millisecond
)

// Executor is the agent of one runner. It is safe for concurrent use; mu guards announcement and announcedAt.
type Executor struct {
	worker  string // name of the worker
	process string // identifies this incarnation of the agent
	dial    Dialer
	locator *locator.Locator
	log     logger.Logger
	clock   timekeeper.Monotonic

	mu           sync.Mutex
	announcement Announcement
	announcedAt  timekeeper.Millis
	changed      chan struct{}
}

// New returns the agent of a worker. The process argument identifies this incarnation of the agent.
func New(worker, process string, dial Dialer, l *locator.Locator, log logger.Logger) *Executor {
	return &Executor{worker: worker, process: process, dial: dial, locator: l, log: log, changed: make(chan struct{}, 1)}
}

// HandleAnnouncement processes an announcement of the runner. It ignores announcements of an earlier incarnation and
// those that arrive out of order.
func (e *Executor) HandleAnnouncement(a Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.announcement
	if a.Incarnation.StartedAt < old.Incarnation.StartedAt || a.Incarnation == old.Incarnation && a.Sequence < old.Sequence {
		return
	}
	if a.Incarnation == old.Incarnation {
		a.Draining = a.Draining || old.Draining
		a.Deregistered = old.Deregistered
	}
	e.logChange(old, a)
	e.announcement, e.announcedAt = a, e.clock.Now()
	if a.Incarnation != old.Incarnation || a.Draining != old.Draining {
		e.signal()
	}
}

func (e *Executor) logChange(old, a Announcement) {
	if a.Incarnation != old.Incarnation {
		e.log.Log(logger.RunnerRestarted, logger.F("runner", a.Incarnation.ID), logger.F("born", int(a.Incarnation.StartedAt)), logger.F("before", old.Incarnation.ID))
	}
	if a.Draining && (!old.Draining || a.Incarnation != old.Incarnation) {
		e.log.Log(logger.RunnerDraining, logger.F("runner", a.Incarnation.ID), logger.F("left", a.DrainTimeLeft))
	}
}

// Deregister records that the runner with the given id is terminating.
func (e *Executor) Deregister(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announcement.Incarnation.ID != id || e.announcement.Deregistered {
		return
	}
	e.announcement.Draining, e.announcement.Deregistered = true, true
	e.log.Log(logger.RunnerDeregistered, logger.F("runner", id))
	e.signal()
}

// signal wakes Run or the running session. The caller holds mu.
func (e *Executor) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// lastAnnouncement returns the newest announcement and the time at which it arrived.
func (e *Executor) lastAnnouncement() (Announcement, timekeeper.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announcement, e.announcedAt
}

// Run attaches to the leader on behalf of each incarnation of the runner in turn. It returns when ctx is done.
func (e *Executor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a, arrived := e.lastAnnouncement()
		if a.Incarnation.ID == "" || a.Deregistered {
			e.waitForChange(ctx)
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

func (e *Executor) waitForChange(ctx context.Context) {
	select {
	case <-e.changed:
	case <-ctx.Done():
	}
}

func (e *Executor) attach(ctx context.Context, a Announcement) (uint64, bool) {
	call, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	r := &coordinator.AttachRequest{Attach: tracker.Attach{
		Worker: e.worker, Incarnation: a.Incarnation, AgentProcess: e.process, Profile: a.Profile, Draining: a.Draining,
	}}
	answer, err := locator.Call[coordinator.AttachRequest, coordinator.AttachResponse](call, e.locator, coordinator.MethodAttach, locator.Limits{}, r)
	if err != nil || !answer.Accepted {
		e.log.Log(logger.AttachmentLost, logger.F("runner", a.Incarnation.ID), logger.F("refused", err == nil), logger.F("error", err))
		sleep(ctx, attachRetryDelay)
		return 0, false
	}
	e.log.Log(logger.RunnerAttached, logger.F("runner", a.Incarnation.ID), logger.F("born", int(a.Incarnation.StartedAt)), logger.F("epoch", answer.Epoch))
	return answer.Epoch, true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
