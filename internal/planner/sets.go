package planner

import (
	"slices"
	"strings"
)

// poolKey is what a demand asks of a worker, its room aside.
type poolKey struct{ service, label string }

// poolList is the rooms that a demand may use, in choices of which an earlier one is taken where it could hold the demand;
// the last one is all of them. It is shared by all demands that ask the same of a worker.
type poolList []workerPool

// workerPool is some rooms, together and by rack.
type workerPool struct {
	workers []*workerState
	racks   [][]*workerState
}

func newWorkerPool(workers []*workerState) workerPool { return workerPool{workers, byRack(workers)} }

// without returns the choice less the rooms that are bad.
func (c workerPool) without(exclude func(*workerState) bool) workerPool {
	return newWorkerPool(slices.DeleteFunc(slices.Clone(c.workers), exclude))
}

// eligiblePools returns the rooms that may hold the tasks of a demand. Where one of them has failed before, the worker on which it
// did is no good for it, nor are those that are suspect: a further failure may be the job's last.
func (b *planBuilder) eligiblePools(d demand) poolList {
	key := poolKey{d.queue.Service, d.step.Label}
	shared, known := b.pools[key]
	if !known {
		shared = b.newEligiblePools(key)
		b.pools[key] = shared
	}
	if !d.hasFailed() {
		return shared
	}
	failedHere := func(w *workerState) bool { return d.failedOn(w.info.Name) }
	risky := func(w *workerState) bool { return w.suspect || failedHere(w) }
	return append(poolList{shared[0].without(risky), shared[0].without(failedHere)}, shared[1:]...)
}

func (b *planBuilder) newEligiblePools(key poolKey) poolList {
	var all []*workerState
	for _, w := range b.workers {
		if w.info.Profile.Service == key.service && hasLabel(w.info, key.label) {
			all = append(all, w)
		}
	}
	every := newWorkerPool(all)
	return poolList{every.without(func(w *workerState) bool { return w.avoid }), every}
}

// placementDomains returns the sets of rooms of which one must hold the whole demand: the racks, for a gang that wants one, and
// else all rooms together; a gang that no rack could ever hold is spread.
func (b *planBuilder) placementDomains(d demand) [][]*workerState {
	set := b.eligiblePools(d)
	if d.step.Gang && d.step.OneRack {
		for _, c := range set {
			if anyRackFits(d, c.racks) {
				return c.racks
			}
		}
	}
	for _, c := range set {
		if fitsWhenIdle(d, c.workers) {
			return [][]*workerState{c.workers}
		}
	}
	return [][]*workerState{set[len(set)-1].workers}
}

// fitsWhenIdle reports whether the demand would fit if nothing else ran.
func fitsWhenIdle(d demand, workers []*workerState) bool {
	remaining := len(d.tasks)
	for _, w := range workers {
		remaining -= capPerWorker(d, d.step.Need.CountIn(w.info.Profile.Capacity, remaining))
		if remaining <= 0 {
			return true
		}
	}
	return remaining <= 0
}

func capPerWorker(d demand, n int) int {
	if limit := d.step.MaxPerWorker; limit > 0 {
		return min(n, limit)
	}
	return n
}

// byRack returns the rooms of each rack, by the rack's name.
func byRack(workers []*workerState) [][]*workerState {
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b *workerState) int { return strings.Compare(a.rack, b.rack) })
	var racks [][]*workerState
	for from, to := 0, 0; from < len(sorted); from = to {
		for to = from + 1; to < len(sorted) && sorted[to].rack == sorted[from].rack; to++ {
		}
		racks = append(racks, sorted[from:to])
	}
	return racks
}

func anyRackFits(d demand, racks [][]*workerState) bool {
	return slices.ContainsFunc(racks, func(rack []*workerState) bool { return fitsWhenIdle(d, rack) })
}
