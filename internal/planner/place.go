package planner

import (
	"cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// taskPlacement assigns one task to a worker.
type taskPlacement struct {
	worker *workerState
	need   modeler.Resources
	group  groupKey
}

// placement holds the placement of each task of a demand, in the order of its tasks.
type placement []taskPlacement

// resourceView returns the resources of a worker that a placement may use: currentFree, backfillFree, futureFree or
// freeForStanding.
type resourceView func(*workerState) modeler.Resources

func currentFree(w *workerState) modeler.Resources  { return w.free }
func backfillFree(w *workerState) modeler.Resources { return w.freeForBackfill }
func futureFree(w *workerState) modeler.Resources   { return w.futureFree }

// fitKey holds all that decides whether a demand fits. If a demand does not fit, neither does a later one of the same
// plan with an equal key, since free resources only shrink.
type fitKey struct {
	service, label string
	need           modeler.Resources
	tasks          int
	gang, oneRack  bool
}

// newFitKey returns the key of a demand, and whether the key decides whether it fits.
func newFitKey(d demand) (key fitKey, cacheable bool) {
	step := d.step
	key = fitKey{d.queue.Service, step.Label, step.Need, len(d.tasks), step.Gang, step.OneRack}
	return key, step.MaxPerWorker == 0 && !d.hasFailed()
}

// placeNow places a demand on resources that are free now: on those that are left to it, or, if it may backfill or its job
// has stood beside room for too long, on any that are not reserved firmly.
func (b *planBuilder) placeNow(d demand) (placement, bool) {
	p, ok := b.placeFree(d)
	if ok || !b.mayOvertake(d) {
		return p, ok
	}
	if b.mayBackfill(d) {
		if p, ok = b.placeBackfill(d); ok {
			return p, ok
		}
	}
	return b.placeStanding(d)
}

// placeFree places a demand on resources that are neither reserved nor part of the headroom. It fails at once for a
// demand like one that did not fit earlier in this plan.
func (b *planBuilder) placeFree(d demand) (placement, bool) {
	if b.mustLeaveHeadroom(d) {
		return nil, false
	}
	key, cacheable := newFitKey(d)
	if cacheable && b.unplaceable[key] {
		return nil, false
	}
	p, ok := b.place(d, currentFree)
	if !ok && cacheable {
		b.unplaceable[key] = true
	}
	return p, ok
}

// place places all tasks of a demand in the domain with the least free resources that holds them.
func (b *planBuilder) place(d demand, view resourceView) (placement, bool) {
	return placeIn(d, b.placementDomains(d), view)
}

func placeIn(d demand, domains [][]*workerState, view resourceView) (placement, bool) {
	var best placement
	bestFree := 0
	for _, domain := range domains {
		p, ok := pack(d, domain, view)
		if !ok {
			continue
		}
		free := totalFree(domain, view)
		if best == nil || free < bestFree {
			best, bestFree = p, free
		}
	}
	return best, best != nil
}

func totalFree(workers []*workerState, view resourceView) int {
	free := 0
	for _, w := range workers {
		free += view(w).Weight()
	}
	return free
}

// pack places each task on the worker with the least free resources, so that empty workers remain for tasks that need a
// whole one.
func pack(d demand, workers []*workerState, view resourceView) (placement, bool) {
	group := d.group()
	need := d.step.Need
	used := map[*workerState]modeler.Resources{}
	placed := map[*workerState]int{}
	var p placement
	for range d.tasks {
		best := bestFit(d, workers, func(w *workerState) (modeler.Resources, bool) {
			free := view(w).Minus(used[w])
			limit := d.step.MaxPerWorker
			return free, need.Fits(free) && (limit == 0 || w.taskCounts[group]+placed[w] < limit)
		})
		if best == nil {
			return nil, false
		}
		used[best] = used[best].Plus(need)
		placed[best]++
		p = append(p, taskPlacement{best, need, group})
	}
	return p, true
}

// bestFit returns a worker for which fits reports true, or nil. It prefers workers near the data, then the one with the
// least resources left over.
func bestFit(d demand, workers []*workerState, fits func(*workerState) (modeler.Resources, bool)) *workerState {
	var best *workerState
	bestDistance, bestRest := 0, 0.0
	for _, w := range workers {
		free, ok := fits(w)
		if !ok {
			continue
		}
		distance, rest := rackDistance(d, w), remainingShare(free.Minus(d.step.Need), w.info.Profile.Capacity)
		if best == nil || cmp.Or(cmp.Compare(distance, bestDistance), cmp.Compare(rest, bestRest)) < 0 {
			best, bestDistance, bestRest = w, distance, rest
		}
	}
	return best
}

// rackDistance returns 1 if the step names a rack for its data and the worker is in another one, and else 0.
func rackDistance(d demand, w *workerState) int {
	if want := d.step.DataRack; want != "" && want != w.rack {
		return 1
	}
	return 0
}

// remainingShare returns the sum of the free shares of cores, memory and accelerators.
func remainingShare(free, capacity modeler.Resources) float64 {
	return ratio(free.MilliCores, capacity.MilliCores) + ratio(free.MemoryMB, capacity.MemoryMB) +
		ratio(free.Accelerators, capacity.Accelerators)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
