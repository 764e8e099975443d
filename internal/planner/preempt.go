package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// reserveOrPreempt reserves resources that are being released for a demand, and stops runs if those are too few. It
// reports whether all tasks of the demand have a reservation. Without a guarantee, it stops runs only if that loses no
// more work than the demand amounts to, since urgent jobs would else cost more than they are worth under high load.
func (b *planBuilder) reserveOrPreempt(plan *tracker.Assign, d demand) bool {
	if !b.mayPreempt(d) {
		return false
	}
	if p, ok := b.place(d, futureFree); ok {
		b.reserveReleased(p)
		return true
	}
	if !b.beginSearch() {
		return false
	}
	found := b.cheapestPreemption(d)
	if found == nil || d.rank != rankGuaranteed && found.cost > d.work() {
		return false
	}
	for _, v := range found.victims {
		b.stop(plan, v)
	}
	b.reserveReleased(found.placement)
	return true
}

// maxSearches bounds the searches of one plan for resources that are not free yet, and so the time to plan a large
// cluster. Jobs that come later in the order are searched for once those before them are placed.
const maxSearches = 64

// beginSearch counts a search and reports whether it is within maxSearches.
func (b *planBuilder) beginSearch() bool {
	b.searches++
	return b.searches <= maxSearches
}

// mayPreempt reports whether runs may be stopped for a demand. It holds for guaranteed jobs, and for urgent jobs that
// can still meet their objective, where a step that is no gang preempts only up to its expected parallelism.
func (b *planBuilder) mayPreempt(d demand) bool {
	if d.rank == rankGuaranteed {
		return true
	}
	return d.rank == rankUrgent && (d.step.Gang || d.assigned()+len(d.tasks) <= d.expectedParallelism())
}

// cheapestPreemption returns the search that places the demand with the least lost work, or nil if none does.
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

// preemptionSearch finds victims for a demand. It places the tasks one after the other, each where it loses the least
// work.
type preemptionSearch struct {
	builder    *planBuilder
	demand     demand
	workers    []*workerState
	available  map[*workerState]modeler.Resources // only of workers that the search has changed
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

// victimsOn returns the runs to stop on a worker so that one more task fits, cheapest first, and the work that is lost.
func (s *preemptionSearch) victimsOn(w *workerState) (victims []*assignedRun, cost int, ok bool) {
	need := s.demand.step.Need
	available := s.availableOn(w)
	if need.Fits(available) {
		return nil, 0, true
	}
	for _, v := range s.preemptibleRuns(w) {
		if v.back.never && !s.mayInterrupt(v, victims) {
			continue
		}
		victims = append(victims, v)
		available = available.Plus(v.run.Need)
		if need.Fits(available) {
			victims = s.pruneVictims(victims, available)
			return victims, s.totalLoss(victims), true
		}
	}
	return nil, 0, false
}

// pruneVictims removes victims that turn out not to be needed, the most expensive first.
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
		if v.rank > s.demand.maxProtectedRank() && !s.stopped[v.run.Key] {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b *assignedRun) int { return s.gangLoss(a) - s.gangLoss(b) })
	return list
}

// mayInterrupt reports whether the demand may stop a long-running run beside the victims found so far. Only a guarantee may, and no
// more tasks of the step may be away at once than its job permits.
func (s *preemptionSearch) mayInterrupt(v *assignedRun, victims []*assignedRun) bool {
	if s.demand.rank != rankGuaranteed {
		return false
	}
	step := s.builder.jobs[v.group.job].job.StepOf(v.group.instance)
	if step.MaxAway <= 0 {
		return true
	}
	if v.gang {
		return step.Count <= step.MaxAway
	}
	return s.builder.awayTasks(v.group)+s.victimsOf(v.group, victims) < step.MaxAway
}

// victimsOf returns the number of a group's tasks among the victims of the search and the further ones.
func (s *preemptionSearch) victimsOf(group groupKey, further []*assignedRun) int {
	n := 0
	for _, v := range further {
		if v.group == group {
			n++
		}
	}
	for _, key := range s.victims {
		if key.Task.Job == group.job && s.builder.jobs[group.job].job.Instance(key.Task) == group.instance {
			n++
		}
	}
	return n
}

// awayTasks returns the number of tasks of a long-running step that are not known to be at work, or are being stopped.
func (b *planBuilder) awayTasks(group groupKey) int {
	j := &b.jobs[group.job].job
	away := 0
	for index, t := range j.Tasks[group.instance] {
		run := tracker.RunKey{Task: j.Key(group.instance, index), Attempt: t.Attempt}
		silent := b.in.Unresponsive[t.Worker]
		if t.Phase != tracker.TaskAssigned || silent || b.in.Progress[run].Percent < 100 || b.stopped[run] || b.isStopping(t.Worker, run) {
			away++
		}
	}
	return away
}

func (s *preemptionSearch) totalLoss(victims []*assignedRun) int {
	loss := 0
	for _, v := range victims {
		loss += s.gangLoss(v)
	}
	return loss
}

// gangLoss returns the work that is lost by stopping a run, with the rest of its gang.
func (s *preemptionSearch) gangLoss(v *assignedRun) int {
	if !v.gang {
		return v.stopLoss
	}
	loss := 0
	for _, member := range s.builder.gangs[v.group] {
		loss += member.stopLoss
	}
	return loss
}

func (s *preemptionSearch) addVictim(v *assignedRun) {
	group := []*assignedRun{v}
	if v.gang {
		group = s.builder.gangs[v.group]
	}
	for _, member := range group {
		if s.stopped[member.run.Key] {
			continue
		}
		s.stopped[member.run.Key] = true
		s.victims = append(s.victims, member.run.Key)
		s.available[member.worker] = s.availableOn(member.worker).Plus(member.run.Need)
	}
}

// availableOn returns the resources of a worker after the victims have ended, less those of the tasks placed so far.
func (s *preemptionSearch) availableOn(w *workerState) modeler.Resources {
	if available, known := s.available[w]; known {
		return available
	}
	return w.futureFree
}
