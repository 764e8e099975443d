package scheduler

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// maxReviewInterval is the longest time between two looks at a job that waits.
	maxReviewInterval = 2 * timekeeper.Minute
	// maxReservations bounds the gangs that hold a reservation at once.
	maxReservations = 2
	// maxOverdue bounds them together with jobs past their bound; the others wait for one of these to start.
	maxOverdue = 6
	// maxPlanCells bounds the cells that a plan compares, by free and by reclaimable accelerators each.
	maxPlanCells = 16
	// restartCost is the run time that stopping a job is taken to cost even when it checkpoints.
	restartCost = 20 * timekeeper.Second
	// moveGainFactor is how many times over a move must pay.
	moveGainFactor = 4
)

// fireTimers handles every timer that is due; one whose reason has passed does nothing.
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

// review looks for a way to run a gang that waits: by moving smaller jobs, then by a reservation.
func (t *step) review(j *Job) {
	if t.canReserve(j) && (t.reserveOverdue(j) || t.defragmentFor(j) || t.reserve(j)) {
		return
	}
	t.setTimer(t.now+reviewInterval(t.now-j.Enqueued), timerReview, j.Spec.ID, j.Attempt)
}

// reviewInterval grows with the wait, so that a long queue costs little.
func reviewInterval(waited timekeeper.Millis) timekeeper.Millis {
	const share = 8
	return min(max(minReviewInterval, waited/share), maxReviewInterval)
}

func (t *step) canReserve(j *Job) bool {
	held := j.Spec.Class == ClassBatch && t.policy.HoldBatch
	return t.policy.Guarantee == GuaranteeShapes && j.Spec.Repeatable && !held
}

// plan is a place for a job and who must stop for it.
type plan struct {
	placement placer.Placement
	victims   []*Job
	cost      int64
}

