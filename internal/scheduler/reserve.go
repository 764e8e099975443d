package scheduler

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// maxReviewInterval is the longest time between two reviews of a queued job.
	maxReviewInterval = 2 * timekeeper.Minute
	// maxReservations limits the gangs that hold a reservation at the same time.
	maxReservations = 2
	// maxOverdue limits reservations together with those of jobs past the wait bound. Further overdue jobs wait for one of
	// these to start.
	maxOverdue = 6
	// maxPlanCells limits the cells that a plan compares: this many by free and this many by reclaimable accelerators.
	maxPlanCells = 16
	// restartCost is the run time that stopping a job is assumed to cost, even if the job checkpoints.
	restartCost = 20 * timekeeper.Second
	// moveGainFactor is the least ratio of gain to cost at which jobs are moved.
	moveGainFactor = 4
)

// fireTimers fires every timer that is due. A timer whose job has moved on has no effect.
func (t *step) fireTimers() {
	for {
		it := t.timers.Iterator()
		it.First()
		if it.Done() {
			return
		}
		key, _, _ := it.Next()
		if key.At > t.now {
			return
		}
		t.timers = t.timers.Delete(key)
		t.fire(key)
	}
}

func (t *step) fire(key timerKey) {
	if key.Kind == timerQuarantine {
		t.endQuarantine(key.ID)
		return
	}
	j, ok := t.jobs.Get(key.ID)
	if !ok || j.Attempt != key.Attempt {
		return
	}
	switch {
	case key.Kind == timerArm && j.Phase == PhaseArming:
		t.stop(j, stopUnarmed)
	case key.Kind == timerReview && j.Phase == PhaseQueued:
		t.review(j)
	case key.Kind == timerPreempt && j.Phase == PhaseWaiting && j.PreemptAt > 0:
		t.activateReservation(j)
	}
}

// review tries to get a queued gang placed: by a reservation if it is overdue, else by moving smaller jobs, else by a
// reservation if it has waited long enough.
func (t *step) review(j *Job) {
	if t.canReserve(j) && (t.reserveOverdue(j) || t.defragmentFor(j) || t.reserve(j)) {
		return
	}
	t.setTimer(t.now+reviewInterval(t.now-j.Enqueued), timerReview, j.Spec.ID, j.Attempt)
}

// reviewInterval returns the time until the next review. It grows with the wait, so that a long queue costs little.
func reviewInterval(waited timekeeper.Millis) timekeeper.Millis {
	const divisor = 8
	return min(max(minReviewInterval, waited/divisor), maxReviewInterval)
}

func (t *step) canReserve(j *Job) bool {
	held := j.Spec.Class == ClassBatch && t.policy.HoldBatch
	return t.policy.Guarantee == GuaranteeShapes && j.Spec.Repeatable && !held
}

// plan is a placement for a job and the jobs to preempt for it.
type plan struct {
	placement placer.Placement
	victims   []*Job
	cost      int64
}

// defragmentFor preempts jobs that can run elsewhere if the waiting time that this saves the gang outweighs the work
// that it costs them.
func (t *step) defragmentFor(j *Job) bool {
	total := j.Spec.Demand.Total()
	if !t.policy.Defragment || t.policy.WaitBound == 0 || t.cells.Total(placer.ByFree) < total {
		return false
	}
	best, ok := t.cheapestPlan(j, 0)
	if !ok {
		return false
	}
	gain := int64(total) * int64(t.now-j.Enqueued) // a job that has waited long is expected to wait long
	if moveGainFactor*(best.cost+restartWork(best.victims)) >= gain {
		return false
	}
	t.evictAll(best.victims)
	t.place(j, best.placement, SlotKey{}, 0)
	return true
}

func restartWork(victims []*Job) int64 {
	var work int64
	for _, v := range victims {
		work += int64(v.Spec.Demand.Total()) * int64(restartCost)
	}
	return work
}

// reserve reserves the cheapest cell for a gang that has waited long. Accelerators that come free there go to the
// gang. At PreemptAt, the remaining borrowers are preempted.
func (t *step) reserve(j *Job) bool {
	waited := t.now - j.Enqueued
	if t.policy.ReserveAfter == 0 || waited < t.policy.ReserveAfter || t.countReservations() >= maxReservations {
		return false
	}
	best, ok := t.cheapestPlan(j, 0)
	if !ok {
		return false
	}
	preemptAt := max(j.Enqueued+t.policy.WaitBound, t.now+1)
	t.place(j, best.placement, SlotKey{}, preemptAt)
	if next := t.mustJob(j.Spec.ID); next.Phase == PhaseWaiting {
		t.setTimer(preemptAt, timerPreempt, next.Spec.ID, next.Attempt)
	}
	return true
}

