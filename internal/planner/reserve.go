package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// reservedWorkersDivisor bounds the workers that are kept for waiting batch work at once, as one in so many. Kept workers stand
// partly idle until their runs end.
const reservedWorkersDivisor = 2

// reserveEarliest keeps the workers that will first have room for a demand for which nothing is stopped, so that smaller work
// behind it does not take every piece that gets free: a task that needs a whole worker, or a gang that needs a rack,
// would else never begin on a busy day.
func (b *planBuilder) reserveEarliest(d demand) {
	batch := d.rank >= rankBatch
	if d.rank >= rankExpired || batch && b.reservedWorkers >= b.maxReservedWorkers() || !b.countSearch() {
		return
	}
	p := b.earliestPlacement(d)
	if p == nil {
		return
	}
	b.reserve(p)
	if !batch {
		return
	}
	seen := map[*workerState]bool{}
	for _, s := range p {
		if !seen[s.worker] {
			seen[s.worker] = true
			b.reservedWorkers++
		}
	}
}

func (b *planBuilder) maxReservedWorkers() int { return max(len(b.workers)/reservedWorkersDivisor, 1) }

// earliestPlacement finds the place that has room first if nothing else begins there; nil if there is none.
func (b *planBuilder) earliestPlacement(d demand) placement {
	var best placement
	bestAt := timekeeper.Millis(0)
	for _, domain := range b.placementDomains(d) {
		p, at := earliestPlacementOn(d, domain)
		if p != nil && (best == nil || at < bestAt) {
			best, bestAt = p, at
		}
	}
	return best
}

// earliestPlacementOn places each task where it fits first, and returns when the last one does.
func earliestPlacementOn(d demand, workers []*workerState) (placement, timekeeper.Millis) {
	need := d.step.Need
	placed := map[*workerState]int{}
	var p placement
	latest := timekeeper.Millis(0)
	for range d.tasks {
		var best *workerState
		bestAt := timekeeper.Millis(0)
		for _, w := range workers {
			if limit := d.step.MaxPerWorker; limit > 0 && placed[w] >= limit {
				continue
			}
			at, ok := w.earliestFit(need.Times(placed[w] + 1))
			if ok && (best == nil || at < bestAt) {
				best, bestAt = w, at
			}
		}
		if best == nil {
			return nil, 0
		}
		placed[best]++
		p = append(p, taskPlacement{best, need, d.group()})
		latest = max(latest, bestAt)
	}
	return p, latest
}

// release is the expected end of a run, with what that frees.
type release struct {
	after timekeeper.Millis // from now on
	freed modeler.Resources
}

// earliestFit estimates how long it takes until an amount fits into a room, if nothing else begins there.
func (w *workerState) earliestFit(need modeler.Resources) (timekeeper.Millis, bool) {
	free := w.futureFree
	if need.Fits(free) {
		return 0, true
	}
	if !need.Fits(w.info.Profile.Capacity) {
		return 0, false
	}
	for _, e := range w.expectedReleases() {
		free = free.Plus(e.freed)
		if need.Fits(free) {
			return e.after, true
		}
	}
	return 0, false
}

// expectedReleases returns the expected expectedReleases of the room's runs, the first one first.
func (w *workerState) expectedReleases() []release {
	if w.releases != nil {
		return w.releases
	}
	w.releases = make([]release, 0, len(w.runs))
	for _, run := range w.runs {
		if !run.nonPreemptible {
			w.releases = append(w.releases, release{run.remaining, run.run.Need})
		}
	}
	slices.SortFunc(w.releases, func(x, y release) int { return cmp.Compare(x.after, y.after) })
	return w.releases
}
