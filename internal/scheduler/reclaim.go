package scheduler

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// claim is a way to run a job in a slot.
type claim struct {
	slot       SlotKey
	newBinding placer.Placement // the slot's new binding, nil to keep the current one
	stateAfter State            // the state with other slots rebound, the zero State if none are
	placement  placer.Placement
	victims    []*Job
	cost       int64 // lost work in accelerator-milliseconds
}

// useSlot runs a job in one of its workspace's slots. Without evict, it uses free accelerators only. With evict, it
// preempts the jobs that lose the least work.
func (t *step) useSlot(j *Job, evict bool) bool {
	var best *claim
	t.slotsOf(j.Spec.Workspace, func(slot Slot) bool {
		if c := t.claimSlot(j, slot, evict); c != nil && (best == nil || c.cost < best.cost) {
			best = c
		}
		return best == nil || best.cost > 0 || len(best.victims) > 0
	})
	if best == nil {
		return false
	}
	t.rebind(best)
	t.evictAll(best.victims)
	t.demoteLowerClasses(j, best)
	t.place(j, best.placement, best.slot, 0)
	return true
}

// demoteLowerClasses turns the workspace's own jobs of lower classes into borrowers if the new job takes their share
// of the slot and they need not stop for it.
func (t *step) demoteLowerClasses(j *Job, c *claim) {
	slot := t.slot(c.slot)
	for _, id := range slices.Clone(slot.Jobs) {
		if t.slotHasCapacity(j, t.slot(c.slot), c.placement) {
			return
		}
		other := t.mustJob(id)
		if other.Spec.Class <= j.Spec.Class || !other.evictable() {
			continue
		}
		next := *other
		next.Slot = SlotKey{}
		t.updateJob(other, &next)
	}
}

// slotHasCapacity reports whether the slot's remaining jobs leave capacity for placement p.
func (t *step) slotHasCapacity(j *Job, slot Slot, p placer.Placement) bool {
	for _, part := range p {
		load, _ := t.cells.Load(part.Worker)
		bound := placer.Part{Worker: part.Worker, Members: slot.Binding.On(part.Worker)}
		if t.capacityOn(j, slot, bound, load, false).members < part.Members {
			return false
		}
	}
	return true
}

func (t *step) rebind(c *claim) {
	switch {
	case c.stateAfter.slots != nil:
		t.State = c.stateAfter
	case c.newBinding != nil:
		t.bind(t.slot(c.slot), c.newBinding)
	}
}

// claimSlot returns the cheapest claim of the job on a slot, or nil.
func (t *step) claimSlot(j *Job, slot Slot, evict bool) *claim {
	best := t.claimBinding(j, slot, slot.Binding, evict)
	if best != nil && len(best.victims) == 0 || len(slot.Jobs) > 0 || !t.policy.Rebind {
		return best
	}
	if !shapeFits(slot.Demand, j.Spec.Demand) || slot.MissingMembers() > 0 {
		return best
	}
	if binding, ok := t.cells.Place(guaranteeDemand(slot.Demand), placer.ByFreeSpare); ok {
		if c := t.claimBinding(j, slot, binding, evict); c != nil && (best == nil || cheaper(c, best)) {
			c.newBinding = binding
			best = c
		}
	}
	if best != nil && len(best.victims) == 0 {
		return best
	}
	if c := t.claimByRebinding(j, slot); c != nil {
		return c
	}
	return best
}

func cheaper(a, b *claim) bool {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(len(a.victims), len(b.victims))) < 0
}

// claimByRebinding binds an idle slot to free accelerators, and the idle slots bound there to other workers, so that
// no job must stop. It returns nil if they do not all fit.
func (t *step) claimByRebinding(j *Job, slot Slot) *claim {
	p, ok := t.cells.Place(guaranteeDemand(slot.Demand), placer.ByFree)
	if !ok || !t.canRebindTo(slot, p) {
		return nil
	}
	before := t.State
	moved := t.idleSlotsOn(slot.Key, p)
	for _, other := range append(moved, slot) {
		t.bind(t.slot(other.Key), nil)
	}
	c := &claim{slot: slot.Key}
	if !t.isSpare(slot, p) || !t.rebindAll(t.slot(slot.Key), p, moved) {
		t.State = before
		return nil
	}
	if placement, ok := t.placeInBinding(j, t.slot(slot.Key), p, false); ok && t.isAvailable(j.Spec.Demand, placement) {
		c.placement, c.stateAfter = placement, t.State
	}
	t.State = before
	if c.placement == nil {
		return nil
	}
	return c
}

