package scheduler

import (
	"fmt"
	"math/bits"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// minReviewInterval is the time until the first review of a queued gang, and the shortest time between two reviews. A
	// review tries to get the gang placed by a reservation or by preempting smaller jobs that can run elsewhere.
	minReviewInterval = 15 * timekeeper.Second
	// expectedQuantile is the quantile of observed run times that is taken as a job's expected run time.
	expectedQuantile = 0.5
	// totalFailuresFactor times Policy.MaxFailures is the number of failed attempts, on any workers, that ends a job.
	// Policy.MaxFailures itself counts distinct workers, and a job that few workers can hold may never reach it.
	totalFailuresFactor = 3
	// maxArmFailures is the number of attempts that fail to arm, over the job's whole time, that ends a job.
	maxArmFailures = 10
)

// submit queues a job, or ends it as not run if it can never run. It returns an error if the spec is invalid.
func (t *step) submit(spec JobSpec) error {
	if _, known := t.jobs.Get(spec.ID); known {
		return refusal("job %s: already submitted", spec.ID)
	}
	if _, ok := t.accounts.Get(spec.Workspace); !ok {
		return refusal("workspace %q: not known", spec.Workspace)
	}
	if spec.Class >= numClasses {
		return refusal("class: unknown value %d", spec.Class)
	}
	if err := spec.Demand.Validate(); err != nil {
		return refusal("demand.%v", err)
	}
	j := &Job{Spec: spec, Submitted: t.now}
	if reason := t.infeasibleReason(spec); reason != "" {
		t.endJob(nil, j, EndNotRun, reason)
		t.decide(DecideRefuse, t.mustJob(spec.ID), false)
		return nil
	}
	t.enqueue(nil, j)
	return nil
}

// infeasibleReason returns why a job can never run, or the empty string.
func (t *step) infeasibleReason(spec JobSpec) string {
	if !t.cells.Feasible(spec.Demand) {
		return "no " + spec.Demand.Within.String() + " of the declared topology holds the whole gang"
	}
	// Without guaranteed shapes, a job of any shape may borrow.
	if t.policy.Guarantee == GuaranteeNone || t.policy.Guarantee == GuaranteeCounts {
		return ""
	}
	// A repeatable job may borrow, except under GuaranteeStatic.
	if spec.Repeatable && t.policy.Guarantee != GuaranteeStatic {
		return ""
	}
	fits := false
	t.slotsOf(spec.Workspace, func(slot Slot) bool {
		fits = t.emptySlotFits(slot, spec)
		return !fits
	})
	if !fits {
		return "a job that may not be repeated runs only inside its workspace's guarantee, and no guaranteed shape holds it"
	}
	return ""
}

// shapeFits reports whether a gang of demand d can run in any slot of the given shape. If d must lie in a smaller cell
// than the shape, it must fit on one member of the slot, since the other members may lie in other cells.
func shapeFits(shape, d placer.Demand) bool {
	if d.Accelerators == 0 || d.Within < shape.Within && shape.Members > 1 && d.Members > 1 && d.Total() > shape.Accelerators {
		return false
	}
	perMember := shape.Accelerators / d.Accelerators
	return perMember*shape.Members >= d.Members
}

// emptySlotFits reports whether the job could run in the slot if no other job did. A slot with missing members counts by
// its shape, since its missing members are bound again to workers that have capacity.
func (t *step) emptySlotFits(slot Slot, spec JobSpec) bool {
	if slot.MissingMembers() > 0 {
		return shapeFits(slot.Demand, spec.Demand) && t.anyWorkerHasCores(spec.Demand)
	}
	empty := Slot{Key: slot.Key, Demand: slot.Demand}
	_, ok := t.placeInBinding(&Job{Spec: spec}, empty, slot.Binding, false)
	return ok
}

// anyWorkerHasCores reports whether withinCoreShare holds for some worker.
func (t *step) anyWorkerHasCores(d placer.Demand) bool {
	found := false
	t.cells.VisitLoads(func(l placer.Load) {
		found = found || withinCoreShare(d, l.Worker)
	})
	return found
}

func (t *step) mustJob(id string) *Job {
	j, _ := t.jobs.Get(id)
	return j
}

// enqueue queues a job that holds no accelerators. old is the job as stored, or nil if it is new; j may have changes
// that are not yet stored.
func (t *step) enqueue(old *Job, j *Job) {
	next := *j
	next.Phase = PhaseQueued
	if old == nil || j.Started > 0 {
		next.Enqueued = t.now // a job that loses its placement before its attempt runs keeps the start of its wait
	}
	next.Placement, next.Slot, next.Armed, next.Released = nil, SlotKey{}, nil, nil
	next.StopCause, next.MemberLost, next.PreemptAt, next.StopDeadline, next.Started = stopNone, false, 0, 0, 0
	next.Rank = t.rank(next.Spec)
	t.updateJob(old, &next)
	t.newlyQueued = append(t.newlyQueued, next.Spec.ID)
	t.setTimer(t.now+minReviewInterval, timerReview, next.Spec.ID, next.Attempt)
}

