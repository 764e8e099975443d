package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// makeRoom keeps room that is being freed for a demand, and orders stops where that is not enough. Beyond a guarantee
// it stops others only if that throws no more work away than the demand itself is: on a full day, urgent jobs would
// else cost more than they bring. It reports whether the demand will get its place.
func (b *board) makeRoom(plan *tracker.Assign, d demand) bool {
	if !b.mayPreempt(d) {
		return false
	}
	if p, ok := b.place(d, freeSoon); ok {
		b.promise(p)
		return true
	}
	if !b.maySearch() {
		return false
	}
	found := b.cheapest(d)
	if found == nil || d.rank != rankGuaranteed && found.cost > d.work() {
		return false
	}
	for _, v := range found.victims {
		b.stop(plan, v)
	}
	b.promise(found.placed)
	return true
}

// mostSearches bounds the searches for places that are not free in one plan, and so the time of a decision on a large
// cluster; jobs further behind are looked at once those before them have their places.
const mostSearches = 64

// maySearch counts a search and reports whether it may be made.
func (b *board) maySearch() bool {
	b.searches++
	return b.searches <= mostSearches
}

// mayPreempt reports whether other work is stopped for a demand: for urgent jobs that can still meet their objective,
// and of one step only for as many tasks as it is expected to run at once.
func (b *board) mayPreempt(d demand) bool {
	if d.rank == rankGuaranteed {
		return true
	}
	return d.rank == rankUrgent && (d.step.Gang || d.assigned()+len(d.tasks) <= d.atOnce())
}

// cheapest finds the place for which least work is lost, with the runs to stop for it; nil if there is none.
func (b *board) cheapest(d demand) *search {
	var best *search
	for _, group := range b.candidateSets(d) {
		s := b.newSearch(d, group)
		if s.run() && (best == nil || s.cost < best.cost) {
			best = s
		}
	}
	return best
}

// search places the tasks of a demand one after the other, each where it costs least.
type search struct {
	board   *board
	demand  demand
	rooms   []*room
	reach   map[*room]modeler.Resources // of rooms that the search has touched
	stopped map[tracker.RunKey]bool
	counts  map[*room]int
	placed  placement
	victims []tracker.RunKey
	cost    int
}

func (b *board) newSearch(d demand, rooms []*room) *search {
	return &search{
		board: b, demand: d, rooms: rooms,
		reach: map[*room]modeler.Resources{}, stopped: map[tracker.RunKey]bool{}, counts: map[*room]int{},
	}
}

func (s *search) run() bool {
	for range s.demand.tasks {
		if !s.placeOne() {
			return false
		}
	}
	return true
}

func (s *search) placeOne() bool {
	var best *room
	var bestVictims []*placedRun
	bestCost := 0
	for _, r := range s.rooms {
		if !s.underLimit(r) {
			continue
		}
		victims, cost, ok := s.victimsOn(r)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = r, victims, cost
		}
	}
	if best == nil {
		return false
	}
	for _, v := range bestVictims {
		s.stopGroup(v)
	}
	s.cost += bestCost
	s.counts[best]++
	s.reach[best] = s.room(best).Minus(s.demand.step.Need)
	s.placed = append(s.placed, spot{best, s.demand.step.Need, s.demand.group()})
	return true
}

func (s *search) underLimit(r *room) bool {
	limit := s.demand.step.MaxPerWorker
	return limit == 0 || r.steps[s.demand.group()]+s.counts[r] < limit
}

// victimsOn returns the runs of a lower rank to stop so that one task fits, cheapest first.
func (s *search) victimsOn(r *room) (victims []*placedRun, cost int, ok bool) {
	need := s.demand.step.Need
	reach := s.room(r)
	if need.Fits(reach) {
		return nil, 0, true
	}
	for _, v := range s.candidates(r) {
		victims = append(victims, v)
		reach = reach.Plus(v.run.Need)
		if need.Fits(reach) {
			victims = s.spare(victims, reach)
			return victims, s.costOf(victims), true
		}
	}
	return nil, 0, false
}

// spare gives back victims that are not needed after all, dearest first.
func (s *search) spare(victims []*placedRun, reach modeler.Resources) []*placedRun {
	need := s.demand.step.Need
	for i := len(victims) - 1; i >= 0; i-- {
		without := reach.Minus(victims[i].run.Need)
		if need.Fits(without) {
			reach = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

func (s *search) candidates(r *room) []*placedRun {
	var list []*placedRun
	for _, v := range r.runs {
		if v.rank > s.demand.lowestVictim() && !v.fixed && !s.stopped[v.run.Key] {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b *placedRun) int { return s.groupLoss(a) - s.groupLoss(b) })
	return list
}

func (s *search) costOf(victims []*placedRun) int {
	cost := 0
	for _, v := range victims {
		cost += s.groupLoss(v)
	}
	return cost
}

// groupLoss returns what stopping a run throws away, the rest of its gang included.
func (s *search) groupLoss(v *placedRun) int {
	if !v.gang {
		return v.loss
	}
	loss := 0
	for _, o := range s.board.groups[v.group] {
		loss += o.loss
	}
	return loss
}

func (s *search) stopGroup(v *placedRun) {
	group := []*placedRun{v}
	if v.gang {
		group = s.board.groups[v.group]
	}
	for _, o := range group {
		if s.stopped[o.run.Key] {
			continue
		}
		s.stopped[o.run.Key] = true
		s.victims = append(s.victims, o.run.Key)
		s.reach[o.room] = s.room(o.room).Plus(o.run.Need)
	}
}

// room returns what a room gives once the victims have ended, less what is placed.
func (s *search) room(r *room) modeler.Resources {
	if reach, known := s.reach[r]; known {
		return reach
	}
	return r.soon
}
