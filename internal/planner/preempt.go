package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// reserveOrPreempt keeps room that is being freed for a demand, and orders stops where that is not enough. Beyond a guarantee
// it stops others only if that throws no more work away than the demand itself is: on a full day, urgent jobs would
// else cost more than they bring. It reports whether the demand will get its place.
func (b *planBuilder) reserveOrPreempt(plan *tracker.Assign, d demand) bool {
	if !b.mayPreempt(d) {
		return false
	}
	if p, ok := b.place(d, futureFree); ok {
		b.reserve(p)
		return true
	}
	if !b.countSearch() {
		return false
	}
	found := b.cheapestPreemption(d)
	if found == nil || d.rank != rankGuaranteed && found.cost > d.work() {
		return false
	}
	for _, v := range found.victims {
		b.stop(plan, v)
	}
	b.reserve(found.placement)
	return true
}

// maxSearches bounds the searches for places that are not free in one plan, and so the time of a decision on a large
// cluster; jobs further behind are looked at once those before them have their places.
const maxSearches = 64

// countSearch counts a search and reports whether it may be made.
func (b *planBuilder) countSearch() bool {
	b.searches++
	return b.searches <= maxSearches
}

// mayPreempt reports whether other work is stopped for a demand: for urgent jobs that can still meet their objective,
// and of one step only for as many tasks as it is expected to run at once.
func (b *planBuilder) mayPreempt(d demand) bool {
	if d.rank == rankGuaranteed {
		return true
	}
	return d.rank == rankUrgent && (d.step.Gang || d.assigned()+len(d.tasks) <= d.expectedParallelism())
}

// cheapestPreemption finds the place for which least work is lost, with the runs to stop for it; nil if there is none.
func (b *planBuilder) cheapestPreemption(d demand) *preemptionSearch {
	var best *preemptionSearch
	for _, domain := range b.placementDomains(d) {
		s := b.newPreemptionSearch(d, domain)
		if s.run() && (best == nil || s.cost < best.cost) {
			best = s
		}
	}
	return best
}

// preemptionSearch places the tasks of a demand one after the other, each where it costs least.
type preemptionSearch struct {
	builder    *planBuilder
	demand     demand
	workers    []*workerState
	available  map[*workerState]modeler.Resources // of rooms that the search has touched
	stopped    map[tracker.RunKey]bool
	taskCounts map[*workerState]int
	placement  placement
	victims    []tracker.RunKey
	cost       int
}

func (b *planBuilder) newPreemptionSearch(d demand, workers []*workerState) *preemptionSearch {
	return &preemptionSearch{
		builder: b, demand: d, workers: workers,
		available: map[*workerState]modeler.Resources{}, stopped: map[tracker.RunKey]bool{}, taskCounts: map[*workerState]int{},
	}
}

func (s *preemptionSearch) run() bool {
	for range s.demand.tasks {
		if !s.placeOne() {
			return false
		}
	}
	return true
}

func (s *preemptionSearch) placeOne() bool {
	var best *workerState
	var bestVictims []*assignedRun
	bestCost := 0
	for _, w := range s.workers {
		if !s.underLimit(w) {
			continue
		}
		victims, cost, ok := s.victimsOn(w)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	if best == nil {
		return false
	}
	for _, v := range bestVictims {
		s.addVictim(v)
	}
	s.cost += bestCost
	s.taskCounts[best]++
	s.available[best] = s.availableOn(best).Minus(s.demand.step.Need)
	s.placement = append(s.placement, taskPlacement{best, s.demand.step.Need, s.demand.group()})
	return true
}

func (s *preemptionSearch) underLimit(w *workerState) bool {
	limit := s.demand.step.MaxPerWorker
	return limit == 0 || w.taskCounts[s.demand.group()]+s.taskCounts[w] < limit
}

// victimsOn returns the runs of a lower rank to stop so that one task fits, cheapest first.
func (s *preemptionSearch) victimsOn(w *workerState) (victims []*assignedRun, cost int, ok bool) {
	need := s.demand.step.Need
	available := s.availableOn(w)
	if need.Fits(available) {
		return nil, 0, true
	}
	for _, v := range s.preemptibleRuns(w) {
		victims = append(victims, v)
		available = available.Plus(v.run.Need)
		if need.Fits(available) {
			victims = s.pruneVictims(victims, available)
			return victims, s.totalLoss(victims), true
		}
	}
	return nil, 0, false
}

// pruneVictims gives back victims that are not needed after all, dearest first.
func (s *preemptionSearch) pruneVictims(victims []*assignedRun, available modeler.Resources) []*assignedRun {
	need := s.demand.step.Need
	for i := len(victims) - 1; i >= 0; i-- {
		without := available.Minus(victims[i].run.Need)
		if need.Fits(without) {
			available = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

func (s *preemptionSearch) preemptibleRuns(w *workerState) []*assignedRun {
	var list []*assignedRun
	for _, v := range w.runs {
		if v.rank > s.demand.maxProtectedRank() && !v.nonPreemptible && !s.stopped[v.run.Key] {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b *assignedRun) int { return s.gangLoss(a) - s.gangLoss(b) })
	return list
}

func (s *preemptionSearch) totalLoss(victims []*assignedRun) int {
	cost := 0
	for _, v := range victims {
		cost += s.gangLoss(v)
	}
	return cost
}

// gangLoss returns what stopping a run throws away, the rest of its gang included.
func (s *preemptionSearch) gangLoss(v *assignedRun) int {
	if !v.gang {
		return v.stopLoss
	}
	loss := 0
	for _, o := range s.builder.gangs[v.group] {
		loss += o.stopLoss
	}
	return loss
}

func (s *preemptionSearch) addVictim(v *assignedRun) {
	group := []*assignedRun{v}
	if v.gang {
		group = s.builder.gangs[v.group]
	}
	for _, o := range group {
		if s.stopped[o.run.Key] {
			continue
		}
		s.stopped[o.run.Key] = true
		s.victims = append(s.victims, o.run.Key)
		s.available[o.worker] = s.availableOn(o.worker).Plus(o.run.Need)
	}
}

// availableOn returns what a availableOn gives once the victims have ended, less what is placed.
func (s *preemptionSearch) availableOn(w *workerState) modeler.Resources {
	if reach, known := s.available[w]; known {
		return reach
	}
	return w.futureFree
}
