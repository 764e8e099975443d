package planner

import (
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// longRunning returns a step of equal tasks that run until their job is cancelled.
func longRunning(count, accelerators int) modeler.Step {
	step := tasks(count, accelerators, 1000)
	step.LongRunning = true
	return step
}

// reclaimTime is the time in which a job within its guarantee starts: that of two stops and a few plans.
const reclaimTime = 2*stopTime + 6*tick

// checkStarts fails the test unless the first step of a job has started after span.
func (sim *simulation) checkStarts(job modeler.JobID, span timekeeper.Millis) {
	sim.t.Helper()
	sim.run(sim.now+span, nil)
	if _, started := sim.firstStepStartedAt[job]; !started {
		sim.t.Errorf("%s has not started after %v", job, span)
	}
}

// assigned returns the number of a job's tasks that are assigned.
func (sim *simulation) assigned(job modeler.JobID) int {
	n := 0
	j, _ := sim.state.Job(job)
	for _, instance := range j.Tasks {
		for _, t := range instance {
			if t.Phase == tracker.TaskAssigned {
				n++
			}
		}
	}
	return n
}

// TestLongRunningTaskAtWorkDoesNotCountAsNearlyDone guards against an urgent job within its guarantee for which nothing is stopped,
// since a long-running run reports 100 percent and its room seemed to come back at any moment (review/10).
func TestLongRunningTaskAtWorkDoesNotCountAsNearlyDone(t *testing.T) {
	sim := newSimulation(t, Plan, 3)
	sim.submit("service", "checks", "other", 9000, longRunning(8, 1))
	sim.run(2500, nil)
	sim.submit("ordinary", "checks", "other", 60_000, tasks(13, 1, 60_000))
	sim.run(6000, nil)
	sim.submit("urgent", "urgent", "guaranteed", 2500, tasks(1, 8, 2500))
	sim.checkStarts("urgent", reclaimTime)
	if n := sim.assigned("service"); n != 8 {
		t.Errorf("%d long-running tasks are assigned, want all 8, since ordinary work can be stopped", n)
	}
}

// TestGangThatCannotBeDoneHoldsNoRoom guards against a batch job that never begins beside idle workers, behind the firm
// reservation of a gang that needs the room of a long-running run (review/7).
func TestGangThatCannotBeDoneHoldsNoRoom(t *testing.T) {
	sim := newSimulation(t, Plan, 3)
	sim.now = 2 * maxDeferral
	sim.submit("service", "checks", "other", 9000, longRunning(1, 1))
	sim.run(sim.now+100, nil)
	sim.apply(tracker.Command{Submit: &modeler.Job{
		ID: "gang", Queue: "plans", Workspace: "other", Steps: []modeler.Step{gang(3, 8, 2*timekeeper.Minute)}, Submitted: sim.now,
		Repeat: 3, StartAt: sim.now - maxDeferral - timekeeper.Minute, Period: 10 * timekeeper.Minute,
	}})
	sim.run(sim.now+100, nil)
	sim.submit("batch", "checks", "other", 9000, tasks(1, 1, 9000))
	sim.checkStarts("batch", 3*timekeeper.Second)
}

// TestLongRunningBatchWorkIsStoppedForGuarantee guards against a guarantee that is never regained from long-running batch work
// (review/8). Its tasks start again elsewhere as far as there is room.
func TestLongRunningBatchWorkIsStoppedForGuarantee(t *testing.T) {
	sim := newSimulation(t, Plan, 3)
	sim.submit("service", "checks", "other", 9000, longRunning(24, 1))
	sim.run(2500, nil)
	sim.submit("urgent", "urgent", "guaranteed", 2500, tasks(1, 8, 2500))
	sim.checkStarts("urgent", reclaimTime)
	if n := sim.assigned("service"); n != 16 {
		t.Errorf("%d long-running tasks are assigned, want the 16 that fit beside the urgent one", n)
	}
}

// TestNoMoreLongRunningTasksAreStoppedThanTheirJobPermits guards against stops that leave more tasks of a long-running step away than
// its job permits, even for a guarantee.
func TestNoMoreLongRunningTasksAreStoppedThanTheirJobPermits(t *testing.T) {
	for permitted, want := range map[int]int{4: 24, 8: 16} {
		sim := newSimulation(t, Plan, 3)
		step := longRunning(24, 1)
		step.MaxAway = permitted
		sim.submit("service", "checks", "other", 9000, step)
		sim.run(2500, nil)
		sim.submit("urgent", "urgent", "guaranteed", 2500, tasks(1, 8, 2500))
		sim.run(sim.now+reclaimTime, nil)
		if n := sim.assigned("service"); n != want {
			t.Errorf("%d of 24 long-running tasks are assigned with %d that may be away, want %d", n, permitted, want)
		}
	}
}

// TestLongRunningTaskLeavesDrainingWorker guards against a long-running run that stays on a worker until it is gone, and stands still
// until its lease has ended, since its room seemed to come back before (review/13).
func TestLongRunningTaskLeavesDrainingWorker(t *testing.T) {
	sim := newSimulation(t, Plan, 3)
	sim.submit("service", "checks", "other", 9000, longRunning(1, 1))
	sim.run(100, nil)
	j, _ := sim.state.Job("service")
	w, _ := sim.state.Worker(j.Tasks[0][0].Worker)
	sim.apply(tracker.Command{Drain: &tracker.Drain{Worker: w.Name, Epoch: w.Epoch}})
	sim.run(sim.now+stopTime+4*tick, nil)
	j, _ = sim.state.Job("service")
	if at := j.Tasks[0][0]; at.Phase != tracker.TaskAssigned || at.Worker == w.Name {
		t.Errorf("the task is %+v, want it on another worker than %s", at, w.Name)
	}
}

// TestLongRunningTaskBeyondGuaranteeIsStartedAgain guards against a long-running task that fails and never starts again beside idle
// accelerators, since its urgent job is beyond its guarantee and runs as many tasks as such a job may begin (review/6).
func TestLongRunningTaskBeyondGuaranteeIsStartedAgain(t *testing.T) {
	sim := newSimulation(t, Plan, 4)
	sim.submit("wide", "urgent", "guaranteed", 9000, longRunning(21, 1))
	failing := tracker.RunKey{Task: tracker.TaskKey{Job: "wide"}, Attempt: 1}
	sim.failAfter[failing] = 3000
	sim.run(1000, nil)
	sim.submit("beyond", "urgent", "guaranteed", 9000, longRunning(4, 1))
	sim.run(2500, nil)
	if wide, beyond := sim.assigned("wide"), sim.assigned("beyond"); wide != 21 || beyond != 4 {
		t.Fatalf("%d and %d tasks are assigned, want all 21 and 4", wide, beyond)
	}
	sim.run(3000+StandingLimit+6*tick, nil)
	j, _ := sim.state.Job("wide")
	if task := j.Tasks[0][0]; task.Phase != tracker.TaskAssigned || task.Attempt != 2 {
		t.Errorf("the task that failed is %+v, want its second run assigned", task)
	}
}

// TestLongRunningJobBeyondGuaranteeStartsWhole guards against the last tasks of a long-running urgent step that never start beside idle
// accelerators, since its job is beyond the guarantee from the start.
func TestLongRunningJobBeyondGuaranteeStartsWhole(t *testing.T) {
	sim := newSimulation(t, Plan, 4)
	sim.submit("wide", "urgent", "other", 9000, longRunning(21, 1))
	sim.run(StandingLimit+6*tick, nil)
	if n := sim.assigned("wide"); n != 21 {
		t.Errorf("%d of 21 tasks are assigned, want all", n)
	}
}

// TestRackGangWithinGuaranteeIsSpreadWhenNoRackComesFree guards against an urgent gang within its guarantee that waits for one
// rack for good, beside idle workers in two, since each rack has a long-running run that the gang cannot stop (review/9).
func TestRackGangWithinGuaranteeIsSpreadWhenNoRackComesFree(t *testing.T) {
	sim := newSimulation(t, Plan, 0)
	for i := range 4 {
		sim.attachOf(i, 2, modeler.Resources{MilliCores: 32000, MemoryMB: 131072, Accelerators: 8})
	}
	first, second := longRunning(1, 1), longRunning(1, 1)
	first.DataRack, second.DataRack = "r0", "r1"
	sim.submit("service", "urgent", "guaranteed", 9000, first, second)
	sim.run(1000, nil)
	members := gang(2, 8, 2500)
	members.OneRack = true
	sim.submit("gang", "urgent", "guaranteed", 2500, members)
	sim.checkStarts("gang", reclaimTime)
}
