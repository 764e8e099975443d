package scheduler

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
)

// setWorkspace adds or changes a workspace, provided that all guaranteed shapes still fit at once.
func (t *step) setWorkspace(w Workspace) error {
	if err := w.Validate(); err != nil {
		return refusal("workspace %q: %v", w.Name, err)
	}
	w.Weight = max(w.Weight, 1)
	missingBefore := t.missingAccelerators()
	next := &account{Workspace: w}
	if old, ok := t.accounts.Get(w.Name); ok {
		copied := *old
		copied.Workspace = w
		next = &copied
	}
	t.accounts = t.accounts.Set(w.Name, next)
	if err := t.resizeSlots(w); err != nil {
		return err
	}
	if !t.usesSlots() {
		return nil
	}
	t.repairSlots()
	if missing := t.missingAccelerators(); missing > missingBefore {
		return refusal("workspace %q: the guaranteed shapes do not all fit at once: %d accelerators short", w.Name, missing-missingBefore)
	}
	if spare := t.cells.Total(placer.BySpare); spare < t.policy.SpareAccelerators {
		return refusal("workspace %q: leaves %d accelerators outside all guarantees, want %d", w.Name, spare, t.policy.SpareAccelerators)
	}
	if t.missingAccelerators() == 0 {
		t.saveFeasibleBindings()
	}
	t.retryQueue = true
	return nil
}

func (t *step) usesSlots() bool {
	return t.policy.Guarantee == GuaranteeShapes || t.policy.Guarantee == GuaranteeStatic
}

func (t *step) removeWorkspace(name string) error {
	a, ok := t.accounts.Get(name)
	if !ok {
		return refusal("workspace %q: not known", name)
	}
	if a.Running > 0 || t.hasQueued(name) {
		return refusal("workspace %q: has jobs that have not ended", name)
	}
	if err := t.resizeSlots(Workspace{Name: name}); err != nil {
		return err
	}
	t.accounts = t.accounts.Delete(name)
	t.repairSlots()
	return nil
}

func (t *step) hasQueued(workspace string) bool {
	found := false
	for it := t.queue.Iterator(); !it.Done() && !found; {
		key, _, _ := it.Next()
		found = t.mustJob(key.job).Spec.Workspace == workspace
	}
	return found
}

// resizeSlots replaces a workspace's slots by those of its guarantee. It keeps each slot whose shape is unchanged.
func (t *step) resizeSlots(w Workspace) error {
	var wanted []placer.Demand
	for _, shape := range w.Guarantee {
		for range shape.Count {
			wanted = append(wanted, shape.Demand)
		}
	}
	var old []Slot
	t.slotsOf(w.Name, func(slot Slot) bool {
		old = append(old, slot)
		return true
	})
	for i, slot := range old {
		if i < len(wanted) && wanted[i] == slot.Demand {
			continue
		}
		if err := t.dropSlot(slot); err != nil {
			return err
		}
	}
	for i, d := range wanted {
		key := SlotKey{w.Name, i + 1}
		if _, kept := t.slots.Get(key); !kept {
			t.slots = t.slots.Set(key, Slot{Key: key, Demand: d})
		}
	}
	return nil
}

// dropSlot removes a slot. Its jobs continue as borrowers; if one of them may not be preempted, the removal is
// refused.
func (t *step) dropSlot(slot Slot) error {
	for _, id := range slot.Jobs {
		j := t.mustJob(id)
		if !j.Spec.Repeatable {
			return refusal("workspace %q: job %s may not be stopped and runs under the guarantee to be removed", slot.Key.Workspace, id)
		}
		next := *j
		next.Slot = SlotKey{}
		t.updateJob(j, &next)
	}
	t.bind(slot, nil)
	t.slots = t.slots.Delete(slot.Key)
	return nil
}

// bind replaces the binding of a slot by next.
func (t *step) bind(slot Slot, next placer.Placement) {
	deltas := map[string]int{}
	var order []string
	add := func(p placer.Placement, sign int) {
		for _, part := range p {
			if _, seen := deltas[part.Worker]; !seen {
				order = append(order, part.Worker)
			}
			deltas[part.Worker] += sign * part.Members * slot.Demand.Accelerators
		}
	}
	add(slot.Binding, -1)
	add(next, +1)
	var loads []placer.Load
	for _, worker := range order {
		load, known := t.cells.Load(worker)
		if deltas[worker] == 0 || !known {
			continue
		}
		load.Bound += deltas[worker]
		loads = append(loads, load)
	}
	if len(loads) > 0 {
		t.cells = t.cells.WithLoads(loads...)
	}
	current, _ := t.slots.Get(slot.Key)
	current.Key, current.Demand, current.Binding = slot.Key, slot.Demand, next
	t.slots = t.slots.Set(slot.Key, current)
}

func (t *step) missingAccelerators() int {
	n := 0
	t.Slots(func(slot Slot) { n += slot.MissingMembers() * slot.Demand.Accelerators })
	return n
}

// guaranteeDemand returns the demand that a slot is bound by: accelerators only, no cores.
func guaranteeDemand(d placer.Demand) placer.Demand {
	d.Cores = 0
	return d
}

// repairSlots unbinds slots from unusable workers and binds every incomplete slot, first to spare accelerators, then
// by repacking all idle slots.
func (t *step) repairSlots() {
	t.dropUnusableParts()
	for _, slot := range t.incompleteSlots() {
		t.repairSlot(slot)
	}
	if len(t.incompleteSlots()) > 0 {
		t.repackIdle()
	}
}