// canRebindTo reports whether the slot fits beside the jobs under guarantees on the workers of p. Idle slots that are
// bound there can move; slots with jobs cannot.
func (t *step) canRebindTo(slot Slot, p placer.Placement) bool {
	for _, part := range p {
		load, known := t.cells.Load(part.Worker)
		if !known || load.Worker.Accelerators-load.NonReclaimable < part.Members*slot.Demand.Accelerators {
			return false
		}
	}
	return true
}

// idleSlotsOn returns the idle slots other than key that are bound to a worker of the placement, largest first.
func (t *step) idleSlotsOn(key SlotKey, p placer.Placement) []Slot {
	var found []Slot
	t.Slots(func(other Slot) {
		if other.Key == key || len(other.Jobs) > 0 {
			return
		}
		if slices.ContainsFunc(other.Binding, func(part placer.Part) bool { return p.On(part.Worker) > 0 }) {
			found = append(found, other)
		}
	})
	sortBySize(found)
	return found
}

// rebindAll binds a slot to p and the moved slots to other workers. It reports whether all of them fit.
func (t *step) rebindAll(slot Slot, p placer.Placement, moved []Slot) bool {
	t.bind(slot, p)
	for _, other := range moved {
		next, ok := t.cells.Place(guaranteeDemand(other.Demand), placer.BySpare)
		if !ok {
			return false
		}
		t.bind(t.slot(other.Key), next)
	}
	return true
}

// claimBinding returns a claim of the job on a slot with the given binding, or nil.
func (t *step) claimBinding(j *Job, slot Slot, binding placer.Placement, evict bool) *claim {
	p, ok := t.placeInBinding(j, slot, binding, evict)
	if !ok {
		return nil
	}
	if !evict {
		if !t.isAvailable(j.Spec.Demand, p) {
			return nil
		}
		return &claim{slot: slot.Key, placement: p}
	}
	victims, cost, ok := t.chooseVictims(j, slot.Key, p, 0)
	if !ok {
		return nil
	}
	return &claim{slot: slot.Key, placement: p, victims: victims, cost: cost}
}

// isAvailable reports whether the accelerators and cores of a placement are free and not reserved.
func (t *step) isAvailable(d placer.Demand, p placer.Placement) bool {
	for _, part := range p {
		load, _ := t.cells.Load(part.Worker)
		if load.Free() < part.Members*d.Accelerators || load.FreeCores() < part.Members*d.Cores {
			return false
		}
	}
	return true
}

// workerCapacity is the number of members of a job that fit on a worker.
type workerCapacity struct {
	worker  string
	members int
	free    int // members that fit without stopping any job
}

// placeInBinding finds a placement for the job inside a binding, in the capacity that the slot's other jobs leave.
// With evict, the workspace's own jobs of lower classes do not count.
func (t *step) placeInBinding(j *Job, slot Slot, binding placer.Placement, evict bool) (placer.Placement, bool) {
	d := j.Spec.Demand
	if d.Accelerators == 0 {
		return nil, false
	}
	groups := map[string][]workerCapacity{}
	var order []string
	for _, part := range binding {
		load, _ := t.cells.Load(part.Worker)
		r := t.capacityOn(j, slot, part, load, evict)
		if r.members == 0 {
			continue
		}
		cell := load.Worker.Cell(d.Within)
		if _, seen := groups[cell]; !seen {
			order = append(order, cell)
		}
		groups[cell] = append(groups[cell], r)
	}
	for _, cell := range order {
		if p, ok := fillWorkers(groups[cell], d.Members); ok {
			return p, true
		}
	}
	return nil, false
}

func (t *step) capacityOn(j *Job, slot Slot, part placer.Part, load placer.Load, evict bool) workerCapacity {
	d := j.Spec.Demand
	if !load.Usable || !withinCoreShare(d, load.Worker) {
		return workerCapacity{}
	}
	left := part.Members * slot.Demand.Accelerators
	for _, id := range slot.Jobs {
		other := t.mustJob(id)
		if other.Phase == PhaseStopping || evict && other.Spec.Class > j.Spec.Class && other.evictable() {
			continue
		}
		left -= other.Placement.On(part.Worker) * other.Spec.Demand.Accelerators
	}
	free := min(left, load.Free())
	return workerCapacity{part.Worker, max(left, 0) / d.Accelerators, max(free, 0) / d.Accelerators}
}

// withinCoreShare reports whether a member demands no more cores than the worker has for that share of its
// accelerators. A guarantee covers no more; otherwise the cores of one workspace could keep another from its
// accelerators.
func withinCoreShare(d placer.Demand, w placer.Worker) bool {
	return w.Accelerators > 0 && d.Cores*w.Accelerators <= d.Accelerators*w.Cores
}

