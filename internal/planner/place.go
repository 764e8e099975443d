package planner

import (
	"cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// taskPlacement is a place for one task.
type taskPlacement struct {
	worker *workerState
	need   modeler.Resources
	group  groupKey
}

// placement is a place for each task of a demand, in their order.
type placement []taskPlacement

// resourceView tells what a room can give: what is free now, or what will be.
type resourceView func(*workerState) modeler.Resources

func currentFree(w *workerState) modeler.Resources { return w.free }
func futureFree(w *workerState) modeler.Resources  { return w.futureFree }

// fitKey is what decides whether a demand fits; equal demands of one plan fare alike, since free room only shrinks.
type fitKey struct {
	service, label string
	need           modeler.Resources
	tasks          int
	gang, oneRack  bool
}

// placeNow finds room that is free now. A demand like one that found none is not looked at again in the same plan.
func (b *planBuilder) placeNow(d demand) (placement, bool) {
	step := d.step
	key := fitKey{d.queue.Service, step.Label, step.Need, len(d.tasks), step.Gang, step.OneRack}
	if b.mustLeaveHeadroom(d) {
		return nil, false
	}
	special := step.MaxPerWorker > 0 || d.hasFailed()
	if !special && b.unplaceable[key] {
		return nil, false
	}
	p, ok := b.place(d, currentFree)
	if !ok && !special {
		b.unplaceable[key] = true
	}
	return p, ok
}

// place finds a place for all tasks of a demand, in the tightest group that holds it.
func (b *planBuilder) place(d demand, view resourceView) (placement, bool) {
	var best placement
	bestFree := 0
	for _, domain := range b.placementDomains(d) {
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

// pack places each task in the room that it leaves fullest, so that empty workers stay whole for what needs them.
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

// bestFit returns the best of the rooms that fit: near the data first, then the one with least left over.
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

// rackDistance is zero for a worker in the rack of the step's data.
func rackDistance(d demand, w *workerState) int {
	if want := d.step.DataRack; want != "" && want != w.rack {
		return 1
	}
	return 0
}

// remainingShare returns how much of a capacity is left, as the sum of the shares of each kind.
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
