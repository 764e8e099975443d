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

// TestDecisionsKeepTheRules plays random jobs on random clusters that lose and gain workers; play checks every plan.
func TestDecisionsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlay(t, Plan, 7)
		n := 0
		p.run(6000, func(now timekeeper.Millis) {
			if rapid.IntRange(0, 5).Draw(rt, "arrival") == 0 {
				n++
				submitRandom(rt, p, n)
			}
			if rapid.IntRange(0, 40).Draw(rt, "trouble") == 0 {
				disturb(rt, p)
			}
		})
	})
}

func submitRandom(rt *rapid.T, p *play, n int) {
	queue := rapid.SampledFrom([]string{"urgent", "plans", "checks"}).Draw(rt, "queue")
	workspace := rapid.SampledFrom([]string{"sure", "other"}).Draw(rt, "workspace")
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
	truth := timekeeper.Millis(rapid.IntRange(100, 3000).Draw(rt, "truth"))
	p.submit(fmt.Sprintf("j%03d", n), queue, workspace, truth, steps...)
}

func disturb(rt *rapid.T, p *play) {
	i := rapid.IntRange(0, 6).Draw(rt, "worker")
	w, _ := p.state.Worker(workerName(i))
	switch rapid.IntRange(0, 2).Draw(rt, "kind") {
	case 0:
		p.apply(tracker.Command{Detach: &tracker.Detach{Worker: w.Name, Epoch: w.Epoch}})
	case 1:
		p.apply(tracker.Command{Drain: &tracker.Drain{Worker: w.Name, Epoch: w.Epoch}})
	default:
		p.apply(tracker.Command{Detach: &tracker.Detach{Worker: w.Name, Epoch: w.Epoch}})
		p.attach(i)
	}
}

// fillWith keeps the whole cluster busy with work of a queue.
func fillWith(p *play, queue string, count int) {
	for i := range count {
		p.submit(fmt.Sprintf("fill-%s-%02d", queue, i), queue, "other", 9000, tasks(8, 1, 8000))
	}
}

// TestGuaranteeIsReclaimed hands in an urgent gang of one rack, within the guarantee, while batch work fills
// everything; it begins whole within the time that a stop takes and a few decisions.
func TestGuaranteeIsReclaimed(t *testing.T) {
	p := newPlay(t, Plan, 11)
	fillWith(p, "checks", 11)
	p.run(2000, nil)
	p.submit("rebuild", "urgent", "sure", 2500, gang(3, 8, 2500))
	submitted := p.now
	p.run(submitted+2*stopTime+4*tick, nil)
	if _, begun := p.first["rebuild"]; !begun {
		t.Fatalf("the gang has not begun after %v", p.now-submitted)
	}
}

// TestGuaranteeTakesBatchWorkBeforeUrgentWork has one worker run batch work and another urgent work of another
// workspace that has only begun, so that least would be lost with it; the reclaimed room is that of the batch work.
func TestGuaranteeTakesBatchWorkBeforeUrgentWork(t *testing.T) {
	p := newPlay(t, Plan, 2)
	p.submit("batch", "checks", "other", 9000, tasks(1, 8, 8000))
	p.run(1000, nil)
	p.submit("beside", "urgent", "other", 4000, tasks(1, 8, 4000))
	p.run(1500, nil)
	p.submit("rebuild", "urgent", "sure", 2500, tasks(1, 8, 2500))
	p.run(p.now+2*stopTime+4*tick, nil)
	if _, begun := p.first["rebuild"]; !begun {
		t.Error("the guaranteed job has not begun")
	}
	j, _ := p.state.Job("beside")
	if task := j.Tasks[0][0]; task.Phase != tracker.TaskAssigned || task.Attempt != 1 {
		t.Errorf("the urgent run beside batch work was stopped: %+v", task)
	}
}

