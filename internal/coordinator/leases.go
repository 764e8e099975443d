package coordinator

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// clockDrift is how much longer a lease may last by a runner's slow clock, as the platform states it.
	clockDrift = 0.02
	// leaseMargin covers rounding and the time that a runner takes to end what it runs.
	leaseMargin timekeeper.Millis = 300
	// confirmTimeout bounds the wait for a quorum. It ends well before the caller gives this replica up: the caller then
	// knows that the call was not taken.
	confirmTimeout = locator.AttemptTimeout * 2 / 3
)

// leases knows until when each worker may hold its runs. It is safe for concurrent use; mu guards its maps.
//
// A leader grants a lease only after a quorum has confirmed it, so that every lease of an earlier leader was granted
// before this one took over.
type leases struct {
	duration timekeeper.Millis

	mu          sync.Mutex
	leaderSince timekeeper.Millis            // when this replica took the leadership
	expiry      map[string]timekeeper.Millis // by worker, of the last lease granted here
	lastCall    map[string]timekeeper.Millis // by worker, when its agent last called
	revoked     map[string]uint64            // by worker, the attachment that gets no lease any more
}

func newLeases(span timekeeper.Millis) *leases {
	return &leases{
		duration: span, expiry: map[string]timekeeper.Millis{}, lastCall: map[string]timekeeper.Millis{}, revoked: map[string]uint64{},
	}
}

// reset forgets what was granted before this replica led.
func (l *leases) reset(now timekeeper.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderSince = now
	clear(l.expiry)
	clear(l.lastCall)
	clear(l.revoked)
}

// grant notes a lease of an attachment and returns its span; the holder counts it from when it asked, which was
// earlier. It returns false for an attachment that expire has ended.
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

func (l *leases) recordCall(worker string, now timekeeper.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall[worker] = now
}

// latestExpiry returns when a lease granted at a time has ended for certain.
func (l *leases) latestExpiry(granted timekeeper.Millis) timekeeper.Millis {
	return granted + l.duration + timekeeper.Millis(clockDrift*float64(l.duration)) + leaseMargin
}

// expire reports whether every lease of the worker has ended for certain. From then on the attachment gets no other one,
// so that its runs may be given up.
func (l *leases) expire(worker string, epoch uint64, now timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, granted := l.expiry[worker]
	if !granted {
		end = l.latestExpiry(l.leaderSince)
	}
	if now <= end {
		return false
	}
	l.revoked[worker] = epoch
	return true
}

// silent reports whether the worker's agent has not called for a span.
func (l *leases) silent(worker string, now, span timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now-max(l.lastCall[worker], l.leaderSince) > span
}
