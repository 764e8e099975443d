package planner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// newWideGangWaits returns a simulation of ten workers, of which four run one small task each, with a job "wide" that
// waits for the given number of whole workers.
func newWideGangWaits(t *testing.T, members int) *simulation {
	sim := newSimulation(t, Plan, 10)
	small := tasks(4, 1, 600_000)
	small.MaxPerWorker = 1
	sim.submit("small", "plans", "other", 600_000, small)
	sim.run(100, nil)
	wide := tasks(members, 8, 5000)
	wide.Gang = true
	sim.submit("wide", "plans", "other", 5000, wide)
	sim.run(200, nil)
	if n := len(assignedTo(sim.state, "wide")); n > 0 {
		t.Fatalf("%d members of the wide gang run, want none", n)
	}
	return sim
}

// assignedTo returns the workers that a job's tasks are assigned to, sorted by name.
func assignedTo(s tracker.State, id modeler.JobID) []string {
	j, _ := s.Job(id)
	var workers []string
	for _, tasks := range j.Tasks {
		for _, t := range tasks {
			if t.Phase == tracker.TaskAssigned {
				workers = append(workers, t.Worker)
			}
		}
	}
	slices.Sort(workers)
	return workers
}

// TestReservationsKeepNoJobFromIdleWorkers guards against a gang that waits for one worker more and meanwhile keeps jobs
// behind it standing beside all idle ones.
func TestReservationsKeepNoJobFromIdleWorkers(t *testing.T) {
	gang := tasks(2, 8, 5000)
	gang.Gang = true
	tests := []struct {
		name    string
		members int // of the wide gang
		queue   string
		step    modeler.Step
	}{
		{"whole workers", 7, "plans", tasks(2, 8, 5000)},
		{"a smaller gang", 7, "plans", gang},
		{"reservations count as headroom", 9, "checks", tasks(3, 1, 5000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newWideGangWaits(t, test.members)
			sim.submit("behind", test.queue, "other", 5000, test.step)
			sim.run(300, nil)
			if len(assignedTo(sim.state, "behind")) == 0 {
				t.Error("the job behind the wide gang stands beside idle workers")
			}
		})
	}
}

// TestDoubtsAboutWorkersKeepNoJobFromIdleOnes guards against a job that stands until the only worker without a bad run
// is free, although others are idle.
func TestDoubtsAboutWorkersKeepNoJobFromIdleOnes(t *testing.T) {
	tests := []struct {
		name             string
		failed           bool // the job has failed once, on w00
		avoided, suspect []string
		want             []string // the workers that may be used
	}{
		{"suspect workers", true, nil, []string{"w00", "w01", "w02"}, []string{"w01", "w02"}},
		{"avoided workers", false, []string{"w00", "w01", "w02"}, nil, []string{"w00", "w01", "w02"}},
		{"avoided workers after a failure", true, []string{"w00", "w01", "w02"}, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, Plan, 4)
			if test.failed {
				failOnce(sim, "waiting")
			} else {
				sim.submit("waiting", "plans", "other", 5000, tasks(1, 8, 5000))
			}
			sim.occupy("busy", "w03")
			in := sim.input()
			in.Avoided, in.Suspect = setOf(test.avoided), setOf(test.suspect)
			var got []string
			for _, start := range Plan(in).Starts {
				got = append(got, start.Worker)
			}
			if len(test.want) == 0 && len(got) > 0 || len(test.want) > 0 && (len(got) != 1 || !slices.Contains(test.want, got[0])) {
				t.Errorf("started on %v, want one of %v", got, test.want)
			}
		})
	}
}

func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// failOnce submits a job of one task, which fails on w00.
func failOnce(sim *simulation, id modeler.JobID) {
	sim.submit(string(id), "plans", "other", 5000, tasks(1, 8, 5000))
	run := tracker.RunKey{Task: tracker.TaskKey{Job: id}, Attempt: 1}
	w, _ := sim.state.Worker("w00")
	sim.apply(tracker.Command{Assign: &tracker.Assign{Starts: []tracker.Start{{Run: run, Worker: "w00", Epoch: w.Epoch}}}})
	sim.apply(tracker.Command{Report: &tracker.Report{Worker: "w00", Epoch: w.Epoch, Ends: []tracker.End{{Run: run, Kind: tracker.EndFailed}}}})
}

// occupy lets a job of one task run on the whole of a worker.
func (sim *simulation) occupy(id modeler.JobID, worker string) { sim.occupyWith(id, worker, 8) }

// occupyWith lets a job of one task run on a worker.
func (sim *simulation) occupyWith(id modeler.JobID, worker string, accelerators int) {
	sim.submit(string(id), "plans", "other", 600_000, tasks(1, accelerators, 600_000))
	w, _ := sim.state.Worker(worker)
	run := tracker.RunKey{Task: tracker.TaskKey{Job: id}, Attempt: 1}
	sim.apply(tracker.Command{Assign: &tracker.Assign{Starts: []tracker.Start{{Run: run, Worker: worker, Epoch: w.Epoch}}}})
	sim.recordStarts()
}