// fillWorkers places members, first where no job must be stopped for them, and reports whether all fit. It sorts
// workers in place.
func fillWorkers(workers []workerCapacity, members int) (placer.Placement, bool) {
	slices.SortStableFunc(workers, func(a, b workerCapacity) int { return cmp.Compare(b.free, a.free) })
	var p placer.Placement
	for _, w := range workers {
		if n := min(w.members, members); n > 0 {
			p = append(p, placer.Part{Worker: w.worker, Members: n})
			members -= n
		}
	}
	slices.SortFunc(p, func(a, b placer.Part) int { return cmp.Compare(a.Worker, b.Worker) })
	return p, members == 0
}

// shortfall is the capacity that must come free on a worker before a job can run there.
type shortfall struct{ accelerators, cores int }

// chooseVictims returns the jobs to preempt so that placement p comes free, and the work that they lose. A job under
// slot also preempts its workspace's lower classes in that slot. minimumRun protects borrowers that started recently.
func (t *step) chooseVictims(j *Job, slot SlotKey, p placer.Placement, minimumRun timekeeper.Millis) ([]*Job, int64, bool) {
	chosen := map[string]*Job{}
	var list []*Job
	var cost int64
	for _, part := range p {
		missing := t.shortage(j, part, chosen)
		if missing.accelerators <= 0 && missing.cores <= 0 {
			continue
		}
		for _, v := range t.preemptionCandidates(j, slot, part.Worker, minimumRun, chosen) {
			chosen[v.Spec.ID] = v
			list = append(list, v)
			cost += v.lostWork(t.now)
			missing = t.shortage(j, part, chosen)
			if missing.accelerators <= 0 && missing.cores <= 0 {
				break
			}
		}
		if missing.accelerators > 0 || missing.cores > 0 {
			return nil, 0, false
		}
	}
	return list, cost, true
}

// shortage returns what a part lacks after all stopping jobs and the chosen victims have ended.
func (t *step) shortage(j *Job, part placer.Part, chosen map[string]*Job) shortfall {
	load, _ := t.cells.Load(part.Worker)
	missing := shortfall{
		part.Members*j.Spec.Demand.Accelerators - (load.Worker.Accelerators - load.Used - load.Reserved),
		part.Members*j.Spec.Demand.Cores - (load.Worker.Cores - load.UsedCores - load.ReservedCores),
	}
	for _, other := range t.JobsOn(part.Worker) {
		own := other.Spec.ID == j.Spec.ID && j.Phase == PhaseWaiting
		if other.Phase != PhaseStopping && chosen[other.Spec.ID] == nil && !own {
			continue
		}
		u := usageOf(other, part.Worker)
		missing.accelerators -= u.used + u.reserved
		missing.cores -= u.usedCores + u.reservedCores
	}
	return missing
}

// preemptionCandidates returns the jobs on a worker that may be preempted for j, the least urgent class first, and
// within a class those that lose least.
func (t *step) preemptionCandidates(j *Job, slot SlotKey, worker string, minimumRun timekeeper.Millis, chosen map[string]*Job) []*Job {
	var found []*Job
	for _, other := range t.JobsOn(worker) {
		if chosen[other.Spec.ID] != nil || !other.evictable() || other.Spec.ID == j.Spec.ID {
			continue
		}
		own := other.Slot == slot && slot != SlotKey{} && other.Spec.Class > j.Spec.Class
		if own || other.Borrowed() && !t.isProtected(other, minimumRun) {
			found = append(found, other)
		}
	}
	slices.SortStableFunc(found, func(a, b *Job) int {
		return cmp.Or(
			cmp.Compare(b.Spec.Class, a.Spec.Class),
			cmp.Compare(a.lostWork(t.now), b.lostWork(t.now)),
			cmp.Compare(b.Started, a.Started),
			cmp.Compare(a.Spec.ID, b.Spec.ID),
		)
	})
	return found
}

// isProtected reports whether a reservation must not preempt a running borrower: it started recently, or it cannot
// checkpoint and was preempted before.
func (t *step) isProtected(j *Job, minimumRun timekeeper.Millis) bool {
	if minimumRun == 0 || j.Phase != PhaseRunning {
		return false
	}
	return t.now-j.Started < minimumRun || !j.Spec.CanCheckpoint && j.Preempted > 0
}

// evictAll preempts the victims. Those that still wait for their accelerators return to the queue.
func (t *step) evictAll(victims []*Job) {
	for _, v := range victims {
		if v.Phase == PhaseWaiting {
			t.requeue(v, v)
			continue
		}
		t.stop(v, stopPreempted)
	}
}