// rank orders the batch jobs of a workspace by their expected run time, rounded down to a power of two.
func (t *step) rank(spec JobSpec) int {
	if !t.policy.ShortestFirst || spec.Class != ClassBatch {
		return 0
	}
	return bits.Len64(uint64(t.expectedRunTime(spec)))
}

func (t *step) expectedRunTime(spec JobSpec) timekeeper.Millis {
	a, ok := t.accounts.Get(spec.Workspace)
	if !ok {
		return spec.DeclaredRunTime
	}
	return a.RunTimes[spec.Class].Estimate(spec.DeclaredRunTime, expectedQuantile)
}

// endJob ends a job. old is the job as stored, or nil if it is new; j may have changes that are not yet stored.
func (t *step) endJob(old, j *Job, end End, reason string) {
	next := *j
	next.Phase, next.End, next.Reason, next.EndedAt = PhaseEnded, end, reason, t.now
	next.Placement, next.Slot = nil, SlotKey{}
	t.updateJob(old, &next)
	if old != nil {
		t.decide(DecideEnd, &next, false)
	}
}

// cancel immediately ends those jobs that hold no accelerators, and starts to stop the others.
func (t *step) cancel(ids []string) {
	for _, id := range ids {
		j, ok := t.jobs.Get(id)
		if !ok {
			continue
		}
		switch j.Phase {
		case PhaseQueued, PhaseWaiting:
			t.endJob(j, j, cancelledEnd(j), "cancelled")
		case PhaseArming, PhaseRunning, PhaseStopping:
			t.stop(j, stopCancelled)
		}
	}
}

func cancelledEnd(j *Job) End {
	if j.EverStarted {
		return EndStopped
	}
	return EndNotRun
}

// stop asks the members of a placed job to stop. If the job is stopping already, only a cancellation replaces the
// cause.
func (t *step) stop(j *Job, cause stopCause) {
	next := *j
	if j.Phase == PhaseStopping {
		if cause == stopCancelled && j.StopCause != stopCancelled {
			next.StopCause = cause
			t.updateJob(j, &next)
		}
		return
	}
	next.Phase, next.StopCause = PhaseStopping, cause
	next.StopDeadline = t.now + t.policy.Grace
	t.updateJob(j, &next)
	t.decide(DecideStop, &next, false)
}

// arm starts a new attempt of a placed job, whose members now hold the accelerators of the placement. None of these may
// be in use. old is the job as stored; j may have changes that are not yet stored.
func (t *step) arm(old, j *Job) {
	next := *j
	next.Phase = PhaseArming
	next.Attempt++
	next.Armed, next.Released = nil, nil
	next.AttemptSaved = maxSaved
	t.updateJob(old, &next)
	// place sets PhaseWaiting before it calls arm, so reclaim is false only for reservations and backfilled jobs.
	t.decide(DecideArm, &next, j.PreemptAt == 0 && j.Phase == PhaseWaiting)
	t.setTimer(t.now+t.policy.ArmTimeout, timerArm, next.Spec.ID, next.Attempt)
}

// reportedPart returns the job that a report is about and the index in its placement of the part, which is the job's
// members on the reporting worker. The job is nil if the report is stale.
func (t *step) reportedPart(r MemberReport) (*Job, int) {
	j, ok := t.jobs.Get(r.Job)
	if !ok || j.Attempt != r.Attempt {
		return nil, 0
	}
	i := j.partIndex(r.Worker)
	if i < 0 || j.Released.has(i) {
		return nil, 0
	}
	return j, i
}

func (t *step) memberArmed(r MemberReport) error {
	j, i := t.reportedPart(r)
	if j == nil || j.Phase != PhaseArming {
		return nil
	}
	next := *j
	next.Armed = j.Armed.with(i)
	if !next.Armed.full(len(next.Placement)) {
		t.updateJob(j, &next)
		return nil
	}
	next.Phase, next.Started, next.EverStarted = PhaseRunning, t.now, true
	t.updateJob(j, &next)
	t.decide(DecideStart, &next, false)
	return nil
}

// memberRefused starts to stop an attempt that a worker refused to arm, and releases the worker's part. Members that
// refused to arm hold no accelerators.
func (t *step) memberRefused(r MemberReport) error {
	j, i := t.reportedPart(r)
	if j == nil || j.Phase != PhaseArming && j.Phase != PhaseStopping {
		return nil
	}
	// Arming runs nothing of the job, so each refusal counts against the worker. recordFailure counts each key once; the
	// key includes the attempt, so that refusals in several attempts of one job all count.
	t.recordFailure(r.Worker, fmt.Sprintf("%s#%d", j.Spec.ID, j.Attempt))
	t.stop(j, stopUnarmed)
	t.releasePart(t.mustJob(r.Job), i, OutcomeStopped, 0)
	return nil
}

