package planner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

func gang(count, accelerators int, estimate timekeeper.Millis) modeler.Step {
	s := tasks(count, accelerators, estimate)
	s.Gang, s.OneRack = true, true
	return s
}

func tasks(count, accelerators int, estimate timekeeper.Millis) modeler.Step {
	return modeler.Step{
		Count: count, Estimate: estimate,
		Need: modeler.Resources{MilliCores: 1000 * accelerators, MemoryMB: 4000, Accelerators: accelerators},
	}
}

// TestPlanInvariants simulates random jobs on a cluster that loses and regains workers. checkPlan checks every plan.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, Plan, 7)
		n := 0
		sim.run(6000, func(now timekeeper.Millis) {
			if rapid.IntRange(0, 5).Draw(rt, "arrival") == 0 {
				n++
				submitRandomJob(rt, sim, n)
			}
			if rapid.IntRange(0, 40).Draw(rt, "fault") == 0 {
				injectFault(rt, sim)
			}
		})
	})
}

func submitRandomJob(rt *rapid.T, sim *simulation, n int) {
	queue := rapid.SampledFrom([]string{"urgent", "plans", "checks"}).Draw(rt, "queue")
	workspace := rapid.SampledFrom([]string{"guaranteed", "other"}).Draw(rt, "workspace")
	steps := make([]modeler.Step, rapid.IntRange(1, 3).Draw(rt, "steps"))
	for i := range steps {
		steps[i] = tasks(rapid.IntRange(1, 9).Draw(rt, "count"), rapid.IntRange(0, 8).Draw(rt, "accelerators"), 1000)
		steps[i].Gang = rapid.Bool().Draw(rt, "gang")
		steps[i].OneRack = steps[i].Gang && rapid.Bool().Draw(rt, "one-rack")
		steps[i].Label = rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "label")
		steps[i].MaxPerWorker = rapid.IntRange(0, 2).Draw(rt, "spread")
		if i > 0 && rapid.Bool().Draw(rt, "after") {
			steps[i].After = []int{i - 1}
		}
	}
	duration := timekeeper.Millis(rapid.IntRange(100, 3000).Draw(rt, "duration"))
	sim.submit(fmt.Sprintf("j%03d", n), queue, workspace, duration, steps...)
}

func injectFault(rt *rapid.T, sim *simulation) {
	i := rapid.IntRange(0, 6).Draw(rt, "worker")
	w, _ := sim.state.Worker(workerName(i))
	switch rapid.IntRange(0, 2).Draw(rt, "kind") {
	case 0:
		sim.apply(tracker.Command{Detach: &tracker.Detach{Worker: w.Name, Epoch: w.Epoch}})
	case 1:
		sim.apply(tracker.Command{Drain: &tracker.Drain{Worker: w.Name, Epoch: w.Epoch}})
	default:
		sim.apply(tracker.Command{Detach: &tracker.Detach{Worker: w.Name, Epoch: w.Epoch}})
		sim.attach(i)
	}
}

// fillCluster submits count jobs of eight one-accelerator tasks to a queue; one job fills one worker.
func fillCluster(sim *simulation, queue string, count int) {
	for i := range count {
		sim.submit(fmt.Sprintf("fill-%s-%02d", queue, i), queue, "other", 9000, tasks(8, 1, 8000))
	}
}

// TestGuaranteedGangPreemptsBatch checks that an urgent gang within the guarantee that needs a whole rack starts on a
// cluster full of batch work, within the time of two stops and a few plans.
func TestGuaranteedGangPreemptsBatch(t *testing.T) {
	sim := newSimulation(t, Plan, 11)
	fillCluster(sim, "checks", 11)
	sim.run(2000, nil)
	sim.submit("rebuild", "urgent", "guaranteed", 2500, gang(3, 8, 2500))
	submitted := sim.now
	sim.run(submitted+2*stopTime+4*tick, nil)
	if _, started := sim.firstStepStartedAt["rebuild"]; !started {
		t.Fatalf("the gang has not started after %v", sim.now-submitted)
	}
}

