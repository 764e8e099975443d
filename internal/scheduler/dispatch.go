package scheduler

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// backfillDepth limits the jobs of one workspace and class that a scheduling pass tries.
const backfillDepth = 128

// schedule arms waiting jobs whose accelerators have come free, then places queued jobs.
func (t *step) schedule() {
	t.repairIncompleteSlots()
	t.armWaiting()
	if t.retryQueue {
		t.startReservationsEarly()
		t.placeQueued()
		return
	}
	for _, id := range t.newlyQueued {
		if j := t.mustJob(id); j.Phase == PhaseQueued && t.mayBypassQueue(j) {
			t.tryPlace(j)
		}
	}
}

// mayBypassQueue reports whether a new job may be placed without trying the jobs ahead of it. Those were tried when
// capacity last came free, and did not fit.
func (t *step) mayBypassQueue(j *Job) bool {
	if j.Spec.Class == ClassBatch && t.policy.HoldBatch {
		return false
	}
	if !t.policy.StrictOrder {
		return true
	}
	it := t.queue.Iterator()
	key, _, _ := it.Next()
	return key.job == j.Spec.ID
}

// repairIncompleteSlots tries again to bind incomplete slots after another slot has become idle and may move.
func (t *step) repairIncompleteSlots() {
	if t.slotIdled && t.usesSlots() && len(t.incompleteSlots()) > 0 {
		t.repairSlots()
		t.retryQueue = true
	}
}

func (t *step) armWaiting() {
	if len(t.freedWorkers) == 0 || t.waiting.Len() == 0 {
		return
	}
	for it := t.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		if j := t.mustJob(id); j.Phase == PhaseWaiting && t.isUnused(j.Spec.Demand, j.Placement) {
			t.arm(j, j)
		}
	}
}

// isUnused reports whether the accelerators and cores of a placement are not in use. They may be reserved.
func (t *step) isUnused(d placer.Demand, p placer.Placement) bool {
	for _, part := range p {
		load, _ := t.cells.Load(part.Worker)
		if load.Worker.Accelerators-load.Used < part.Members*d.Accelerators ||
			load.Worker.Cores-load.UsedCores < part.Members*d.Cores {
			return false
		}
	}
	return true
}

// equivalenceKey identifies jobs that are equivalent within a pass: one of them fits if and only if the others do.
type equivalenceKey struct {
	demand     placer.Demand
	workspace  string
	class      Class
	repeatable bool
	checkpoint bool
	failed     int
}

func equivalenceKeyOf(j *Job) equivalenceKey {
	return equivalenceKey{j.Spec.Demand, j.Spec.Workspace, j.Spec.Class, j.Spec.Repeatable, j.Spec.CanCheckpoint, len(j.FailedOn)}
}

// placeQueued tries the queued jobs class by class. Within a class, the workspace that borrows least for its weight
// goes first.
func (t *step) placeQueued() {
	blocked := map[equivalenceKey]bool{}
	for class := ClassUrgent; class < numClasses; class++ {
		if class == ClassBatch && t.policy.HoldBatch {
			return
		}
		queues := t.workspaceQueues(class)
		for len(queues) > 0 {
			i := t.leastBorrowing(queues)
			if !t.placeNext(queues[i], blocked) {
				queues = slices.Delete(queues, i, i+1)
			}
			if t.policy.StrictOrder && len(queues) == 0 && t.queue.Len() > 0 {
				return
			}
		}
	}
}

// workspaceQueue is the queue of one workspace and class during a pass.
type workspaceQueue struct {
	workspace string
	jobs      []string
	next      int
}

// workspaceQueues returns the queues of a class, each limited to backfillDepth jobs.
func (t *step) workspaceQueues(class Class) []*workspaceQueue {
	var found []*workspaceQueue
	it := t.queue.Iterator()
	it.Seek(queueKey{class: class})
	for !it.Done() {
		key, _, _ := it.Next()
		if key.class != class {
			break
		}
		if len(found) == 0 || found[len(found)-1].workspace != key.workspace {
			found = append(found, &workspaceQueue{workspace: key.workspace})
		}
		q := found[len(found)-1]
		if len(q.jobs) < backfillDepth {
			q.jobs = append(q.jobs, key.job)
			continue
		}
		it.Seek(queueKey{class: class, workspace: key.workspace + "\x00"})
	}
	return found
}

func (t *step) leastBorrowing(queues []*workspaceQueue) int {
	best, bestShare := 0, 0.0
	for i, q := range queues {
		share := 0.0
		if a, ok := t.accounts.Get(q.workspace); ok {
			share = float64(a.Borrowed) / float64(a.Workspace.Weight)
		}
		if i == 0 || share < bestShare {
			best, bestShare = i, share
		}
	}
	return best
}