func (t *step) dropUnusableParts() {
	var affected []Slot
	t.Slots(func(slot Slot) {
		if slices.ContainsFunc(slot.Binding, func(p placer.Part) bool { return !t.keepsPart(slot, p) }) {
			affected = append(affected, slot)
		}
	})
	for _, slot := range affected {
		kept := slices.DeleteFunc(slices.Clone(slot.Binding), func(p placer.Part) bool { return !t.keepsPart(slot, p) })
		t.bind(slot, kept)
	}
}

// keepsPart reports whether a part's worker is usable, or still runs a job of the slot to its end.
func (t *step) keepsPart(slot Slot, p placer.Part) bool {
	load, known := t.cells.Load(p.Worker)
	if known && load.Usable {
		return true
	}
	return known && slices.ContainsFunc(slot.Jobs, func(id string) bool {
		return t.mustJob(id).Placement.On(p.Worker) > 0
	})
}

// incompleteSlots returns the slots that lack members, largest first.
func (t *step) incompleteSlots() []Slot {
	var incomplete []Slot
	t.Slots(func(slot Slot) {
		if slot.MissingMembers() > 0 {
			incomplete = append(incomplete, slot)
		}
	})
	sortBySize(incomplete)
	return incomplete
}

func sortBySize(slots []Slot) {
	slices.SortStableFunc(slots, func(a, b Slot) int {
		return cmp.Or(
			cmp.Compare(b.Demand.Total(), a.Demand.Total()),
			cmp.Compare(b.Demand.Accelerators, a.Demand.Accelerators),
			cmp.Compare(a.Demand.Within, b.Demand.Within),
		)
	})
}

func (t *step) repairSlot(slot Slot) {
	if len(slot.Jobs) == 0 {
		t.bind(slot, nil)
		if p, ok := t.cells.Place(guaranteeDemand(slot.Demand), placer.BySpare); ok {
			t.bind(t.slot(slot.Key), p)
		}
		return
	}
	if len(slot.Binding) == 0 {
		return // its jobs are all stopping; the slot is repaired when the last has ended
	}
	load, _ := t.cells.Load(slot.Binding[0].Worker)
	missing := guaranteeDemand(slot.Demand)
	missing.Members = slot.MissingMembers()
	if p, ok := t.cells.PlaceIn(missing, placer.BySpare, load.Worker.Cell(missing.Within)); ok {
		t.bind(slot, mergePlacements(slot.Binding, p))
	}
}

func (t *step) slot(key SlotKey) Slot {
	slot, _ := t.slots.Get(key)
	return slot
}

func mergePlacements(a, b placer.Placement) placer.Placement {
	merged := slices.Clone(a)
	for _, part := range b {
		i := slices.IndexFunc(merged, func(p placer.Part) bool { return p.Worker == part.Worker })
		if i >= 0 {
			merged[i].Members += part.Members
			continue
		}
		merged = append(merged, part)
	}
	slices.SortFunc(merged, func(x, y placer.Part) int { return cmp.Compare(x.Worker, y.Worker) })
	return merged
}

// repackIdle binds all idle slots again and keeps the result if fewer accelerators are missing. It tries the largest
// slots first, then the bindings with which all slots last fit at once.
func (t *step) repackIdle() {
	before, missingBefore := t.State, t.missingAccelerators()
	best, bestMissing := before, missingBefore
	for _, repack := range []func([]Slot){t.bindLargestFirst, t.bindFeasible} {
		t.State = before
		repack(t.unbindIdle())
		if missing := t.missingAccelerators(); missing < bestMissing {
			best, bestMissing = t.State, missing
		}
	}
	t.State = best
}

func (t *step) unbindIdle() []Slot {
	var idle []Slot
	t.Slots(func(slot Slot) {
		if len(slot.Jobs) == 0 {
			idle = append(idle, slot)
		}
	})
	for _, slot := range idle {
		t.bind(slot, nil)
	}
	return idle
}

func (t *step) bindLargestFirst(idle []Slot) {
	sortBySize(idle)
	for _, slot := range idle {
		if p, ok := t.cells.Place(guaranteeDemand(slot.Demand), placer.BySpare); ok {
			t.bind(t.slot(slot.Key), p)
		}
	}
}

func (t *step) bindFeasible(idle []Slot) {
	for _, slot := range idle {
		if t.isSpare(slot, slot.FeasibleBinding) {
			t.bind(t.slot(slot.Key), slot.FeasibleBinding)
		}
	}
	t.bindLargestFirst(t.filterIncomplete(idle))
}

func (t *step) isSpare(slot Slot, p placer.Placement) bool {
	for _, part := range p {
		load, known := t.cells.Load(part.Worker)
		if !known || load.Spare() < part.Members*slot.Demand.Accelerators {
			return false
		}
	}
	return p.Members() == slot.Demand.Members
}

func (t *step) filterIncomplete(slots []Slot) []Slot {
	return slices.DeleteFunc(slices.Clone(slots), func(s Slot) bool { return t.slot(s.Key).MissingMembers() == 0 })
}

// saveFeasibleBindings records the current bindings, with which all slots fit at once.
func (t *step) saveFeasibleBindings() {
	var slots []Slot
	t.Slots(func(slot Slot) { slots = append(slots, slot) })
	for _, slot := range slots {
		slot.FeasibleBinding = slot.Binding
		t.slots = t.slots.Set(slot.Key, slot)
	}
}