// TestNoRunIsStoppedForRoomOfDoneGang guards against work that is stopped for an urgent gang although the room that it needs is
// about to be free: a gang is done through one member, and the end of the other one's run has not been reported yet. It also
// guards against a plan that counts on stopping that run, since nothing stops it.
func TestNoRunIsStoppedForRoomOfDoneGang(t *testing.T) {
	next := tasks(1, 64, 1000) // more than there is, so that it only waits
	next.After = []int{0}
	for name, later := range map[string][]modeler.Step{"its job is done": nil, "its job goes on": {next}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, Plan, 3)
			sim.submit("gang", "plans", "other", 9000, append([]modeler.Step{gang(2, 8, 9000)}, later...)...)
			sim.run(100, nil)
			sim.submit("batch", "checks", "other", 9000, tasks(1, 4, 8000))
			sim.run(3000, nil)
			if b, _ := sim.state.Job("batch"); b.Phase != tracker.JobRunning {
				t.Fatalf("the batch job is %v, want running", b.Phase)
			}
			j, _ := sim.state.Job("gang")
			member := j.Tasks[0][0]
			w, _ := sim.state.Worker(member.Worker)
			end := tracker.End{Run: tracker.RunKey{Task: j.Key(0, 0), Attempt: member.Attempt}, Kind: tracker.EndDone}
			sim.apply(tracker.Command{Report: &tracker.Report{Worker: w.Name, Epoch: w.Epoch, Ends: []tracker.End{end}}})
			sim.submit("urgent", "urgent", "guaranteed", 2500, gang(2, 8, 2500))
			if stops := Plan(sim.input()).Stops; len(stops) > 0 {
				t.Errorf("the plan stops %v, want nothing", stops)
			}
		})
	}
}

// TestGuaranteePreemptsBatchBeforeUrgent runs batch work on one worker and urgent work of another workspace on the
// other. The urgent run started later, so that stopping it would lose less work, but a guaranteed job must preempt the
// batch run.
func TestGuaranteePreemptsBatchBeforeUrgent(t *testing.T) {
	sim := newSimulation(t, Plan, 2)
	sim.submit("batch", "checks", "other", 9000, tasks(1, 4, 8000))
	sim.run(1000, nil)
	sim.submit("no-guarantee", "urgent", "other", 4000, tasks(1, 8, 4000))
	sim.run(1500, nil)
	sim.submit("rebuild", "urgent", "guaranteed", 2500, tasks(1, 8, 2500))
	sim.run(sim.now+2*stopTime+4*tick, nil)
	if _, started := sim.firstStepStartedAt["rebuild"]; !started {
		t.Error("the guaranteed job has not started")
	}
	j, _ := sim.state.Job("no-guarantee")
	if task := j.Tasks[0][0]; task.Phase != tracker.TaskAssigned || task.Attempt != 1 {
		t.Errorf("the urgent run was preempted instead of the batch run: %+v", task)
	}
}

// TestWideUrgentStepDoesNotDelayOthers submits an urgent job of 120 accelerators, which may run in waves, and then
// small urgent jobs. It guards against the wide job being ordered first and preempting everything.
func TestWideUrgentStepDoesNotDelayOthers(t *testing.T) {
	sim := newSimulation(t, Plan, 11)
	sim.submit("wide", "urgent", "other", 4000, tasks(15, 8, 4000))
	n := 0
	sim.run(12_000, func(now timekeeper.Millis) {
		if now%500 == 0 && now > 0 && now <= 6000 {
			n++
			sim.submit(fmt.Sprintf("small-%02d", n), "urgent", "other", 2000, tasks(2, 4, 2000))
		}
	})
	late := 0
	for i := 1; i <= n; i++ {
		id := modeler.JobID(fmt.Sprintf("small-%02d", i))
		j, _ := sim.state.Job(id)
		if at, done := sim.doneAt[id]; !done || at-j.Submitted > 3250+tick {
			late++
		}
	}
	if late > n/10 {
		t.Errorf("%d of %d small urgent jobs are late because of a wide one", late, n)
	}
}

