package scheduler

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// claim is a way to run a job under a guarantee.
type claim struct {
	slot       SlotKey
	newBinding placer.Placement // the slot's new binding, nil to keep the present one
	stateAfter State            // with other slots moved too, where the zero State means that none are
	placement  placer.Placement
	victims    []*Job
	cost       int64 // accelerator-milliseconds of lost work
}

// useSlot runs a job inside one of its workspace's guaranteed gangs. Without evict it takes free accelerators
// only; with it, it stops whoever costs the least work.
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

// demoteLowerClasses turns the workspace's own lower classes into borrowers where the job takes their share of the slot and
// they need not stop for it.
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

// slotHasCapacity reports whether the slot's jobs that stay leave room for placement p.
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

// claimSlot returns the cheapest way to run the job inside a slot, or nil.
func (t *step) claimSlot(j *Job, slot Slot, evict bool) *claim {
	best := t.claimBinding(j, slot, slot.Binding, evict)
	if best != nil && len(best.victims) == 0 || len(slot.Jobs) > 0 || !t.policy.Rebind {
		return best
	}
	if !shapeFits(slot.Demand, j.Spec.Demand) || slot.MissingMembers() > 0 {
		return best
	}
	if binding, ok := t.cells.Place(guaranteeDemand(slot.Demand), placer.ByOpen); ok {
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

// claimByRebinding moves an idle slot to where accelerators are free, and the idle slots that are bound there elsewhere, so
// that nobody need stop. It fails where they do not all fit.
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

// canRebindTo reports whether only idle slots are bound where the placement lies: those of jobs cannot move.
func (t *step) canRebindTo(slot Slot, p placer.Placement) bool {
	for _, part := range p {
		load, known := t.cells.Load(part.Worker)
		if !known || load.Worker.Accelerators-load.Firm < part.Members*slot.Demand.Accelerators {
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

// rebindAll binds a slot to a placement and finds places for the slots that made way; it reports whether all fit.
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

// claimBinding returns a way to run the job on the given binding of a slot, or nil.
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

// isAvailable reports whether a placement is free and promised to nobody.
func (t *step) isAvailable(d placer.Demand, p placer.Placement) bool {
	for _, part := range p {
		load, _ := t.cells.Load(part.Worker)
		if load.Free() < part.Members*d.Accelerators || load.FreeCores() < part.Members*d.Cores {
			return false
		}
	}
	return true
}

// workerCapacity is what a binding part has left for a job.
type workerCapacity struct {
	worker  string
	members int
	free    int // members for which nothing must be stopped
}

// placeInBinding finds a place for the job inside a binding, on parts that other jobs of the slot leave. With evict,
// the workspace's own jobs of a lower class do not count.
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

// withinCoreShare reports whether a member asks for no more cores than belong to its accelerators: a guarantee covers
// these and no more, else one workspace's cores could keep another from its accelerators.
func withinCoreShare(d placer.Demand, w placer.Worker) bool {
	return w.Accelerators > 0 && d.Cores*w.Accelerators <= d.Accelerators*w.Cores
}

// fillWorkers places members where nothing must be stopped first.
func fillWorkers(rooms []workerCapacity, members int) (placer.Placement, bool) {
	slices.SortStableFunc(rooms, func(a, b workerCapacity) int { return cmp.Compare(b.free, a.free) })
	var p placer.Placement
	for _, r := range rooms {
		if n := min(r.members, members); n > 0 {
			p = append(p, placer.Part{Worker: r.worker, Members: n})
			members -= n
		}
	}
	slices.SortFunc(p, func(a, b placer.Part) int { return cmp.Compare(a.Worker, b.Worker) })
	return p, members == 0
}

// shortfall is what must come free on a worker before a job can run there.
type shortfall struct{ accelerators, cores int }

// chooseVictims chooses the jobs to stop so that placement p comes free, with the work that is lost. A job under slot
// stops its workspace's lower classes there too; minimumRun spares borrowers that started only just.
func (t *step) chooseVictims(j *Job, slot SlotKey, p placer.Placement, minimumRun timekeeper.Millis) ([]*Job, int64, bool) {
	chosen := map[string]*Job{}
	var list []*Job
	var cost int64
	for _, part := range p {
		short := t.shortage(j, part, chosen)
		if short.accelerators <= 0 && short.cores <= 0 {
			continue
		}
		for _, v := range t.preemptionCandidates(j, slot, part.Worker, minimumRun, chosen) {
			chosen[v.Spec.ID] = v
			list = append(list, v)
			cost += v.lostWork(t.now)
			short = t.shortage(j, part, chosen)
			if short.accelerators <= 0 && short.cores <= 0 {
				break
			}
		}
		if short.accelerators > 0 || short.cores > 0 {
			return nil, 0, false
		}
	}
	return list, cost, true
}

// shortage returns what a part lacks once all jobs that stop, and the chosen victims, are gone.
func (t *step) shortage(j *Job, part placer.Part, chosen map[string]*Job) shortfall {
	load, _ := t.cells.Load(part.Worker)
	short := shortfall{
		part.Members*j.Spec.Demand.Accelerators - (load.Worker.Accelerators - load.Used - load.Promised),
		part.Members*j.Spec.Demand.Cores - (load.Worker.Cores - load.UsedCores - load.PromisedCores),
	}
	for _, other := range t.JobsOn(part.Worker) {
		own := other.Spec.ID == j.Spec.ID && j.Phase == PhaseWaiting
		if other.Phase != PhaseStopping && chosen[other.Spec.ID] == nil && !own {
			continue
		}
		h := usageOf(other, part.Worker)
		short.accelerators -= h.used + h.reserved
		short.cores -= h.usedCores + h.reservedCores
	}
	return short
}

// preemptionCandidates returns the jobs on a worker that may be stopped for j, those that lose least first.
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

// isProtected reports whether a reservation lets a running borrower be: it started only just, or it cannot keep its
// progress and has lost it once already.
func (t *step) isProtected(j *Job, minimumRun timekeeper.Millis) bool {
	if minimumRun == 0 || j.Phase != PhaseRunning {
		return false
	}
	return t.now-j.Started < minimumRun || !j.Spec.Checkpoint && j.Preempted > 0
}

// evictAll stops the victims; those that only waited for their place go back to the queue.
func (t *step) evictAll(victims []*Job) {
	for _, v := range victims {
		if v.Phase == PhaseWaiting {
			t.requeue(v, v)
			continue
		}
		t.stop(v, stopPreempted)
	}
}