// defragmentFor stops jobs that can go on elsewhere, where this gains the gang more waiting than it costs them work.
func (t *step) defragmentFor(j *Job) bool {
	total := j.Spec.Demand.Total()
	if !t.policy.Defragment || t.policy.WaitBound == 0 || t.cells.Total(placer.ByFree) < total {
		return false
	}
	best, ok := t.cheapestPlan(j, 0)
	if !ok {
		return false
	}
	gain := int64(total) * int64(t.now-j.Enqueued) // who has waited long waits long
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

// reserve holds the cell that costs least for a gang that has waited long; what comes free there goes to it, and
// when the reservation ripens the borrowers that are left are stopped.
func (t *step) reserve(j *Job) bool {
	waited := t.now - j.Enqueued
	if t.policy.ReserveAfter == 0 || waited < t.policy.ReserveAfter || t.countReservations() >= maxReservations {
		return false
	}
	best, ok := t.cheapestPlan(j, 0)
	if !ok {
		return false
	}
	ripe := max(j.Enqueued+t.policy.WaitBound, t.now+1)
	t.place(j, best.placement, SlotKey{}, ripe)
	if next := t.mustJob(j.Spec.ID); next.Phase == PhaseWaiting {
		t.setTimer(ripe, timerPreempt, next.Spec.ID, next.Attempt)
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

// activateReservation stops the borrowers on a reservation's place, as far as they may be stopped now.
func (t *step) activateReservation(j *Job) {
	t.preemptBorrowers(j)
}

// reserveOverdue gives a queued job that has waited for its bound the place whose borrowers lose least, or one in which
// jobs under a guarantee still run, and begins to stop the borrowers there.
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

// preemptBorrowers stops the borrowers that stand in a waiting job's way and are not spared. Those that are come later: nothing
// new is placed there, so that the wait beyond the bound is at most the shortest run that is left to a borrower, and
// the end of jobs under a guarantee.
func (t *step) preemptBorrowers(j *Job) {
	for _, part := range j.Placement {
		for _, v := range t.preemptionCandidates(j, SlotKey{}, part.Worker, t.policy.MinimumRun, nil) {
			short := t.shortage(j, part, nil)
			if short.accelerators <= 0 && short.cores <= 0 {
				break
			}
			t.evictAll([]*Job{v})
		}
	}
	t.setTimer(t.now+reviewInterval(t.now-j.PreemptAt), timerPreempt, j.Spec.ID, j.Attempt)
}

// placeOverdue finds the place of an overdue job with least under guarantees, and binds idle guaranteed shapes there
// elsewhere where they fit.
func (t *step) placeOverdue(j *Job) (placer.Placement, bool) {
	d := j.Spec.Demand
	if d.Accelerators == 0 {
		return nil, false
	}
	var best placer.Placement
	bestFirm := 0
	for _, id := range t.cells.Largest(placer.ByReclaimable, d.Within, maxPlanCells) {
		p, firm, ok := t.placeOverdueIn(j, id)
		if ok && (best == nil || firm < bestFirm) {
			best, bestFirm = p, firm
		}
	}
	if best == nil {
		return nil, false
	}
	t.moveIdleSlots(best)
	return best, true
}

// placeOverdueIn fills a cell by what its workers have, those with least under guarantees first, and counts how much is.
func (t *step) placeOverdueIn(j *Job, cell string) (placer.Placement, int, bool) {
	d := j.Spec.Demand
	var rooms []workerCapacity
	for _, worker := range t.cells.WorkersIn(d.Within, cell) {
		load, _ := t.cells.Load(worker)
		if load.Usable && !slices.Contains(j.FailedOn, worker) {
			rooms = append(rooms, workerCapacity{worker, load.Worker.Accelerators / d.Accelerators, load.Reclaimable() / d.Accelerators})
		}
	}
	p, ok := fillWorkers(rooms, d.Members)
	firm := 0
	for _, part := range p {
		load, _ := t.cells.Load(part.Worker)
		firm += load.Firm
	}
	return p, firm, ok
}

// moveIdleSlots binds idle slots that lie where p does elsewhere, as far as they fit.
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

// cheapestPlan compares the likeliest cells and returns the place whose victims lose least.
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

// planInCell fills a cell, workers with free accelerators first, and finds who must stop.
func (t *step) planInCell(j *Job, cell string, minimumRun timekeeper.Millis) (plan, bool) {
	d := j.Spec.Demand
	if d.Accelerators == 0 {
		return plan{}, false
	}
	var rooms []workerCapacity
	for _, worker := range t.cells.WorkersIn(d.Within, cell) {
		if slices.Contains(j.FailedOn, worker) {
			continue
		}
		load, _ := t.cells.Load(worker)
		rooms = append(rooms, workerCapacity{worker, load.Reclaimable() / d.Accelerators, load.Free() / d.Accelerators})
	}
	slices.SortStableFunc(rooms, func(a, b workerCapacity) int { return cmp.Compare(b.free, a.free) })
	p, ok := fillWorkers(rooms, d.Members)
	if !ok {
		return plan{}, false
	}
	victims, cost, ok := t.chooseVictims(j, SlotKey{}, p, minimumRun)
	return plan{p, victims, cost}, ok
}

// startReservationsEarly starts reservations early whose gang fits somewhere now.
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

// backfill places a job on accelerators that a reservation holds, if it can be stopped without loss when the
// reservation ripens or is expected to end before.
func (t *step) backfill(j *Job) bool {
	for it := t.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		r := t.mustJob(id)
		if r.PreemptAt == 0 || r.PreemptAt-t.now < t.policy.MinimumRun || !j.Spec.Checkpoint && t.now+t.expectedRunTime(j.Spec) > r.PreemptAt {
			continue
		}
		p, ok := t.cellsWithoutReservation(r).Place(j.Spec.Demand, placer.ByFree)
		if ok {
			next := *j
			next.Placement = p
			t.arm(j, &next) // free but for the promise, which the reservation takes back when it ripens
			return true
		}
	}
	return false
}

// unreservedCells is a cached answer of withoutPromise.
type unreservedCells struct {
	base, cells placer.Cells
}

// cellsWithoutReservation returns the cells as they would be without the reservation of r. A pass asks for it again and again
// while nothing is placed, so that the answer is kept until the cells change.
func (t *step) cellsWithoutReservation(r *Job) placer.Cells {
	if known, ok := t.unreserved[r.Spec.ID]; ok && known.base.Same(t.cells) {
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
		h := usageOf(r, part.Worker)
		load.Promised -= h.reserved
		load.PromisedCores -= h.reservedCores
		loads = append(loads, load)
	}
	return t.cells.WithLoads(loads...)
}
