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
	confirmTimeout = locator.TryTimeout * 2 / 3
)

// leases knows until when each worker may hold its runs. It is safe for concurrent use; mu guards its maps.
//
// A leader grants a lease only after a quorum has confirmed it, so that every lease of an earlier leader was granted
// before this one took over.
type leases struct {
	span timekeeper.Millis

	mu    sync.Mutex
	taken timekeeper.Millis            // when this replica took the leadership
	ends  map[string]timekeeper.Millis // by worker, of the last lease granted here
	heard map[string]timekeeper.Millis // by worker, when its agent last called
	over  map[string]uint64            // by worker, the attachment that gets no lease any more
}

func newLeases(span timekeeper.Millis) *leases {
	return &leases{
		span: span, ends: map[string]timekeeper.Millis{}, heard: map[string]timekeeper.Millis{}, over: map[string]uint64{},
	}
}

// takeOver forgets what was granted before this replica led.
func (l *leases) takeOver(now timekeeper.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken = now
	clear(l.ends)
	clear(l.heard)
	clear(l.over)
}

// grant notes a lease of an attachment and returns its span; the holder counts it from when it asked, which was
// earlier. It returns false for an attachment that expire has ended.
func (l *leases) grant(worker string, epoch uint64, now timekeeper.Millis) (timekeeper.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[worker] = now
	if ended, known := l.over[worker]; known && ended >= epoch {
		return 0, false
	}
	l.ends[worker] = l.longest(now)
	return l.span, true
}

func (l *leases) hear(worker string, now timekeeper.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[worker] = now
}

// longest returns when a lease granted at a time has ended for certain.
func (l *leases) longest(granted timekeeper.Millis) timekeeper.Millis {
	return granted + l.span + timekeeper.Millis(clockDrift*float64(l.span)) + leaseMargin
}

// expire reports whether every lease of the worker has ended for certain. From then on the attachment gets no other one,
// so that its runs may be given up.
func (l *leases) expire(worker string, epoch uint64, now timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, granted := l.ends[worker]
	if !granted {
		end = l.longest(l.taken)
	}
	if now <= end {
		return false
	}
	l.over[worker] = epoch
	return true
}

// silent reports whether the worker's agent has not called for a span.
func (l *leases) silent(worker string, now, span timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now-max(l.heard[worker], l.taken) > span
}