// placeNext places the next job of a queue that fits. It returns false if there is none.
func (t *step) placeNext(q *workspaceQueue, blocked map[equivalenceKey]bool) bool {
	for q.next < len(q.jobs) {
		j := t.mustJob(q.jobs[q.next])
		q.next++
		if j.Phase != PhaseQueued || blocked[equivalenceKeyOf(j)] {
			continue
		}
		if t.tryPlace(j) {
			return true
		}
		if t.policy.StrictOrder {
			return false
		}
		blocked[equivalenceKeyOf(j)] = true
	}
	return false
}

// tryPlace places a queued job if the policy allows it, and preempts other jobs where the guarantee entitles the job
// to their accelerators.
func (t *step) tryPlace(j *Job) bool {
	switch t.policy.Guarantee {
	case GuaranteeNone:
		return t.borrow(j)
	case GuaranteeCounts:
		return t.useQuota(j) || t.borrow(j)
	case GuaranteeStatic:
		return t.useSlot(j, false)
	}
	if t.avoidsWorkers(j) && t.borrow(j) {
		return true
	}
	if t.useSlot(j, false) {
		return true
	}
	if j.Spec.Class == ClassBatch && t.borrow(j) {
		return true
	}
	return t.useSlot(j, true) || t.borrow(j)
}

// findPlacement searches the free accelerators by the policy's method. It uses a worker on which the job has failed
// only if the other workers could not hold the job even when empty.
func (t *step) findPlacement(j *Job) (placer.Placement, bool) {
	p, ok := t.findPlacementIn(t.cells, j.Spec.Demand)
	if !ok || !t.avoidsWorkers(j) || !slices.ContainsFunc(j.FailedOn, func(w string) bool { return p.On(w) > 0 }) {
		return p, ok
	}
	elsewhere := t.cellsWithout(j.FailedOn)
	if other, ok := t.findPlacementIn(elsewhere, j.Spec.Demand); ok {
		return other, true
	}
	_, waits := elsewhere.Place(j.Spec.Demand, placer.ByCapacity)
	return p, !waits
}

func (t *step) avoidsWorkers(j *Job) bool { return len(j.FailedOn) > 0 && t.policy.QuarantineAfter > 0 }

func (t *step) findPlacementIn(c placer.Cells, d placer.Demand) (placer.Placement, bool) {
	if t.policy.FirstFit {
		return c.FirstFit(d, placer.ByFree)
	}
	return c.Place(d, placer.ByFree)
}

func (t *step) cellsWithout(workers []string) placer.Cells {
	var loads []placer.Load
	for _, worker := range workers {
		load, _ := t.cells.Load(worker)
		load.Usable = false
		loads = append(loads, load)
	}
	return t.cells.WithLoads(loads...)
}

// borrow places a job on free accelerators, whichever workspace they are guaranteed to. With guaranteed shapes, a job
// that may not be preempted does not borrow.
func (t *step) borrow(j *Job) bool {
	if !j.Spec.Repeatable && t.policy.Guarantee == GuaranteeShapes {
		return false
	}
	p, ok := t.findPlacement(j)
	if !ok {
		return t.backfill(j)
	}
	t.place(j, p, SlotKey{}, 0)
	return true
}

// place gives a queued job a placement. The job arms at once if the placement is free and not reserved, otherwise it
// waits. Borrowers may be preempted for it from preemptAt on; zero means that they already were.
func (t *step) place(j *Job, p placer.Placement, slot SlotKey, preemptAt timekeeper.Millis) {
	next := *j
	next.Phase, next.Placement, next.Slot = PhaseWaiting, p, slot
	next.PreemptAt = preemptAt
	if t.isAvailable(j.Spec.Demand, p) {
		t.arm(j, &next)
		return
	}
	t.updateJob(j, &next)
	t.decide(DecidePlace, &next, preemptAt == 0)
}

// useQuota places a job within its workspace's number of guaranteed accelerators, and preempts borrowers if it must.
func (t *step) useQuota(j *Job) bool {
	a, ok := t.accounts.Get(j.Spec.Workspace)
	if !ok || a.Running-a.Borrowed+j.Spec.Demand.Total() > a.Workspace.Accelerators() {
		return false
	}
	quota := SlotKey{Workspace: j.Spec.Workspace}
	if p, ok := t.findPlacement(j); ok {
		t.place(j, p, quota, 0)
		return true
	}
	plan, ok := t.cheapestPlan(j, 0)
	if !ok {
		return false
	}
	t.evictAll(plan.victims)
	t.place(j, plan.placement, quota, 0)
	return true
}