// TestWideUrgentStepLeavesOthersOnTime has one urgent job of 120 accelerators, which may run in waves, and small
// urgent jobs behind it. It fails where the wide one counts as due first and stops everything.
func TestWideUrgentStepLeavesOthersOnTime(t *testing.T) {
	p := newPlay(t, Plan, 11)
	p.submit("wide", "urgent", "other", 4000, tasks(15, 8, 4000))
	n := 0
	p.run(12_000, func(now timekeeper.Millis) {
		if now%500 == 0 && now > 0 && now <= 6000 {
			n++
			p.submit(fmt.Sprintf("small-%02d", n), "urgent", "other", 2000, tasks(2, 4, 2000))
		}
	})
	late := 0
	for i := 1; i <= n; i++ {
		id := modeler.JobID(fmt.Sprintf("small-%02d", i))
		j, _ := p.state.Job(id)
		if at, done := p.done[id]; !done || at-j.Submitted > 3250+tick {
			late++
		}
	}
	if late > n/10 {
		t.Errorf("%d of %d small urgent jobs are late behind a wide one", late, n)
	}
}

// TestStoppedWorkEndsSomeDay has urgent jobs come all the time beside batch work; every batch task ends all the same.
func TestStoppedWorkEndsSomeDay(t *testing.T) {
	p := newPlay(t, Plan, 4)
	for i := range 4 {
		p.submit(fmt.Sprintf("check-%d", i), "checks", "other", 3000, tasks(6, 1, 3000))
	}
	n := 0
	p.run(40_000, func(now timekeeper.Millis) {
		if now%1500 == 0 {
			n++
			p.submit(fmt.Sprintf("u%03d", n), "urgent", "sure", 800, tasks(2, 4, 800))
		}
	})
	for i := range 4 {
		if _, done := p.done[modeler.JobID(fmt.Sprintf("check-%d", i))]; !done {
			t.Errorf("check-%d has not ended beside urgent work that leaves half of the room", i)
		}
	}
}

// TestRunsWithoutProgressMove takes back a run that stands still and begins it elsewhere.
func TestRunsWithoutProgressMove(t *testing.T) {
	p := newPlay(t, Plan, 2)
	p.submit("a", "plans", "other", 1_000_000, tasks(1, 8, 2000))
	p.run(tick, nil)
	key := tracker.RunKey{Task: tracker.TaskKey{Job: "a"}, Attempt: 1}
	in := p.input()
	in.Progress[key] = Progress{Stalled: true, Running: 5000}
	plan := Plan(in)
	if len(plan.Stops) != 1 || plan.Stops[0] != key {
		t.Fatalf("stops %v, want %v", plan.Stops, key)
	}
}

// TestWholeWorkerTaskIsNotStarved keeps a cluster full of small tasks that come all the time and end one by one; a task
// of the same queue that needs a whole worker begins all the same. It fails where every free piece is given away.
func TestWholeWorkerTaskIsNotStarved(t *testing.T) {
	p := newPlay(t, Plan, 4)
	beginsBesideSmallWork(t, p, 100, func() { p.submit("large", "plans", "other", 3000, tasks(1, 8, 3000)) })
}

// beginsBesideSmallWork hands in a task of one accelerator after each pause, which together are more than fits, and once
// the cluster is full the job named "large"; it fails unless all tasks of that have begun within ten seconds.
func beginsBesideSmallWork(t *testing.T, p *play, pause timekeeper.Millis, submitLarge func()) {
	t.Helper()
	const full, patience timekeeper.Millis = 3000, 10_000
	n := 0
	p.run(30_000, func(now timekeeper.Millis) {
		if now == full {
			submitLarge()
		}
		if now%pause == 0 {
			n++
			p.submit(fmt.Sprintf("small-%03d", n), "plans", "other", 3600, tasks(1, 1, 1000))
		}
	})
	if at, begun := p.first["large"]; !begun || at-full > patience {
		t.Errorf("begun %v, at %v; want within %v of %v", begun, at, patience, full)
	}
}

// TestOccurrencesWaitForTheirTimes runs a job three times, the later ones while an earlier one still runs.
func TestOccurrencesWaitForTheirTimes(t *testing.T) {
	p := newPlay(t, Plan, 2)
	p.truth["timed"] = 2500
	p.apply(tracker.Command{Submit: &modeler.Job{
		ID: "timed", Queue: "plans", Workspace: "other", Submitted: p.now, Repeat: 3, StartAt: 1000, Period: 2000,
		Steps: []modeler.Step{tasks(1, 2, 2500)},
	}})
	begun := map[int]timekeeper.Millis{}
	p.run(9000, func(now timekeeper.Millis) {
		for key := range p.begun {
			if _, seen := begun[key.Task.Occurrence]; !seen {
				begun[key.Task.Occurrence] = now - tick
			}
		}
	})
	want := map[int]timekeeper.Millis{0: 1000, 1: 3000, 2: 5000}
	if diff := cmp.Diff(want, begun); diff != "" {
		t.Errorf("times at which the occurrences began (-want +got):\n%s", diff)
	}
	if j, _ := p.state.Job("timed"); j.Phase != tracker.JobDone {
		t.Errorf("the job is %v after all its times", j.Phase)
	}
}

