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

// Executor is the agent of one runner. It is safe for concurrent use; mu guards the fields below it, except the
// channels.
type Executor struct {
	worker  string // name of the worker
	process string // identifies this incarnation of the agent
	dial    Dialer
	locator *locator.Locator
	log     logger.Logger
	clock   timekeeper.Monotonic

	unconfirmed logger.Throttle // of lines about candidates

	mu           sync.Mutex
	announcement Announcement // last one accepted of the current incarnation; zero if there is none
	announcedAt  timekeeper.Millis
	confirmed    bool // the runner has confirmed that it is the current incarnation
	sequence     sequence
	candidate    Announcement // of an incarnation that the runner has not been asked about yet; zero if there is none
	candidateAt  timekeeper.Millis
	epoch        uint64        // of the last attachment; zero if there was none
	changed      chan struct{} // wakes Run or the running session
	candidates   chan struct{} // wakes confirmCandidates
}

// New returns the agent of a worker. The process argument identifies this incarnation of the agent.
func New(worker, process string, dial Dialer, l *locator.Locator, log logger.Logger) *Executor {
	return &Executor{worker: worker, process: process, dial: dial, locator: l, log: log, changed: make(chan struct{}, 1), candidates: make(chan struct{}, 1)}
}

// HandleAnnouncement processes an announcement of the runner. It ignores announcements that arrive out of order. One of
// another incarnation becomes the candidate, which takes effect once the runner itself confirms it: the announcement may
// be a delayed one of an earlier incarnation, or come from another sender.
func (e *Executor) HandleAnnouncement(a Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.announcement
	if a.Incarnation != old.Incarnation || old.disprovedBy(a) {
		e.candidate, e.candidateAt = a, e.clock.Now()
		wake(e.candidates)
		return
	}
	if !e.sequence.accept(a.Sequence) {
		return
	}
	a.Draining = a.Draining || old.Draining
	a.Deregistered = old.Deregistered
	e.logChange(old, a)
	e.announcement, e.announcedAt = a, e.clock.Now()
	if a.Draining != old.Draining {
		wake(e.changed)
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

// Deregister records that an incarnation of the runner is terminating. A start time of zero stands for any.
func (e *Executor) Deregister(i tracker.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.announcement
	if current.Incarnation.ID != i.ID || i.StartedAt != 0 && i.StartedAt != current.Incarnation.StartedAt || current.Deregistered {
		return
	}
	e.announcement.Deregistered = true
	e.log.Log(logger.RunnerDeregistered, logger.F("runner", i.ID))
	wake(e.changed)
}

// wake wakes the receiver of a channel with a buffer of one.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.confirmCandidates(ctx)
	}()
	defer func() { <-ended }()
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
		Worker: e.worker, Incarnation: a.Incarnation, AgentProcess: e.process, Profile: a.Profile, Draining: a.Draining, Confirmed: e.isConfirmed(a.Incarnation),
	}}
	answer, err := locator.Call[coordinator.AttachRequest, coordinator.AttachResponse](call, e.locator, coordinator.MethodAttach, locator.Limits{}, r)
	if err != nil || !answer.Accepted {
		e.log.Log(logger.AttachmentLost, logger.F("runner", a.Incarnation.ID), logger.F("refused", err == nil), logger.F("error", err))
		if err == nil {
			e.refute(a.Incarnation) // the next announcement starts over
		}
		sleep(ctx, attachRetryDelay)
		return 0, false
	}
	e.setEpoch(answer.Epoch)
	e.log.Log(logger.RunnerAttached, logger.F("runner", a.Incarnation.ID), logger.F("born", int(a.Incarnation.StartedAt)), logger.F("epoch", answer.Epoch))
	return answer.Epoch, true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