func (t *step) memberEnded(r MemberReport) error {
	j, i := t.reportedPart(r)
	if j == nil || j.Phase == PhaseQueued || j.Phase == PhaseWaiting {
		return nil
	}
	switch {
	case r.Outcome == OutcomeFailed:
		t.recordFailure(r.Worker, r.Job)
		t.recordFailedOn(t.mustJob(r.Job), r.Worker)
		t.stop(t.mustJob(r.Job), stopFailed)
	case r.Outcome == OutcomeStopped && j.Phase == PhaseArming:
		t.stop(j, stopUnarmed)
	case r.Outcome == OutcomeStopped && j.Phase == PhaseRunning:
		t.stop(j, stopLost) // the worker's lease expired or the platform stopped the members
	case r.Outcome == OutcomeFinished:
		t.recordSuccess(r.Worker)
	}
	t.releasePart(t.mustJob(r.Job), i, r.Outcome, r.SavedRunTime)
	return nil
}

// releasePart records that the members of part i no longer hold accelerators. The release of the last part ends the
// attempt. saved counts only for a part that did not finish, since a finished part does not limit what the job can
// resume from.
func (t *step) releasePart(j *Job, i int, outcome Outcome, saved timekeeper.Millis) {
	next := *j
	next.Released = j.Released.with(i)
	if outcome != OutcomeFinished {
		next.AttemptSaved = min(next.AttemptSaved, saved)
	}
	if outcome == OutcomeFinished {
		next.Finished++
	}
	t.updateJob(j, &next)
	if next.Released.full(len(next.Placement)) {
		t.endAttempt(&next)
	}
}

// endAttempt ends or requeues a job whose members have all released their accelerators. A job all of whose members
// finished ends as finished, even if it was being stopped.
func (t *step) endAttempt(j *Job) {
	next := *j
	if j.Finished == len(j.Placement) {
		t.recordRunTime(j)
		t.endJob(j, &next, EndFinished, "")
		return
	}
	if j.Started > 0 && j.AttemptSaved < maxSaved {
		next.SavedRunTime += j.AttemptSaved
	}
	next.Finished = 0
	switch j.StopCause {
	case stopCancelled:
		t.endCancelledAttempt(j, &next)
	case stopFailed:
		t.endFailedAttempt(j, &next)
	case stopLost:
		t.endLostAttempt(j, &next)
	case stopPreempted:
		next.Preempted++
		t.requeue(j, &next)
	default: // stopUnarmed
		t.endUnarmedAttempt(j, &next)
	}
}

func (t *step) endUnarmedAttempt(j, next *Job) {
	next.ArmFailures++
	if next.ArmFailures < maxArmFailures {
		t.requeue(j, next)
		return
	}
	end := EndNotRun
	if j.EverStarted {
		end = EndFailed
	}
	t.endJob(j, next, end, "its members could not be armed in any attempt")
}

// endCancelledAttempt ends a cancelled job. The outcome of a job that may not be repeated is unknown if a worker was
// lost while it ran, since members there may have finished without a report. It reads MemberLost, since a cancellation
// replaces the stop cause stopLost.
func (t *step) endCancelledAttempt(j, next *Job) {
	if j.MemberLost && j.Started > 0 && !j.Spec.Repeatable {
		t.endJob(j, next, EndUnknown, "cancelled, but a worker was lost while the job ran")
		return
	}
	t.endJob(j, next, cancelledEnd(j), "cancelled")
}

func (t *step) endFailedAttempt(j, next *Job) {
	next.Failures++
	if !j.Spec.Repeatable {
		t.endJob(j, next, EndFailed, "a member failed and the job may not be repeated")
		return
	}
	if t.failedOnHealthy(j) >= t.policy.MaxFailures || next.Failures >= totalFailuresFactor*t.policy.MaxFailures {
		t.endJob(j, next, EndFailed, "members failed in every attempt")
		return
	}
	t.requeue(j, next)
}

func (t *step) recordFailedOn(j *Job, worker string) {
	if slices.Contains(j.FailedOn, worker) {
		return
	}
	next := *j
	next.FailedOn = append(slices.Clip(slices.Clone(j.FailedOn)), worker)
	t.updateJob(j, &next)
}

// failedOnHealthy counts the workers that are not quarantined and on which members of the job failed. Failures on these
// indicate that the job is at fault.
func (t *step) failedOnHealthy(j *Job) int {
	n := 0
	for _, worker := range j.FailedOn {
		if h, _ := t.health.Get(worker); !h.Quarantined {
			n++
		}
	}
	return n
}

func (t *step) endLostAttempt(j, next *Job) {
	if j.Started > 0 && !j.Spec.Repeatable {
		t.endJob(j, next, EndUnknown, "a worker was lost while the job ran, and the job may not be repeated")
		return
	}
	t.requeue(j, next)
}

func (t *step) requeue(j, next *Job) {
	t.enqueue(j, next)
	t.decide(DecideRequeue, t.mustJob(j.Spec.ID), false)
}

func (t *step) recordRunTime(j *Job) {
	a, ok := t.accounts.Get(j.Spec.Workspace)
	if !ok {
		return
	}
	next := *a
	next.RunTimes[j.Spec.Class] = a.RunTimes[j.Spec.Class].WithObservation(j.SavedRunTime + t.now - j.Started)
	t.accounts = t.accounts.Set(j.Spec.Workspace, &next)
}