// TestOverdueGangStillBegins fills the cluster with small work that comes all the time; an urgent gang of one rack,
// beyond any guarantee and too late to stop others, begins all the same. It fails where only batch work is waited for.
func TestOverdueGangStillBegins(t *testing.T) {
	p := newPlay(t, Plan, 6)
	beginsBesideSmallWork(t, p, tick, func() { p.submit("large", "urgent", "other", 1000, gang(3, 4, 200)) })
}

// TestNearlyDoneRunsAreWaitedFor needs room for an urgent job within the guarantee while the only victims are about to
// end: nothing is stopped, and the job begins as soon as they have.
func TestNearlyDoneRunsAreWaitedFor(t *testing.T) {
	p := newPlay(t, Plan, 2)
	for i := range 2 {
		p.submit(fmt.Sprintf("fill-%d", i), "checks", "other", 4000, tasks(8, 1, 4000))
	}
	p.run(3800, nil)
	p.submit("rebuild", "urgent", "sure", 1000, gang(2, 4, 1000))
	p.run(6000, nil)
	if p.orders > 0 {
		t.Errorf("%d runs were to be stopped that ended by themselves", p.orders)
	}
	if at, begun := p.first["rebuild"]; !begun || at > 4000+4*tick {
		t.Errorf("begun %v at %v, want at 4000ms", begun, at)
	}
}

// TestRetriedGangKeepsClearOfSuspectWorkers places a gang whose first run failed, where the room that fits it best is on
// a worker of which one run went wrong lately; with no other room it is placed there all the same.
func TestRetriedGangKeepsClearOfSuspectWorkers(t *testing.T) {
	p := newPlay(t, Plan, 3)
	p.submit("gang", "urgent", "other", 4000, tasks(1, 4, 4000))
	p.submit("beside", "checks", "other", 9000, tasks(1, 4, 8000))
	p.fails[tracker.RunKey{Task: tracker.TaskKey{Job: "gang"}, Attempt: 1}] = 300
	p.run(100, nil)
	first, _ := p.state.Job("gang")
	for failed := 0; failed == 0; p.now += tick {
		p.finishRuns()
		j, _ := p.state.Job("gang")
		failed = j.Tasks[0][0].Failures
	}
	for _, suspects := range []map[string]bool{{workerName(0): true, workerName(1): true}, {workerName(0): true, workerName(1): true, workerName(2): true}} {
		in := p.input()
		in.Suspect = suspects
		plan := Plan(in)
		if len(plan.Starts) != 1 {
			t.Fatalf("%d starts beside %d suspect workers, want the failed task's", len(plan.Starts), len(suspects))
		}
		if at := plan.Starts[0].Worker; len(suspects) < 3 && suspects[at] || at == first.Tasks[0][0].Worker {
			t.Errorf("the failed task is placed on %s; suspect are %v, it failed on %s", at, suspects, first.Tasks[0][0].Worker)
		}
	}
}

// TestGangStaysInOneRackBesideAvoidedWorkers avoids one worker of each rack: a gang that needs a whole rack takes one
// with the worker to avoid, since across racks it would be far slower.
func TestGangStaysInOneRackBesideAvoidedWorkers(t *testing.T) {
	p := newPlay(t, Plan, 6)
	p.submit("gang", "plans", "other", 1000, gang(3, 8, 1000))
	in := p.input()
	in.Avoid = map[string]bool{workerName(0): true, workerName(3): true}
	racks := map[string]int{}
	for _, start := range Plan(in).Starts {
		w, _ := p.state.Worker(start.Worker)
		racks[w.Profile.Rack()]++
	}
	if len(racks) != 1 {
		t.Errorf("members by rack: %v, want all in one", racks)
	}
}
