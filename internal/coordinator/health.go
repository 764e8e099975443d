package coordinator

import (
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// avoidTime is how long a worker is avoided, counted from its last bad run.
	avoidTime timekeeper.Millis = 6000
	// badRunLimit is the number of bad runs, without a good one in between, at which a worker is avoided.
	badRunLimit = 2
	// immediateFailure is the duration below which a failed run reaches badRunLimit by itself: it points to a worker
	// that fails every run rather than to a fault of the task.
	immediateFailure timekeeper.Millis = 250
	// maxAvoidedShare bounds the share of workers that are avoided at the same time.
	maxAvoidedShare = 0.4
)

// result is the outcome of a run as evidence about its worker.
type result struct {
	good    bool
	runTime timekeeper.Millis // zero if unknown
}

// health is the leader's record of a worker's bad runs. The zero value is that of a worker without any.
type health struct {
	badRuns      int               // since the last good run
	lastBadRun   timekeeper.Millis // when it ended
	avoidedUntil timekeeper.Millis // zero if it was never avoided
}

// record adds a result and reports whether it causes the worker to be avoided. A good run is ignored unless it started
// after the last bad one ended: a worker that fails every new run may still complete the runs that it started before.
func (h *health) record(r result, now timekeeper.Millis) bool {
	if r.good {
		if r.runTime > 0 && now-r.runTime > h.lastBadRun {
			*h = health{}
		}
		return false
	}
	h.lastBadRun = now
	h.badRuns++
	if r.runTime > 0 && r.runTime < immediateFailure {
		h.badRuns = max(h.badRuns, badRunLimit)
	}
	if h.badRuns < badRunLimit {
		return false
	}
	h.avoidedUntil = now + avoidTime
	return true
}

// suspect reports whether the worker had a bad run within avoidTime and no good one since.
func (h *health) suspect(now timekeeper.Millis) bool {
	return h.badRuns > 0 && now-h.lastBadRun < avoidTime
}

// recordResult adds the result of a run that ended on a worker, or that the leader stopped for lack of progress. It
// reports whether the result causes the worker to be avoided.
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

// unhealthyWorkers returns the avoided workers, at most maxAvoidedShare of all, and the suspect ones. The caller holds
// mu.
func (o *observer) unhealthyWorkers(s tracker.State, now timekeeper.Millis) (avoided, suspect map[string]bool) {
	avoided, suspect = map[string]bool{}, map[string]bool{}
	workers := s.Workers()
	limit := int(maxAvoidedShare * float64(len(workers)))
	for _, w := range workers {
		h := o.workers[w.Name]
		if h == nil {
			continue
		}
		if now < h.avoidedUntil && len(avoided) < limit {
			avoided[w.Name] = true
		}
		if h.suspect(now) {
			suspect[w.Name] = true
		}
	}
	return avoided, suspect
}