// TestPreemptedBatchJobsFinish checks that batch jobs finish although urgent jobs keep arriving.
func TestPreemptedBatchJobsFinish(t *testing.T) {
	sim := newSimulation(t, Plan, 4)
	for i := range 4 {
		sim.submit(fmt.Sprintf("check-%d", i), "checks", "other", 3000, tasks(6, 1, 3000))
	}
	n := 0
	sim.run(40_000, func(now timekeeper.Millis) {
		if now%1500 == 0 {
			n++
			sim.submit(fmt.Sprintf("u%03d", n), "urgent", "guaranteed", 800, tasks(2, 4, 800))
		}
	})
	for i := range 4 {
		if _, done := sim.doneAt[modeler.JobID(fmt.Sprintf("check-%d", i))]; !done {
			t.Errorf("check-%d has not finished although urgent work leaves half of the capacity", i)
		}
	}
}

// TestStalledRunIsStopped checks that Plan stops a run that is reported as stalled.
func TestStalledRunIsStopped(t *testing.T) {
	sim := newSimulation(t, Plan, 2)
	sim.submit("a", "plans", "other", 1_000_000, tasks(1, 8, 2000))
	sim.run(tick, nil)
	key := tracker.RunKey{Task: tracker.TaskKey{Job: "a"}, Attempt: 1}
	in := sim.input()
	in.Progress[key] = Progress{Stalled: true, Elapsed: 5000}
	plan := Plan(in)
	if len(plan.Stops) != 1 || plan.Stops[0] != key {
		t.Fatalf("stops %v, want %v", plan.Stops, key)
	}
}

// TestWholeWorkerTaskIsNotStarved checks that a task that needs a whole worker starts on a cluster full of small tasks
// of the same queue, which end one by one. It guards against small tasks taking all resources as they are released.
func TestWholeWorkerTaskIsNotStarved(t *testing.T) {
	sim := newSimulation(t, Plan, 4)
	checkStartsDespiteSmallTasks(t, sim, 100, func() { sim.submit("large", "plans", "other", 3000, tasks(1, 8, 3000)) })
}

// checkStartsDespiteSmallTasks submits a task of one accelerator after each pause, together more than fit. Once the
// cluster is full, it calls submitLarge, which submits the job "large". The test fails unless all tasks of that job
// start within ten seconds.
func checkStartsDespiteSmallTasks(t *testing.T, sim *simulation, pause timekeeper.Millis, submitLarge func()) {
	t.Helper()
	const full, maxWait timekeeper.Millis = 3000, 10_000
	n := 0
	sim.run(30_000, func(now timekeeper.Millis) {
		if now == full {
			submitLarge()
		}
		if now%pause == 0 {
			n++
			sim.submit(fmt.Sprintf("small-%03d", n), "plans", "other", 3600, tasks(1, 1, 1000))
		}
	})
	if at, started := sim.firstStepStartedAt["large"]; !started || at-full > maxWait {
		t.Errorf("started: %v, at %v; want a start within %v of %v", started, at, maxWait, full)
	}
}

// TestOccurrencesStartWhenDue checks that each occurrence of a periodic job starts when it is due, even while an
// earlier one still runs.
func TestOccurrencesStartWhenDue(t *testing.T) {
	sim := newSimulation(t, Plan, 2)
	sim.jobDuration["timed"] = 2500
	sim.apply(tracker.Command{Submit: &modeler.Job{
		ID: "timed", Queue: "plans", Workspace: "other", Submitted: sim.now, Repeat: 3, StartAt: 1000, Period: 2000,
		Steps: []modeler.Step{tasks(1, 2, 2500)},
	}})
	started := map[int]timekeeper.Millis{}
	sim.run(9000, func(now timekeeper.Millis) {
		for key := range sim.startedAt {
			if _, seen := started[key.Task.Occurrence]; !seen {
				started[key.Task.Occurrence] = now - tick
			}
		}
	})
	want := map[int]timekeeper.Millis{0: 1000, 1: 3000, 2: 5000}
	if diff := cmp.Diff(want, started); diff != "" {
		t.Errorf("start times by occurrence (-want +got):\n%s", diff)
	}
	if j, _ := sim.state.Job("timed"); j.Phase != tracker.JobDone {
		t.Errorf("the job is %v after its last occurrence", j.Phase)
	}
}

