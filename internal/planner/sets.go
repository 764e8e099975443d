package planner

import (
	"slices"
	"strings"
)

// poolKey holds the service and label that a demand requires of its workers.
type poolKey struct{ service, label string }

// poolList holds the workers that a demand may use as pools in order of preference: the first pool that could hold the
// demand in time is used. The last pool is all eligible workers. Demands with the same poolKey share a list.
type poolList []workerPool

// all returns the pool of all eligible workers, avoided and suspect ones included.
func (l poolList) all() workerPool { return l[len(l)-1] }

// workerPool is a set of workers, also grouped by rack.
type workerPool struct {
	workers []*workerState
	racks   [][]*workerState
}

func newWorkerPool(workers []*workerState) workerPool { return workerPool{workers, byRack(workers)} }

// without returns the pool without the workers for which exclude reports true.
func (p workerPool) without(exclude func(*workerState) bool) workerPool {
	return newWorkerPool(slices.DeleteFunc(slices.Clone(p.workers), exclude))
}

// eligiblePools returns the pools for a demand. If one of its tasks has failed before, it prefers workers that are
// neither suspect nor the one that the task failed on, since another failure may be the job's last.
func (b *planBuilder) eligiblePools(d demand) poolList {
	pools := b.poolsOf(poolKey{d.queue.Service, d.step.Label})
	if !d.hasFailed() {
		return pools
	}
	failedHere := func(w *workerState) bool { return d.failedOn(w.info.Name) }
	risky := func(w *workerState) bool { return w.suspect || failedHere(w) }
	return append(poolList{pools[0].without(risky), pools[0].without(failedHere)}, pools[1:]...)
}

func (b *planBuilder) poolsOf(key poolKey) poolList {
	pools, known := b.pools[key]
	if !known {
		pools = b.newEligiblePools(key)
		b.pools[key] = pools
	}
	return pools
}

func (b *planBuilder) newEligiblePools(key poolKey) poolList {
	var all []*workerState
	for _, w := range b.workers {
		if w.info.Profile.Service == key.service && w.info.Profile.HasLabel(key.label) {
			all = append(all, w)
		}
	}
	eligible := newWorkerPool(all)
	return poolList{eligible.without(func(w *workerState) bool { return w.avoided }), eligible}
}

// placementDomains returns sets of workers, one of which must hold the whole demand: the racks of a pool for a gang
// that requires one rack, or else a pool as a whole. A gang that no rack could hold in time is spread across racks.
func (b *planBuilder) placementDomains(d demand) [][]*workerState {
	pools := b.eligiblePools(d)
	if d.step.Gang && d.step.OneRack {
		for _, p := range pools {
			if anyRackFits(d, p.racks) {
				return p.racks
			}
		}
	}
	for _, p := range pools {
		if fitsInTime(d, p.workers) {
			return [][]*workerState{p.workers}
		}
	}
	return [][]*workerState{pools[len(pools)-1].workers}
}

// fitsInTime reports whether the demand would fit if nothing ran but long-running tasks that are not stopped for it.
func fitsInTime(d demand, workers []*workerState) bool {
	remaining := len(d.tasks)
	for _, w := range workers {
		remaining -= capPerWorker(d, d.step.Need.FitCount(w.roomInTime(d), remaining))
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

// byRack groups workers by rack, sorted by the rack's name.
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
	return slices.ContainsFunc(racks, func(rack []*workerState) bool { return fitsInTime(d, rack) })
}
