package planner

import (
	"slices"
	"strings"
)

// setKey is what a demand asks of a worker, its room aside.
type setKey struct{ service, label string }

// roomSet is the rooms that a demand may use, in choices of which an earlier one is taken where it could hold the demand;
// the last one is all of them. It is shared by all demands that ask the same of a worker.
type roomSet []choice

// choice is some rooms, together and by rack.
type choice struct {
	rooms []*room
	racks [][]*room
}

func newChoice(rooms []*room) choice { return choice{rooms, byRack(rooms)} }

// without returns the choice less the rooms that are bad.
func (c choice) without(bad func(*room) bool) choice {
	return newChoice(slices.DeleteFunc(slices.Clone(c.rooms), bad))
}

// set returns the rooms that may hold the tasks of a demand. Where one of them has failed before, the worker on which it
// did is no good for it, nor are those that are suspect: a further failure may be the job's last.
func (b *board) set(d demand) roomSet {
	key := setKey{d.queue.Service, d.step.Label}
	shared, known := b.sets[key]
	if !known {
		shared = b.newSet(key)
		b.sets[key] = shared
	}
	if !d.retried() {
		return shared
	}
	shunned := func(r *room) bool { return d.shuns(r.worker.Name) }
	unsure := func(r *room) bool { return r.suspect || shunned(r) }
	return append(roomSet{shared[0].without(unsure), shared[0].without(shunned)}, shared[1:]...)
}

func (b *board) newSet(key setKey) roomSet {
	var all []*room
	for _, r := range b.rooms {
		if r.worker.Profile.Service == key.service && hasLabel(r.worker, key.label) {
			all = append(all, r)
		}
	}
	every := newChoice(all)
	return roomSet{every.without(func(r *room) bool { return r.avoid }), every}
}

// candidateSets returns the sets of rooms of which one must hold the whole demand: the racks, for a gang that wants one, and
// else all rooms together; a gang that no rack could ever hold is spread.
func (b *board) candidateSets(d demand) [][]*room {
	set := b.set(d)
	if d.step.Gang && d.step.OneRack {
		for _, c := range set {
			if anyRackHolds(d, c.racks) {
				return c.racks
			}
		}
	}
	for _, c := range set {
		if couldHold(d, c.rooms) {
			return [][]*room{c.rooms}
		}
	}
	return [][]*room{set[len(set)-1].rooms}
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