// TestOverdueGangIsNotStarved checks that an urgent gang of one rack, without a guarantee and too late to preempt,
// starts although small tasks keep arriving. It guards against reserving workers for batch work only.
func TestOverdueGangIsNotStarved(t *testing.T) {
	sim := newSimulation(t, Plan, 6)
	checkStartsDespiteSmallTasks(t, sim, tick, func() { sim.submit("large", "urgent", "other", 1000, gang(3, 4, 200)) })
}

// TestNearlyDoneRunsAreNotPreempted submits a guaranteed urgent job while all possible victims are about to end.
// Nothing must be stopped, and the job starts as soon as they have ended.
func TestNearlyDoneRunsAreNotPreempted(t *testing.T) {
	sim := newSimulation(t, Plan, 2)
	for i := range 2 {
		sim.submit(fmt.Sprintf("fill-%d", i), "checks", "other", 4000, tasks(8, 1, 4000))
	}
	sim.run(3800, nil)
	sim.submit("rebuild", "urgent", "guaranteed", 1000, gang(2, 4, 1000))
	sim.run(6000, nil)
	if sim.stopCount > 0 {
		t.Errorf("%d runs were stopped that were about to end", sim.stopCount)
	}
	if at, started := sim.firstStepStartedAt["rebuild"]; !started || at > 4000+4*tick {
		t.Errorf("started: %v, at %v; want a start at about 4000ms", started, at)
	}
}

// TestRetryAvoidsSuspectWorkers places a task whose first run failed while the best fit is a suspect worker. It must be
// placed on a worker that is not suspect, or on a suspect one if there are no others.
func TestRetryAvoidsSuspectWorkers(t *testing.T) {
	sim := newSimulation(t, Plan, 3)
	sim.submit("failing", "urgent", "other", 4000, tasks(1, 4, 4000))
	sim.submit("check", "checks", "other", 9000, tasks(1, 4, 8000))
	sim.failAfter[tracker.RunKey{Task: tracker.TaskKey{Job: "failing"}, Attempt: 1}] = 300
	sim.run(100, nil)
	first, _ := sim.state.Job("failing")
	for failed := 0; failed == 0; sim.now += tick {
		sim.finishRuns()
		j, _ := sim.state.Job("failing")
		failed = j.Tasks[0][0].Failures
	}
	for _, suspects := range []map[string]bool{{workerName(0): true, workerName(1): true}, {workerName(0): true, workerName(1): true, workerName(2): true}} {
		in := sim.input()
		in.Suspect = suspects
		plan := Plan(in)
		if len(plan.Starts) != 1 {
			t.Fatalf("%d starts with %d suspect workers, want only that of the failed task", len(plan.Starts), len(suspects))
		}
		if at := plan.Starts[0].Worker; len(suspects) < 3 && suspects[at] || at == first.Tasks[0][0].Worker {
			t.Errorf("the failed task is placed on %s; suspect workers are %v, and it failed on %s", at, suspects, first.Tasks[0][0].Worker)
		}
	}
}

// TestRackGangUsesAvoidedWorker avoids one worker of each rack. A gang that needs a whole rack must still run in one
// rack, since it would be far slower across racks.
func TestRackGangUsesAvoidedWorker(t *testing.T) {
	sim := newSimulation(t, Plan, 6)
	sim.submit("gang", "plans", "other", 1000, gang(3, 8, 1000))
	in := sim.input()
	in.Avoided = map[string]bool{workerName(0): true, workerName(3): true}
	racks := map[string]int{}
	for _, start := range Plan(in).Starts {
		w, _ := sim.state.Worker(start.Worker)
		racks[w.Profile.Rack()]++
	}
	if len(racks) != 1 {
		t.Errorf("members by rack: %v, want all in one rack", racks)
	}
}
