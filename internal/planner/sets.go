package planner

import (
	"slices"
	"strings"
)

// setKey is what a demand asks of a worker, its room aside.
type setKey struct{ service, label string }

// roomSet is the rooms that a demand may use. It is shared by all demands that ask the same of a worker.
type roomSet struct {
	good, all           []*room // without the workers to avoid, and with them
	goodRacks, allRacks [][]*room
}

// set returns the rooms that may hold the tasks of a demand. A worker on which one of them failed last is not good for it.
func (b *board) set(d demand) *roomSet {
	key := setKey{d.queue.Service, d.step.Label}
	shared := b.sets[key]
	if shared == nil {
		shared = b.newSet(key)
		b.sets[key] = shared
	}
	if !d.retried() {
		return shared
	}
	good := slices.DeleteFunc(slices.Clone(shared.good), func(r *room) bool { return d.shuns(r.worker.Name) })
	return &roomSet{good: good, all: shared.all, goodRacks: byRack(good), allRacks: shared.allRacks}
}

func (b *board) newSet(key setKey) *roomSet {
	s := &roomSet{}
	for _, r := range b.rooms {
		if r.worker.Profile.Service != key.service || !hasLabel(r.worker, key.label) {
			continue
		}
		s.all = append(s.all, r)
		if !r.avoid {
			s.good = append(s.good, r)
		}
	}
	s.goodRacks, s.allRacks = byRack(s.good), byRack(s.all)
	return s
}

// candidateSets returns the sets of rooms of which one must hold the whole demand: the racks, for a gang that wants one, and
// else all rooms together. Workers to avoid, and the one on which a task failed last, are left out while others could
// hold it; a gang that no rack could ever hold is spread.
func (b *board) candidateSets(d demand) [][]*room {
	s := b.set(d)
	if d.step.Gang && d.step.OneRack {
		for _, racks := range [][][]*room{s.goodRacks, s.allRacks} {
			if anyRackHolds(d, racks) {
				return racks
			}
		}
	}
	if couldHold(d, s.good) {
		return [][]*room{s.good}
	}
	return [][]*room{s.all}
}

// couldHold reports whether the demand would fit if nothing else ran.
func couldHold(d demand, rooms []*room) bool {
	left := len(d.tasks)
	for _, r := range rooms {
		left -= limited(d, d.step.Need.CountIn(r.worker.Profile.Capacity, left))
		if left <= 0 {
			return true
		}
	}
	return left <= 0
}

func limited(d demand, n int) int {
	if limit := d.step.MaxPerWorker; limit > 0 {
		return min(n, limit)
	}
	return n
}

// byRack returns the rooms of each rack, by the rack's name.
func byRack(rooms []*room) [][]*room {
	sorted := slices.Clone(rooms)
	slices.SortStableFunc(sorted, func(a, b *room) int { return strings.Compare(a.rack, b.rack) })
	var racks [][]*room
	for from, to := 0, 0; from < len(sorted); from = to {
		for to = from + 1; to < len(sorted) && sorted[to].rack == sorted[from].rack; to++ {
		}
		racks = append(racks, sorted[from:to])
	}
	return racks
}

func anyRackHolds(d demand, racks [][]*room) bool {
	return slices.ContainsFunc(racks, func(rack []*room) bool { return couldHold(d, rack) })
}
