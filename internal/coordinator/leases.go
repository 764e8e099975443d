package coordinator

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// clockDrift is the share by which a lease may last longer by a runner's slow clock, as the platform specifies it.
	clockDrift = 0.02
	// leaseMargin covers rounding and the time that a runner needs to end its runs.
	leaseMargin timekeeper.Millis = 300
	// confirmTimeout bounds the wait for a quorum. It ends well before the caller's attempt times out, so that the
	// caller learns that this replica did not accept the call.
	confirmTimeout = locator.AttemptTimeout * 2 / 3
)

// leases tracks until when each worker may hold its runs. It is safe for concurrent use; mu guards the fields below it.
//
// A leader grants a lease only after a quorum has confirmed its leadership, so every lease of an earlier leader was
// granted before this leader took over.
type leases struct {
	duration timekeeper.Millis

	mu          sync.Mutex
	leaderSince timekeeper.Millis            // when this replica became leader
	expiry      map[string]timekeeper.Millis // by worker: when the last lease granted by this leader has ended for certain
	lastCall    map[string]timekeeper.Millis // by worker: when its agent last called
	revoked     map[string]uint64            // by worker: the last epoch that gets no more leases
	runnerDown  map[string]bool              // by worker: its agent said at its last call that the runner does not answer
}

func newLeases(duration timekeeper.Millis) *leases {
	return &leases{
		duration: duration, expiry: map[string]timekeeper.Millis{}, lastCall: map[string]timekeeper.Millis{}, revoked: map[string]uint64{},
		runnerDown: map[string]bool{},
	}
}

// reset starts a leadership at now and forgets the leases of an earlier one.
func (l *leases) reset(now timekeeper.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderSince = now
	clear(l.expiry)
	clear(l.lastCall)
	clear(l.revoked)
	clear(l.runnerDown)
}

// grant records a lease for an attachment and returns its duration. The agent counts it from when it sent its request,
// which was earlier. grant returns false for an attachment that expire has revoked.
func (l *leases) grant(worker string, epoch uint64, now timekeeper.Millis) (timekeeper.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall[worker] = now
	if ended, known := l.revoked[worker]; known && ended >= epoch {
		return 0, false
	}
	l.expiry[worker] = l.latestExpiry(now)
	return l.duration, true
}

// recordCall records a call of the worker's agent, and whether its runner answers the agent.
func (l *leases) recordCall(worker string, now timekeeper.Millis, runnerDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall[worker], l.runnerDown[worker] = now, runnerDown
}

// latestExpiry returns when a lease granted at the given time has ended for certain, even by a slow clock.
func (l *leases) latestExpiry(granted timekeeper.Millis) timekeeper.Millis {
	return granted + l.duration + timekeeper.Millis(clockDrift*float64(l.duration)) + leaseMargin
}

// expire reports whether every lease of the worker has ended for certain. If so, it revokes the attachment, which gets
// no further lease, so that its runs may be declared lost.
func (l *leases) expire(worker string, epoch uint64, now timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, granted := l.expiry[worker]
	if !granted {
		end = l.latestExpiry(l.leaderSince) // an earlier leader may have granted one
	}
	if now <= end {
		return false
	}
	l.revoked[worker] = epoch
	return true
}

// lastContact returns how long ago the worker's agent called, and whether it then said that the runner does not answer.
func (l *leases) lastContact(worker string, now timekeeper.Millis) (silence timekeeper.Millis, runnerDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now - max(l.lastCall[worker], l.leaderSince), l.runnerDown[worker]
}

// silent reports whether the worker's agent has not called for longer than span, or said that the runner does not
// answer.
func (l *leases) silent(worker string, now, span timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runnerDown[worker] || now-max(l.lastCall[worker], l.leaderSince) > span
}
