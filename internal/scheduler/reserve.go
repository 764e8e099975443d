package scheduler

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// maxReservations bounds the gangs that hold a reservation at once.
	maxReservations = 2
	// planCells bounds the cells that a plan compares, by free and by reclaimable accelerators each.
	planCells = 16
	// restartCost is the run time that stopping a job is taken to cost even when it checkpoints.
	restartCost = 20 * timekeeper.Second
	// moveGain is how many times over a move must pay.
	moveGain = 2
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
	case key.Kind == timerRipe && j.Phase == PhaseWaiting && j.RipeAt > 0:
		t.ripen(j)
	}
}

// review looks for a way to run a gang that waits: by moving smaller jobs, then by a reservation.
func (t *step) review(j *Job) {
	if t.canReserve(j) && (t.moveOthers(j) || t.reserve(j)) {
		return
	}
	t.setTimer(t.now+reviewEvery, timerReview, j.Spec.ID, j.Attempt)
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

// moveOthers stops jobs that can go on elsewhere, where this gains the gang more waiting than it costs them work.
func (t *step) moveOthers(j *Job) bool {
	total := j.Spec.Demand.Total()
	if !t.policy.Defragment || t.policy.WaitBound == 0 || t.cells.Total(placer.ByFree) < total {
		return false
	}
	best, ok := t.planCell(j, 0)
	if !ok {
		return false
	}
	gain := int64(total) * int64(max(j.Enqueued+t.policy.WaitBound-t.now, 0))
	if moveGain*(best.cost+restartWork(best.victims)) >= gain {
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
	if t.policy.ReserveAfter == 0 || waited < t.policy.ReserveAfter || t.reservations() >= maxReservations {
		return false
	}
	best, ok := t.planCell(j, 0)
	if !ok {
		return false
	}
	ripe := max(j.Enqueued+t.policy.WaitBound, t.now+1)
	t.place(j, best.placement, SlotKey{}, int64(ripe))
	if next := t.mustJob(j.Spec.ID); next.Phase == PhaseWaiting {
		t.setTimer(ripe, timerRipe, next.Spec.ID, next.Attempt)
	}
	return true
}

func (t *step) reservations() int {
	n := 0
	for it := t.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		if t.mustJob(id).RipeAt > 0 {
			n++
		}
	}
	return n
}

// ripen plans anew, since the cheapest cell may be another by now, and stops the borrowers there.
func (t *step) ripen(j *Job) {
	queued := *j
	queued.Phase, queued.Placement, queued.RipeAt = PhaseQueued, nil, 0
	t.change(j, &queued)
	best, ok := t.planCell(&queued, t.policy.MinimumRun)
	if !ok {
		t.setTimer(t.now+reviewEvery, timerReview, j.Spec.ID, j.Attempt)
		return
	}
	t.evictAll(best.victims)
	t.place(&queued, best.placement, SlotKey{}, 0)
}

// planCell compares the likeliest cells and returns the place whose victims lose least.
func (t *step) planCell(j *Job, minimumRun timekeeper.Millis) (plan, bool) {
	d := j.Spec.Demand
	q := placer.ByReclaimable
	cells := t.cells.Largest(placer.ByFree, d.Within, planCells)
	for _, id := range t.cells.Largest(q, d.Within, planCells) {
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
	var rooms []room
	for _, worker := range t.cells.WorkersIn(d.Within, cell) {
		load, _ := t.cells.Load(worker)
		rooms = append(rooms, room{worker, load.Reclaimable() / d.Accelerators, load.Free() / d.Accelerators})
	}
	slices.SortStableFunc(rooms, func(a, b room) int { return cmp.Compare(b.free, a.free) })
	p, ok := fillRooms(rooms, d.Members)
	if !ok {
		return plan{}, false
	}
	victims, cost, ok := t.victims(j, SlotKey{}, p, minimumRun)
	return plan{p, victims, cost}, ok
}

// backfill places a job on accelerators that a reservation holds, if it can be stopped without loss or is expected
// to end before the reservation ripens.
func (t *step) backfill(j *Job) bool {
	for it := t.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		r := t.mustJob(id)
		if r.RipeAt == 0 || !j.Spec.Checkpoint && t.now+t.expectedRun(j.Spec) > r.RipeAt {
			continue
		}
		p, ok := t.withoutPromise(r).Place(j.Spec.Demand, placer.ByFree)
		if ok && p.Members() == j.Spec.Demand.Members {
			t.place(j, p, SlotKey{}, 0)
			return true
		}
	}
	return false
}

// withoutPromise returns the cells as they would be without the reservation of r.
func (t *step) withoutPromise(r *Job) placer.Cells {
	var loads []placer.Load
	for _, part := range r.Placement {
		load, _ := t.cells.Load(part.Worker)
		h := holdingOf(r, part.Worker)
		load.Promised -= h.promised
		load.PromisedCores -= h.promisedCores
		loads = append(loads, load)
	}
	return t.cells.WithLoads(loads...)
}
