package planner

import (
	"cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// spot is a place for one task.
type spot struct {
	room  *room
	need  modeler.Resources
	group groupKey
}

// placement is a place for each task of a demand, in their order.
type placement []spot

// offer tells what a room can give: what is free now, or what will be.
type offer func(*room) modeler.Resources

func freeNow(r *room) modeler.Resources  { return r.free }
func freeSoon(r *room) modeler.Resources { return r.soon }

// fullKey is what decides whether a demand fits; equal demands of one plan fare alike, since free room only shrinks.
type fullKey struct {
	service, label string
	need           modeler.Resources
	tasks          int
	gang, oneRack  bool
}

// placeFree finds room that is free now. A demand like one that found none is not looked at again in the same plan.
func (b *board) placeFree(d demand) (placement, bool) {
	step := d.step
	key := fullKey{d.queue.Service, step.Label, step.Need, len(d.tasks), step.Gang, step.OneRack}
	if b.mustWait(d) {
		return nil, false
	}
	special := step.MaxPerWorker > 0 || d.retried()
	if !special && b.full[key] {
		return nil, false
	}
	p, ok := b.place(d, freeNow)
	if !ok && !special {
		b.full[key] = true
	}
	return p, ok
}

// place finds a place for all tasks of a demand, in the tightest group that holds it.
func (b *board) place(d demand, give offer) (placement, bool) {
	var best placement
	bestLeft := 0
	for _, group := range b.candidateSets(d) {
		p, ok := fill(d, group, give)
		if !ok {
			continue
		}
		left := leftIn(group, give)
		if best == nil || left < bestLeft {
			best, bestLeft = p, left
		}
	}
	return best, best != nil
}

func leftIn(rooms []*room, give offer) int {
	left := 0
	for _, r := range rooms {
		left += give(r).Weight()
	}
	return left
}

// fill places each task in the room that it leaves fullest, so that empty workers stay whole for what needs them.
func fill(d demand, rooms []*room, give offer) (placement, bool) {
	group := d.group()
	need := d.step.Need
	taken := map[*room]modeler.Resources{}
	placed := map[*room]int{}
	var p placement
	for range d.tasks {
		best := pick(d, rooms, func(r *room) (modeler.Resources, bool) {
			left := give(r).Minus(taken[r])
			limit := d.step.MaxPerWorker
			return left, need.Fits(left) && (limit == 0 || r.steps[group]+placed[r] < limit)
		})
		if best == nil {
			return nil, false
		}
		taken[best] = taken[best].Plus(need)
		placed[best]++
		p = append(p, spot{best, need, group})
	}
	return p, true
}

// pick returns the best of the rooms that fit: near the data first, then the one with least left over.
func pick(d demand, rooms []*room, fits func(*room) (modeler.Resources, bool)) *room {
	var best *room
	bestFar, bestLeft := 0, 0.0
	for _, r := range rooms {
		left, ok := fits(r)
		if !ok {
			continue
		}
		far, rest := distance(d, r), share(left.Minus(d.step.Need), r.worker.Profile.Capacity)
		if best == nil || cmp.Or(cmp.Compare(far, bestFar), cmp.Compare(rest, bestLeft)) < 0 {
			best, bestFar, bestLeft = r, far, rest
		}
	}
	return best
}

// distance is zero for a worker in the rack of the step's data.
func distance(d demand, r *room) int {
	if want := d.step.DataRack; want != "" && want != r.rack {
		return 1
	}
	return 0
}

// share returns how much of a capacity is left, as the sum of the shares of each kind.
func share(left, capacity modeler.Resources) float64 {
	return ratio(left.MilliCores, capacity.MilliCores) + ratio(left.MemoryMB, capacity.MemoryMB) +
		ratio(left.Accelerators, capacity.Accelerators)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