// TestReservationsHoldOnBusyService guards against backfill before a waiting gang while most of the service is in use.
func TestReservationsHoldOnBusyService(t *testing.T) {
	sim := newSimulation(t, Plan, 10)
	for i := range 8 {
		sim.occupy(modeler.JobID(fmt.Sprintf("busy%d", i)), workerName(i))
	}
	wide := tasks(3, 8, 5000)
	wide.Gang = true
	sim.submit("wide", "plans", "other", 5000, wide)
	sim.submit("behind", "plans", "other", 5000, tasks(1, 8, 5000))
	sim.run(100, nil)
	if diff := cmp.Diff([]string(nil), assignedTo(sim.state, "behind")); diff != "" {
		t.Errorf("workers of the job behind (-want +got):\n%s", diff)
	}
}

// TestOneStepOfAJobBackfills guards against a job that takes room that is kept for others once for each of its ready steps.
func TestOneStepOfAJobBackfills(t *testing.T) {
	sim := newWideGangWaits(t, 7)
	sim.submit("behind", "plans", "other", 5000, tasks(1, 8, 5000), tasks(1, 8, 5000))
	sim.run(300, nil)
	if workers := assignedTo(sim.state, "behind"); len(workers) != 1 {
		t.Errorf("the job behind the wide gang runs on %v, want one worker", workers)
	}
}

// TestPreemptedRoomIsNotBackfilled guards against batch jobs, new ones or those that were stopped, that take workers for
// which an urgent gang within its guarantee waits.
func TestPreemptedRoomIsNotBackfilled(t *testing.T) {
	oneOfWorker := tasks(1, 2, 600_000)
	oneOfWorker.Need.MemoryMB = 68_000
	tests := []struct {
		name    string
		workers int
		oneRack bool
		batch   func(sim *simulation)
	}{
		{"new jobs", 9, true, func(sim *simulation) {
			for i := range 3 {
				sim.occupyWith(modeler.JobID(fmt.Sprintf("small%d", i)), workerName(3*i), 1)
			}
			for i := range 6 {
				sim.submit(fmt.Sprintf("behind%d", i), "plans", "other", 5000, tasks(1, 8, 5000))
			}
		}},
		{"stopped jobs", 6, false, func(sim *simulation) {
			for i := range 6 {
				sim.submit(fmt.Sprintf("small%d", i), "plans", "other", 600_000, oneOfWorker)
			}
			sim.run(100, nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, Plan, test.workers)
			test.batch(sim)
			urgent := tasks(3, 8, 2500)
			urgent.Gang, urgent.OneRack = true, test.oneRack
			submitted := sim.now
			sim.submit("urgent", "urgent", "guaranteed", 2500, urgent)
			sim.run(submitted+stopTime+3*tick, nil)
			if n := len(assignedTo(sim.state, "urgent")); n != 3 {
				t.Errorf("%d members of the urgent gang run after the time of one stop, want 3", n)
			}
			if sim.stopCount > 3 {
				t.Errorf("%d runs were stopped, want 3 at most", sim.stopCount)
			}
		})
	}
}

// TestNearlyDoneRunKeepsNoJobFromIdleWorkers guards against an urgent gang that waits for a run which has done its work and
// does not end, and meanwhile keeps jobs behind it from idle workers.
func TestNearlyDoneRunKeepsNoJobFromIdleWorkers(t *testing.T) {
	sim := newSimulation(t, Plan, 3)
	sim.occupyWith("done", workerName(0), 1)
	urgent := tasks(3, 8, 2500)
	urgent.Gang = true
	sim.submit("urgent", "urgent", "guaranteed", 2500, urgent)
	sim.submit("behind", "plans", "other", 5000, tasks(1, 8, 5000))
	in := sim.input()
	in.Progress[tracker.RunKey{Task: tracker.TaskKey{Job: "done"}, Attempt: 1}] = Progress{Percent: 100, Elapsed: 5000}
	var got []modeler.JobID
	for _, start := range Plan(in).Starts {
		got = append(got, start.Run.Task.Job)
	}
	if diff := cmp.Diff([]modeler.JobID{"behind"}, got); diff != "" {
		t.Errorf("jobs started (-want +got):\n%s", diff)
	}
}

// TestGangStartsAtLastDespiteBackfill guards against a gang that needs all workers and starves while small jobs are backfilled.
func TestGangStartsAtLastDespiteBackfill(t *testing.T) {
	for _, duration := range []timekeeper.Millis{2000, 3000, 5000} {
		t.Run(duration.String(), func(t *testing.T) { checkGangStartsAtLast(t, duration) })
	}
}

// checkGangStartsAtLast submits small jobs of the given duration all the time.
func checkGangStartsAtLast(t *testing.T, duration timekeeper.Millis) {
	t.Helper()
	sim := newSimulation(t, Plan, 4)
	wide := tasks(4, 8, maxDeferral)
	wide.Gang = true
	n := 0
	arrive := func(now timekeeper.Millis) {
		if now == 1000 {
			sim.submit("wide", "plans", "other", maxDeferral, wide)
		}
		if now%500 == 0 {
			n++
			sim.submit(fmt.Sprintf("small%d", n), "checks", "other", duration, tasks(1, 1, duration))
		}
	}
	sim.run(30_000, arrive)
	if len(assignedTo(sim.state, "wide")) > 0 {
		t.Fatal("the gang runs beside small jobs that hold a worker all the time")
	}
	sim.run(1000+maxDeferral+2*duration, arrive)
	if _, started := sim.firstStepStartedAt["wide"]; !started {
		t.Error("the gang has not started")
	}
}