func (t *step) countReservations() int {
	n := 0
	for it := t.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		if t.mustJob(id).PreemptAt > 0 {
			n++
		}
	}
	return n
}

// activateReservation preempts the borrowers on a reservation's placement, as far as they may be preempted now.
func (t *step) activateReservation(j *Job) {
	t.preemptBorrowers(j)
}

// reserveOverdue gives a queued job that has waited for the wait bound the placement whose borrowers lose least, or
// else one on which jobs under a guarantee still run, and begins to preempt the borrowers there.
func (t *step) reserveOverdue(j *Job) bool {
	if t.policy.ReserveAfter == 0 || t.now-j.Enqueued < t.policy.WaitBound || t.countReservations() >= maxOverdue {
		return false
	}
	best, ok := t.cheapestPlan(j, 0)
	if !ok {
		best.placement, ok = t.placeOverdue(j)
	}
	if !ok {
		return false
	}
	t.place(j, best.placement, SlotKey{}, t.now)
	if next := t.mustJob(j.Spec.ID); next.Phase == PhaseWaiting {
		t.preemptBorrowers(next)
	}
	return true
}

// preemptBorrowers preempts the borrowers that block a waiting job and are not protected. Protected ones follow later.
// Nothing new is placed there, so that the wait beyond the bound lasts at most until protected borrowers have had
// their minimum run or have ended, and until the jobs under a guarantee have ended.
func (t *step) preemptBorrowers(j *Job) {
	for _, part := range j.Placement {
		for _, v := range t.preemptionCandidates(j, SlotKey{}, part.Worker, t.policy.MinimumRun, nil) {
			missing := t.shortage(j, part, nil)
			if missing.accelerators <= 0 && missing.cores <= 0 {
				break
			}
			t.evictAll([]*Job{v})
		}
	}
	t.setTimer(t.now+reviewInterval(t.now-j.PreemptAt), timerPreempt, j.Spec.ID, j.Attempt)
}

// placeOverdue returns the placement for an overdue job with the fewest accelerators under guarantees, and binds the
// idle slots there to other workers where they fit.
func (t *step) placeOverdue(j *Job) (placer.Placement, bool) {
	d := j.Spec.Demand
	if d.Accelerators == 0 {
		return nil, false
	}
	var best placer.Placement
	bestGuaranteed := 0
	for _, id := range t.cells.Largest(placer.ByReclaimable, d.Within, maxPlanCells) {
		p, guaranteed, ok := t.placeOverdueIn(j, id)
		if ok && (best == nil || guaranteed < bestGuaranteed) {
			best, bestGuaranteed = p, guaranteed
		}
	}
	if best == nil {
		return nil, false
	}
	t.moveIdleSlots(best)
	return best, true
}

// placeOverdueIn fills a cell by the total accelerators of its workers, those with the most reclaimable ones first. It
// returns the placement and the number of accelerators under guarantees on its workers.
func (t *step) placeOverdueIn(j *Job, cell string) (placer.Placement, int, bool) {
	d := j.Spec.Demand
	var workers []workerCapacity
	for _, worker := range t.cells.WorkersIn(d.Within, cell) {
		load, _ := t.cells.Load(worker)
		if load.Usable && !slices.Contains(j.FailedOn, worker) {
			workers = append(workers, workerCapacity{worker, load.Worker.Accelerators / d.Accelerators, load.Reclaimable() / d.Accelerators})
		}
	}
	p, ok := fillWorkers(workers, d.Members)
	guaranteed := 0
	for _, part := range p {
		load, _ := t.cells.Load(part.Worker)
		guaranteed += load.NonReclaimable
	}
	return p, guaranteed, ok
}

// moveIdleSlots binds the idle slots on the workers of p to other workers, as far as they fit.
func (t *step) moveIdleSlots(p placer.Placement) {
	for _, slot := range t.idleSlotsOn(SlotKey{}, p) {
		before := t.State
		t.bind(slot, nil)
		elsewhere := t.cells
		for _, part := range p {
			load, _ := elsewhere.Load(part.Worker)
			load.Bound = load.Worker.Accelerators
			elsewhere = elsewhere.WithLoads(load)
		}
		next, ok := elsewhere.Place(guaranteeDemand(slot.Demand), placer.BySpare)
		if !ok {
			t.State = before
			continue
		}
		t.bind(t.slot(slot.Key), next)
	}
}

