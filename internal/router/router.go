package router

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// crossZonePenalty is the latency assumed for a backend server in another availability zone.
	crossZonePenalty = 2 * time.Millisecond
	// smoothing is the weight of the newest sample in the moving average of latency.
	smoothing = 0.2
	// reportTTL is how long an agent's report of the slots in use by all entries is used.
	reportTTL = 200 * timekeeper.Millis(1)
	// breakerThreshold is the number of consecutive failures that open a backend server's circuit breaker.
	breakerThreshold = 5
	// breakerCooldown is how long an open breaker rejects requests before it admits one as a trial.
	breakerCooldown = 2 * timekeeper.Second
)

// Backend is a backend server and the agent that proxies to it. It is immutable, but its Load is shared by all
// snapshots.
type Backend struct {
	Agent       string
	Incarnation string
	Address     string
	Zone        string
	Slots       int
	Load        *Load
}

// Load is an entry's view of the load and health of a backend server. It is safe for concurrent use; its zero value
// is an idle, healthy server.
type Load struct {
	inFlight       atomic.Int64
	latency        atomic.Uint64 // float64 bits, nanoseconds
	busy           atomic.Int64  // slots in use by all entries, as last reported by the agent
	busyReportedAt atomic.Int64
	failures       atomic.Int32
	openUntil      atomic.Int64
	tripped        atomic.Bool
}

// InFlight returns the number of requests that this entry has in flight at the backend server.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// Begin counts a request as in flight. End or Cancel must follow.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End records that a request ended and how long it took.
func (l *Load) End(took time.Duration) {
	l.inFlight.Add(-1)
	for {
		old := l.latency.Load()
		mean := math.Float64frombits(old)
		if mean == 0 {
			mean = float64(took)
		}
		mean += smoothing * (float64(took) - mean)
		if l.latency.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

// Cancel records that the backend server did not start a request.
func (l *Load) Cancel() { l.inFlight.Add(-1) }

// ReportBusy records the number of slots in use, which the agent reports with each answer.
func (l *Load) ReportBusy(now timekeeper.Millis, busy int64) {
	l.busy.Store(busy)
	l.busyReportedAt.Store(int64(now))
}

// RecordFailure counts a failure and reports whether it opened the breaker for the first time since the last success.
func (l *Load) RecordFailure(now timekeeper.Millis) bool {
	if l.failures.Add(1) < breakerThreshold {
		return false
	}
	l.openUntil.Store(int64(now + breakerCooldown))
	return l.tripped.CompareAndSwap(false, true)
}

// RecordSuccess closes the breaker and reports whether it was open.
func (l *Load) RecordSuccess() bool {
	l.failures.Store(0)
	l.openUntil.Store(0)
	return l.tripped.CompareAndSwap(true, false)
}

// allowRequest reports whether a request may be sent: the breaker is closed, or this request becomes its trial.
func (l *Load) allowRequest(now timekeeper.Millis) bool {
	until := l.openUntil.Load()
	if until == 0 {
		return true
	}
	return int64(now) >= until && l.openUntil.CompareAndSwap(until, int64(now+breakerCooldown))
}

// slotsInUse estimates the slots in use: the agent's report while it is fresh, but at least this entry's own requests.
func (l *Load) slotsInUse(now timekeeper.Millis) int64 {
	own := l.inFlight.Load()
	if now-timekeeper.Millis(l.busyReportedAt.Load()) < reportTTL {
		return max(own, l.busy.Load())
	}
	return own
}

// snapshot lists the backend servers of each service. It is immutable.
type snapshot struct {
	services map[string][]*Backend
	slots    map[string]int
}

// Router chooses backend servers. One goroutine may call Update; any number may call the other methods concurrently,
// which take no locks.
type Router struct {
	zone    string
	clock   timekeeper.Clock
	current atomic.Pointer[snapshot]
}

// New returns a router for an entry in the given availability zone. It has no backend servers until Update.
func New(zone string, clock timekeeper.Clock) *Router {
	r := &Router{zone: zone, clock: clock}
	r.current.Store(&snapshot{})
	return r
}

// Update replaces the snapshot with the backend servers that agents announce. The Load of an agent incarnation that
// was known before is kept.
func (r *Router) Update(agents []registrar.Agent) {
	loads := map[string]*Load{}
	for _, list := range r.current.Load().services {
		for _, b := range list {
			loads[b.Agent+"/"+b.Incarnation] = b.Load
		}
	}
	next := &snapshot{services: map[string][]*Backend{}, slots: map[string]int{}}
	for _, a := range agents {
		if a.Runner == nil || a.Runner.Draining {
			continue
		}
		load := loads[a.ID+"/"+a.Incarnation]
		if load == nil {
			load = &Load{}
		}
		b := &Backend{a.ID, a.Incarnation, a.Address, a.Zone, a.Runner.Slots, load}
		next.services[a.Runner.Service] = append(next.services[a.Runner.Service], b)
		next.slots[a.Runner.Service] += b.Slots
	}
	r.current.Store(next)
}

// Slots returns the total number of slots of a service's backend servers.
func (r *Router) Slots(service string) int { return r.current.Load().slots[service] }

// TotalSlots returns the total number of slots of all backend servers.
func (r *Router) TotalSlots() int {
	total := 0
	for _, n := range r.current.Load().slots {
		total += n
	}
	return total
}

// Pick draws two random backend servers of a service that are not in avoid and returns the one with the shorter
// expected wait, or nil if there is none. Its cost does not depend on the number of requests in flight.
func (r *Router) Pick(service string, avoid []*Backend) *Backend {
	list := r.current.Load().services[service]
	if len(list) == 0 {
		return nil
	}
	now := r.clock.Now()
	var best *Backend
	bestWait := math.Inf(1)
	for range 2 {
		b := r.pickCandidate(list, avoid, now)
		if b == nil {
			break
		}
		if w := r.expectedWait(b, now); w < bestWait {
			best, bestWait = b, w
		}
	}
	return best
}

// pickCandidate scans the list from a random position and returns the first backend server with a free slot whose
// breaker admits the request. If there is none, it returns the first full one, or nil.
func (r *Router) pickCandidate(list []*Backend, avoid []*Backend, now timekeeper.Millis) *Backend {
	start := rand.IntN(len(list))
	var full *Backend
	for i := range list {
		b := list[(start+i)%len(list)]
		if containsAgent(avoid, b) {
			continue
		}
		if b.Load.slotsInUse(now) >= int64(b.Slots) {
			if full == nil {
				full = b
			}
			continue
		}
		if b.Load.allowRequest(now) {
			return b
		}
	}
	return full
}

func containsAgent(list []*Backend, b *Backend) bool {
	for _, o := range list {
		if o.Agent == b.Agent {
			return true
		}
	}
	return false
}

// expectedWait estimates, in nanoseconds, how long a request to b takes: its mean latency times the load per slot,
// plus the penalty for another zone.
func (r *Router) expectedWait(b *Backend, now timekeeper.Millis) float64 {
	latency := math.Float64frombits(b.Load.latency.Load())
	wait := (latency + float64(time.Millisecond)) * float64(b.Load.slotsInUse(now)+1) / float64(max(b.Slots, 1))
	if b.Zone != r.zone {
		wait += float64(crossZonePenalty)
	}
	return wait
}
