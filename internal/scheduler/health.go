package scheduler

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
)

const percent = 100

// joinWorker adds a worker as declared. A worker that returns after a loss holds no members.
func (t *step) joinWorker(w placer.Worker) error {
	if w.ID == "" || w.Accelerators < 0 || w.Cores < 0 {
		return refusal("worker %q: id must not be empty, accelerators and cores not negative", w.ID)
	}
	if load, known := t.cells.Load(w.ID); known && load.Worker != w && load.Used+load.Reserved > 0 {
		return refusal("worker %q: declares other hardware while jobs are placed on it", w.ID)
	}
	h, _ := t.health.Get(w.ID)
	h.Lost = false
	h.Drained = false // a restarted agent process accepts members again
	t.cells = t.cells.WithWorker(w)
	t.setHealth(w.ID, h)
	t.repairAfterWorkerChange()
	return nil
}

// loseWorker ends all members on a worker. The leases of the worker must have expired.
func (t *step) loseWorker(id string) error {
	if _, known := t.cells.Load(id); !known {
		return refusal("worker %q: not known", id)
	}
	h, _ := t.health.Get(id)
	h.Lost = true
	t.setHealth(id, h)
	for _, j := range t.JobsOn(id) {
		t.releaseLostMembers(j, id)
	}
	t.repairAfterWorkerChange()
	return nil
}

func (t *step) releaseLostMembers(j *Job, worker string) {
	if j.Phase == PhaseWaiting {
		t.requeue(j, j)
		return
	}
	next := *j
	next.MemberLost = true
	t.updateJob(j, &next)
	t.stop(&next, stopLost)
	j = t.mustJob(j.Spec.ID)
	if j.StopCause == stopPreempted {
		lost := *j
		lost.StopCause = stopLost
		t.updateJob(j, &lost)
		j = &lost
	}
	t.releasePart(j, j.partIndex(worker), OutcomeStopped, 0)
}

func (t *step) drainWorker(d WorkerDrained) error {
	if _, known := t.cells.Load(d.Worker); !known {
		return refusal("worker %q: not known", d.Worker)
	}
	h, _ := t.health.Get(d.Worker)
	h.Drained = d.Drained
	t.setHealth(d.Worker, h)
	if d.Drained && d.Evict {
		t.evictAll(t.evictableOn(d.Worker))
	}
	t.repairAfterWorkerChange()
	return nil
}

func (t *step) evictableOn(worker string) []*Job {
	return slices.DeleteFunc(t.JobsOn(worker), func(j *Job) bool { return !j.evictable() })
}

// repairAfterWorkerChange repairs guarantees after the set of usable workers has changed, and retries the queue.
func (t *step) repairAfterWorkerChange() {
	if t.usesSlots() {
		t.repairSlots()
	}
	t.retryQueue = true
}

func (t *step) setHealth(id string, h health) {
	if len(h.FailedJobs) == 0 && h.usable() {
		t.health = t.health.Delete(id)
	} else {
		t.health = t.health.Set(id, h)
	}
	load, _ := t.cells.Load(id)
	if load.Usable != h.usable() {
		load.Usable = h.usable()
		t.cells = t.cells.WithLoads(load)
	}
}

// recordFailure records that a job failed on a worker, and quarantines the worker once QuarantineAfter distinct jobs
// have failed on it in a row.
func (t *step) recordFailure(worker, job string) {
	h, _ := t.health.Get(worker)
	if h.Quarantined || slices.Contains(h.FailedJobs, job) {
		return
	}
	h.FailedJobs = append(slices.Clone(h.FailedJobs), job)
	if t.policy.QuarantineAfter > 0 && len(h.FailedJobs) >= t.policy.QuarantineAfter && t.mayQuarantine() {
		h.Quarantined = true
		h.FailedJobs = nil
		t.setTimer(t.now+t.policy.QuarantineFor, timerQuarantine, worker, 0)
		t.setHealth(worker, h)
		t.repairAfterWorkerChange()
		return
	}
	t.setHealth(worker, h)
}

// mayQuarantine reports whether one more worker may be quarantined within QuarantineShare. One always may.
func (t *step) mayQuarantine() bool {
	n := 1
	for it := t.health.Iterator(); !it.Done(); {
		if _, h, _ := it.Next(); h.Quarantined {
			n++
		}
	}
	return n == 1 || n*percent <= t.policy.QuarantineShare*t.cells.Len()
}

func (t *step) recordSuccess(worker string) {
	h, known := t.health.Get(worker)
	if known && len(h.FailedJobs) > 0 {
		h.FailedJobs = nil
		t.setHealth(worker, h)
	}
}

func (t *step) endQuarantine(worker string) {
	h, _ := t.health.Get(worker)
	h.Quarantined = false
	t.setHealth(worker, h)
	t.repairAfterWorkerChange()
}

// setPolicy replaces the policy. Running jobs continue; queued jobs are ordered again.
func (t *step) setPolicy(p Policy) {
	var queued []*Job
	for it := t.queue.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		queued = append(queued, t.mustJob(key.job))
	}
	for _, j := range queued {
		t.queue = t.queue.Delete(t.queueKey(j))
	}
	t.policy = p
	for _, j := range queued {
		next := *j
		next.Rank = t.rank(j.Spec)
		t.jobs = t.jobs.Set(j.Spec.ID, &next)
		t.queue = t.queue.Set(t.queueKey(&next), struct{}{})
	}
	t.repairAfterWorkerChange()
}
