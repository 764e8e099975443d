package coordinator

import (
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// avoidTime is how long a worker is left out after it was found bad.
	avoidTime timekeeper.Millis = 6000
	// badRunLimit is the number of bad runs, with no good one between, after which a worker is avoided.
	badRunLimit = 2
	// immediateFailure is the time within which a run that fails has hardly begun: a worker that fails all that it starts is
	// likelier then than a fault of the task.
	immediateFailure timekeeper.Millis = 250
	// maxAvoidedShare bounds the share of workers that are avoided at once.
	maxAvoidedShare = 0.4
)

// result is how a run ended, as far as that tells something of its worker.
type result struct {
	good bool
	took timekeeper.Millis // zero where it is not known
}

// health is what the leader has seen of a worker. Its zero value is that of one that did nothing wrong.
type health struct {
	badRuns      int               // runs since the last good one
	lastBadRun   timekeeper.Millis // when the last bad run ended
	avoidedUntil timekeeper.Millis // avoided until then
}

// record notes a result and reports whether the worker is avoided from now on. A good run that was under way when the
// last bad one ended says nothing: a worker that fails what it starts may well end what it had started before.
func (h *health) record(r result, now timekeeper.Millis) bool {
	if r.good {
		if r.took > 0 && now-r.took > h.lastBadRun {
			*h = health{}
		}
		return false
	}
	h.lastBadRun = now
	h.badRuns++
	if r.took > 0 && r.took < immediateFailure {
		h.badRuns = max(h.badRuns, badRunLimit)
	}
	if h.badRuns < badRunLimit {
		return false
	}
	h.avoidedUntil = now + avoidTime
	return true
}

// suspect reports whether a run of the worker went wrong lately and none went well since.
func (h *health) suspect(now timekeeper.Millis) bool {
	return h.badRuns > 0 && now-h.lastBadRun < avoidTime
}

// recordResult takes how a run ended on a worker, or that it was taken back as bad; it reports whether the worker is avoided
// from now on.
func (o *observer) recordResult(worker string, r result, now timekeeper.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.workers[worker]
	if h == nil {
		h = &health{}
		o.workers[worker] = h
	}
	return h.record(r, now)
}

// unhealthyWorkers returns the workers to avoid, of which there are not too many, and those that are suspect; the caller holds mu.
func (o *observer) unhealthyWorkers(s tracker.State, now timekeeper.Millis) (avoid, suspect map[string]bool) {
	avoid, suspect = map[string]bool{}, map[string]bool{}
	workers := s.Workers()
	limit := int(maxAvoidedShare * float64(len(workers)))
	for _, w := range workers {
		h := o.workers[w.Name]
		if h == nil {
			continue
		}
		if now < h.avoidedUntil && len(avoid) < limit {
			avoid[w.Name] = true
		}
		if h.suspect(now) {
			suspect[w.Name] = true
		}
	}
	return avoid, suspect
}