// cheapestPlan compares the most promising cells and returns the plan whose victims lose least.
func (t *step) cheapestPlan(j *Job, minimumRun timekeeper.Millis) (plan, bool) {
	d := j.Spec.Demand
	q := placer.ByReclaimable
	cells := t.cells.Largest(placer.ByFree, d.Within, maxPlanCells)
	for _, id := range t.cells.Largest(q, d.Within, maxPlanCells) {
		if !slices.Contains(cells, id) {
			cells = append(cells, id)
		}
	}
	var best plan
	found := false
	for _, id := range cells {
		if t.cells.Value(q, d.Within, id) < d.Total() {
			continue
		}
		p, ok := t.planInCell(j, id, minimumRun)
		if ok && (!found || p.cost+restartWork(p.victims) < best.cost+restartWork(best.victims)) {
			best, found = p, true
		}
	}
	return best, found
}

// planInCell fills a cell, workers with the most free accelerators first, and chooses the victims.
func (t *step) planInCell(j *Job, cell string, minimumRun timekeeper.Millis) (plan, bool) {
	d := j.Spec.Demand
	if d.Accelerators == 0 {
		return plan{}, false
	}
	var workers []workerCapacity
	for _, worker := range t.cells.WorkersIn(d.Within, cell) {
		if slices.Contains(j.FailedOn, worker) {
			continue
		}
		load, _ := t.cells.Load(worker)
		workers = append(workers, workerCapacity{worker, load.Reclaimable() / d.Accelerators, load.Free() / d.Accelerators})
	}
	slices.SortStableFunc(workers, func(a, b workerCapacity) int { return cmp.Compare(b.free, a.free) })
	p, ok := fillWorkers(workers, d.Members)
	if !ok {
		return plan{}, false
	}
	victims, cost, ok := t.chooseVictims(j, SlotKey{}, p, minimumRun)
	return plan{p, victims, cost}, ok
}

// startReservationsEarly starts gangs with a reservation that fit anywhere now.
func (t *step) startReservationsEarly() {
	for it := t.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		j := t.mustJob(id)
		if j.Phase != PhaseWaiting || j.PreemptAt == 0 {
			continue
		}
		if p, ok := t.cellsWithoutReservation(j).Place(j.Spec.Demand, placer.ByFree); ok && t.isUnused(j.Spec.Demand, p) {
			queued := *j
			queued.Phase, queued.Placement, queued.PreemptAt = PhaseQueued, nil, 0
			t.updateJob(j, &queued)
			t.place(&queued, p, SlotKey{}, 0)
		}
	}
}

// backfill places a job on reserved accelerators if it checkpoints, so that the reservation can preempt it without
// loss, or is expected to end before PreemptAt.
func (t *step) backfill(j *Job) bool {
	for it := t.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		r := t.mustJob(id)
		if r.PreemptAt == 0 || r.PreemptAt-t.now < t.policy.MinimumRun || !j.Spec.CanCheckpoint && t.now+t.expectedRunTime(j.Spec) > r.PreemptAt {
			continue
		}
		p, ok := t.cellsWithoutReservation(r).Place(j.Spec.Demand, placer.ByFree)
		if ok {
			next := *j
			next.Placement = p
			t.arm(j, &next) // free but for the reservation, which preempts the job at PreemptAt
			return true
		}
	}
	return false
}

// unreservedCells is a cached result of cellsWithoutReservation.
type unreservedCells struct {
	base, cells placer.Cells
}

// cellsWithoutReservation returns the cells as they would be without the reservation of r. A pass asks for them
// repeatedly while it places nothing, so the result is cached until the cells change.
func (t *step) cellsWithoutReservation(r *Job) placer.Cells {
	if known, ok := t.unreserved[r.Spec.ID]; ok && known.base.Identical(t.cells) {
		return known.cells
	}
	if t.unreserved == nil {
		t.unreserved = map[string]unreservedCells{}
	}
	cells := t.computeCellsWithoutReservation(r)
	t.unreserved[r.Spec.ID] = unreservedCells{t.cells, cells}
	return cells
}

func (t *step) computeCellsWithoutReservation(r *Job) placer.Cells {
	var loads []placer.Load
	for _, part := range r.Placement {
		load, _ := t.cells.Load(part.Worker)
		u := usageOf(r, part.Worker)
		load.Reserved -= u.reserved
		load.ReservedCores -= u.reservedCores
		loads = append(loads, load)
	}
	return t.cells.WithLoads(loads...)
}
