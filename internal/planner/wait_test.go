package planner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// submitLong submits a job of one task that runs for a minute.
func submitLong(sim *simulation, id, queue string, accelerators int) {
	sim.submit(id, queue, "other", timekeeper.Minute, tasks(1, accelerators, timekeeper.Minute))
}

// fillAllButOne submits urgent jobs that take all workers but one as a whole, so that at least half of the service is in use.
func fillAllButOne(sim *simulation) {
	for i := range len(sim.state.Workers()) - 1 {
		submitLong(sim, fmt.Sprintf("running%d", i), "urgent", 8)
	}
	sim.run(2*tick, nil)
}

// TestDecideGivesTheCauseOfEachWait checks the waits of a plan, for each cause.
func TestDecideGivesTheCauseOfEachWait(t *testing.T) {
	small, whole := tasks(1, 1, 0).Need, tasks(1, 8, 0).Need
	tests := []struct {
		name    string
		workers int
		prepare func(sim *simulation)
		change  func(in *Input) // changes the input of the last plan; may be nil
		want    []Wait
	}{
		{
			name: "a job that runs in part does not wait", workers: 1,
			prepare: func(sim *simulation) {
				sim.submit("running", "urgent", "other", timekeeper.Minute, tasks(2, 8, timekeeper.Minute))
				sim.run(2*tick, nil)
			},
		},
		{
			name: "all workers are full", workers: 1,
			prepare: func(sim *simulation) {
				submitLong(sim, "running", "urgent", 8)
				sim.run(2*tick, nil)
				submitLong(sim, "waiting", "plans", 8)
			},
			want: []Wait{{Job: "waiting", Queue: "plans", Workspace: "other", Tasks: 1, Need: whole, Cause: CauseNoRoom}},
		},
		{
			name: "a gang that waits has the free room reserved", workers: 3,
			prepare: func(sim *simulation) {
				fillAllButOne(sim)
				sim.submit("gang", "plans", "other", timekeeper.Minute, gang(2, 8, timekeeper.Minute))
				submitLong(sim, "behind", "checks", 1)
			},
			want: []Wait{
				{Job: "gang", Queue: "plans", Workspace: "other", Tasks: 2, Need: whole, Cause: CauseNoRoom},
				{Job: "behind", Queue: "checks", Workspace: "other", Tasks: 1, Need: small, RoomTwice: true, Cause: CauseReserved, Holder: "gang"},
			},
		},
		{
			name: "the last free worker is left for urgent work", workers: 3,
			prepare: func(sim *simulation) {
				fillAllButOne(sim)
				submitLong(sim, "waiting", "plans", 8)
			},
			want: []Wait{{Job: "waiting", Queue: "plans", Workspace: "other", Tasks: 1, Need: whole, Cause: CauseHeadroom}},
		},
		{
			name: "only an avoided worker has room", workers: 3,
			prepare: func(sim *simulation) {
				fillAllButOne(sim)
				submitLong(sim, "waiting", "urgent", 8)
			},
			change: func(in *Input) { in.Avoided = map[string]bool{workerName(2): true} },
			want:   []Wait{{Job: "waiting", Queue: "urgent", Workspace: "other", Tasks: 1, Need: whole, Cause: CauseAvoided}},
		},
		{
			name: "only a worker with an unresponsive agent has room", workers: 2,
			prepare: func(sim *simulation) {
				submitLong(sim, "running", "urgent", 8)
				sim.run(2*tick, nil)
				submitLong(sim, "waiting", "urgent", 8)
			},
			change: func(in *Input) { in.Unresponsive = map[string]bool{workerName(1): true} },
			want:   []Wait{{Job: "waiting", Queue: "urgent", Workspace: "other", Tasks: 1, Need: whole, Cause: CauseUnresponsive}},
		},
		{
			name: "the only member with a run is being stopped", workers: 2,
			prepare: func(sim *simulation) {
				sim.submit("gang", "urgent", "other", timekeeper.Minute, gang(2, 1, timekeeper.Minute))
				sim.run(tick, nil)
				runs := []tracker.RunKey{
					{Task: tracker.TaskKey{Job: "gang"}, Attempt: 1},
					{Task: tracker.TaskKey{Job: "gang", Index: 1}, Attempt: 1},
				}
				sim.apply(tracker.Command{Assign: &tracker.Assign{Stops: runs}})
				sim.apply(tracker.Command{Report: &tracker.Report{
					Worker: workerName(0), Epoch: 1, Ends: []tracker.End{{Run: runs[0], Kind: tracker.EndStopped, Number: 1}},
				}})
			},
			want: []Wait{{Job: "gang", Queue: "urgent", Workspace: "other", Tasks: 2, Need: small, Cause: CauseStopping, Worker: workerName(0)}},
		},
		{
			name: "the queue is unknown", workers: 1,
			prepare: func(sim *simulation) {
				submitLong(sim, "waiting", "unknown", 8)
			},
			want: []Wait{{Job: "waiting", Queue: "unknown", Workspace: "other", Tasks: 1, Need: whole, Cause: CauseQueueUnknown}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, Plan, test.workers)
			test.prepare(sim)
			in := sim.input()
			if test.change != nil {
				test.change(&in)
			}
			if diff := cmp.Diff(test.want, Decide(in).Waits); diff != "" {
				t.Errorf("waits (-want +got):\n%s", diff)
			}
		})
	}
}

// TestParallelismLimitIsACause fills a step up to its limit with runs that are being stopped.
func TestParallelismLimitIsACause(t *testing.T) {
	sim := newSimulation(t, Plan, 2)
	sim.submit("wide", "urgent", "other", timekeeper.Minute, tasks(4, 8, timekeeper.Minute))
	sim.run(tick, nil)
	j, _ := sim.state.Job("wide")
	var stops []tracker.RunKey
	for index, task := range j.Tasks[0] {
		if task.Phase == tracker.TaskAssigned {
			stops = append(stops, tracker.RunKey{Task: j.Key(0, index), Attempt: task.Attempt})
		}
	}
	sim.apply(tracker.Command{Assign: &tracker.Assign{Stops: stops}})
	waits := Decide(sim.input()).Waits
	want := []Wait{{Job: "wide", Queue: "urgent", Workspace: "other", Tasks: 1, Need: tasks(1, 8, 0).Need, Cause: CauseParallelism}}
	if diff := cmp.Diff(want, waits); diff != "" {
		t.Errorf("waits (-want +got):\n%s", diff)
	}
}

// TestExaminedDemandsAreBounded submits more different demands than a plan examines. Each of the jobs must be listed,
// and those beyond the bound as not examined.
func TestExaminedDemandsAreBounded(t *testing.T) {
	sim := newSimulation(t, Plan, 1)
	submitLong(sim, "running", "urgent", 8)
	sim.run(2*tick, nil)
	const beyond = 3
	for i := range maxExamined + beyond {
		step := tasks(1, 1, timekeeper.Minute)
		step.Need.MilliCores += i
		sim.submit(fmt.Sprintf("j%03d", i), "plans", "other", timekeeper.Minute, step)
	}
	got := map[Cause]int{}
	for _, w := range Decide(sim.input()).Waits {
		got[w.Cause]++
	}
	if diff := cmp.Diff(map[Cause]int{CauseNoRoom: maxExamined, CauseNotExamined: beyond}, got); diff != "" {
		t.Errorf("waits by cause (-want +got):\n%s", diff)
	}
}
