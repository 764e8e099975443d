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
	// crossZone is the delay that a backend server in another availability zone is taken to add.
	crossZone = 2 * time.Millisecond
	// smoothing is the weight of the newest latency.
	smoothing = 0.2
	// reportFades is the time after which another entry's use of a backend server, as its agent last told, no
	// longer counts.
	reportFades = 200 * timekeeper.Millis(1)
	// breakAfter is the number of failures in a row that open a backend server's breaker.
	breakAfter = 5
	// breakFor is how long an open breaker keeps requests away before one is let through as a trial.
	breakFor = 2 * timekeeper.Second
)

// Backend is a backend server behind its agent. It is immutable; its Load is shared by all snapshots.
type Backend struct {
	Agent       string
	Incarnation string
	Address     string
	Zone        string
	Slots       int
	Load        *Load
}

// Load is what an entry has learnt of a backend server; its fields are atomics, its zero value is unloaded.
type Load struct {
	inFlight   atomic.Int64
	latency    atomic.Uint64 // float64 bits, nanoseconds
	busy       atomic.Int64  // slots in use by anyone, as the agent last told
	busyAt     atomic.Int64
	failures   atomic.Int32
	openUntil  atomic.Int64
	brokenOnce atomic.Bool
}

// InFlight returns the requests that this entry has at the backend server.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// Begin notes a request handed over.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End notes the end of a request and how long it took.
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

// Cancel notes that a request handed over was not started.
func (l *Load) Cancel() { l.inFlight.Add(-1) }

// ReportBusy notes the slots in use as the agent tells them with an answer.
func (l *Load) ReportBusy(now timekeeper.Millis, busy int64) {
	l.busy.Store(busy)
	l.busyAt.Store(int64(now))
}

// RecordFailure counts a failure and reports whether the breaker has opened with it.
func (l *Load) RecordFailure(now timekeeper.Millis) bool {
	if l.failures.Add(1) < breakAfter {
		return false
	}
	l.openUntil.Store(int64(now + breakFor))
	return l.brokenOnce.CompareAndSwap(false, true)
}

// RecordSuccess closes the breaker and reports whether it was open.
func (l *Load) RecordSuccess() bool {
	l.failures.Store(0)
	l.openUntil.Store(0)
	return l.brokenOnce.CompareAndSwap(true, false)
}

// allowed reports whether a request may go there: the breaker is closed, or this request is its trial.
func (l *Load) allowed(now timekeeper.Millis) bool {
	until := l.openUntil.Load()
	if until == 0 {
		return true
	}
	return int64(now) >= until && l.openUntil.CompareAndSwap(until, int64(now+breakFor))
}

// used returns the slots that are taken to be in use now.
func (l *Load) used(now timekeeper.Millis) int64 {
	own := l.inFlight.Load()
	if now-timekeeper.Millis(l.busyAt.Load()) < reportFades {
		return max(own, l.busy.Load())
	}
	return own
}

// snapshot lists the backend servers of each service. It is immutable.
type snapshot struct {
	services map[string][]*Backend
	slots    map[string]int
}

// Router chooses backend servers. One goroutine updates it; any number choose, without locks.
type Router struct {
	zone    string
	clock   timekeeper.Clock
	current atomic.Pointer[snapshot]
}

// New returns a router without backend servers for an entry in the given availability zone.
func New(zone string, clock timekeeper.Clock) *Router {
	r := &Router{zone: zone, clock: clock}
	r.current.Store(&snapshot{})
	return r
}

// Update replaces the snapshot by what agents announce, keeping what was learnt of the same agent process.
func (r *Router) Update(agents []registrar.Agent) {
	known := map[string]*Load{}
	for _, list := range r.current.Load().services {
		for _, b := range list {
			known[b.Agent+"/"+b.Incarnation] = b.Load
		}
	}
	next := &snapshot{services: map[string][]*Backend{}, slots: map[string]int{}}
	for _, a := range agents {
		if a.Runner == nil || a.Runner.Leaving {
			continue
		}
		load := known[a.ID+"/"+a.Incarnation]
		if load == nil {
			load = &Load{}
		}
		b := &Backend{a.ID, a.Incarnation, a.Address, a.Zone, a.Runner.Slots, load}
		next.services[a.Runner.Service] = append(next.services[a.Runner.Service], b)
		next.slots[a.Runner.Service] += b.Slots
	}
	r.current.Store(next)
}

// Slots returns the slots of all backend servers of a service.
func (r *Router) Slots(service string) int { return r.current.Load().slots[service] }

// TotalSlots returns the slots of all backend servers.
func (r *Router) TotalSlots() int {
	total := 0
	for _, n := range r.current.Load().slots {
		total += n
	}
	return total
}

// Pick returns the better of two random backend servers of a service that are not in avoid, by expected wait; nil
// where there is none. Its cost does not depend on what is in flight.
func (r *Router) Pick(service string, avoid []*Backend) *Backend {
	list := r.current.Load().services[service]
	if len(list) == 0 {
		return nil
	}
	now := r.clock.Now()
	var best *Backend
	bestWait := math.Inf(1)
	for range 2 {
		b := r.candidate(list, avoid, now)
		if b == nil {
			break
		}
		if w := r.wait(b, now); w < bestWait {
			best, bestWait = b, w
		}
	}
	return best
}

// candidate returns the first usable backend server from a random place on, one with a free slot if there is any.
func (r *Router) candidate(list []*Backend, avoid []*Backend, now timekeeper.Millis) *Backend {
	start := rand.IntN(len(list))
	var full *Backend
	for i := range list {
		b := list[(start+i)%len(list)]
		if contains(avoid, b) {
			continue
		}
		if b.Load.used(now) >= int64(b.Slots) {
			if full == nil {
				full = b
			}
			continue
		}
		if b.Load.allowed(now) {
			return b
		}
	}
	return full
}

func contains(list []*Backend, b *Backend) bool {
	for _, o := range list {
		if o.Agent == b.Agent {
			return true
		}
	}
	return false
}

// wait estimates how long a request takes there: its mean latency times the work per slot, and the way.
func (r *Router) wait(b *Backend, now timekeeper.Millis) float64 {
	latency := math.Float64frombits(b.Load.latency.Load())
	wait := (latency + float64(time.Millisecond)) * float64(b.Load.used(now)+1) / float64(max(b.Slots, 1))
	if b.Zone != r.zone {
		wait += float64(crossZone)
	}
	return wait
}
