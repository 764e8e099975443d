package coordinator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/planner"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// planOutcome is the part of a plan that the recorder gets.
type planOutcome struct {
	waits  []planner.Wait
	starts []tracker.Start
}

func waiting(job modeler.JobID, cause planner.Cause) planner.Wait {
	return planner.Wait{Job: job, Queue: "batch", Cause: cause}
}

func starting(job modeler.JobID) tracker.Start {
	return tracker.Start{Run: tracker.RunKey{Task: tracker.TaskKey{Job: job}, Attempt: 1}}
}

// TestWaitLinesAreDue plays plans every 250 ms and checks when which lines are written.
func TestWaitLinesAreDue(t *testing.T) {
	const first timekeeper.Millis = 1000
	tests := []struct {
		name string
		plan func(at timekeeper.Millis) planOutcome // at is the time since the first plan
		want []string
	}{
		{
			name: "a short wait is not logged",
			plan: func(at timekeeper.Millis) planOutcome {
				if at >= longWait {
					return planOutcome{}
				}
				return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseNoRoom)}}
			},
		},
		{
			name: "a cause that stays is logged again after a pause",
			plan: func(timekeeper.Millis) planOutcome {
				return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseReserved)}}
			},
			want: []string{"2000ms a room-reserved 2000ms", "7000ms a room-reserved 7000ms"},
		},
		{
			name: "a change of the cause is logged at once",
			plan: func(at timekeeper.Millis) planOutcome {
				if at < 4000 {
					return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseNoRoom)}}
				}
				return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseHeadroom)}}
			},
			want: []string{"2000ms a no-room 2000ms", "4000ms a headroom 4000ms", "9000ms a headroom 9000ms"},
		},
		{
			name: "a cause that alternates is logged once a second",
			plan: func(at timekeeper.Millis) planOutcome {
				cause := planner.CauseNoRoom
				if at/250%2 == 1 || at > 4500 {
					cause = planner.CauseReserved
				}
				if at > 4500 {
					return planOutcome{}
				}
				return planOutcome{waits: []planner.Wait{waiting("a", cause)}}
			},
			want: []string{"2000ms a no-room 2000ms", "3250ms a room-reserved 3250ms", "4500ms a no-room 4500ms"},
		},
		{
			name: "an earlier cause is kept while the job is not examined",
			plan: func(at timekeeper.Millis) planOutcome {
				if at < 1000 {
					return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseAvoided)}}
				}
				return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseNotExamined)}}
			},
			want: []string{"2000ms a workers-avoided 2000ms", "7000ms a workers-avoided 7000ms"},
		},
		{
			name: "a start that is not applied does not end the wait",
			plan: func(at timekeeper.Millis) planOutcome {
				if at == 1500 {
					return planOutcome{starts: []tracker.Start{starting("a")}}
				}
				return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseNoRoom)}}
			},
			want: []string{"2000ms a no-room 2000ms", "7000ms a no-room 7000ms"},
		},
		{
			name: "a job that ran in between waits anew",
			plan: func(at timekeeper.Millis) planOutcome {
				if at == 1500 {
					return planOutcome{}
				}
				return planOutcome{waits: []planner.Wait{waiting("a", planner.CauseNoRoom)}}
			},
			want: []string{"3750ms a no-room 2000ms", "8750ms a no-room 7000ms"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r waitRecorder
			var got []string
			for at := timekeeper.Millis(0); at < 10_000; at += waitReportInterval {
				plan := test.plan(at)
				r.record(first+at, plan.waits, plan.starts)
				report, _ := r.report(first + at)
				for _, w := range report.lines {
					got = append(got, fmt.Sprintf("%v %s %v %v", at, w.Job, w.Cause, first+at-w.since))
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStandingTimeCountsFromRoom guards against a job that stands anew with each change of leader, and one that takes
// reserved room at once for having waited without any.
func TestStandingTimeCountsFromRoom(t *testing.T) {
	noRoom, room := waiting("a", planner.CauseNoRoom), waiting("a", planner.CauseReserved)
	room.RoomTwice = true
	standing := func(plans ...[]planner.Wait) []timekeeper.Millis {
		var r waitRecorder
		var times []timekeeper.Millis
		for i, waits := range plans {
			now := timekeeper.Minute + 100*timekeeper.Millis(i)
			r.record(now, waits, nil)
			times = append(times, r.standing(now)["a"])
		}
		return times
	}
	one := func(w planner.Wait) []planner.Wait { return []planner.Wait{w} }
	tests := []struct {
		name      string
		got, want []timekeeper.Millis
	}{
		{"since the first plan with room", standing(one(noRoom), one(room), one(room)), []timekeeper.Millis{0, 0, 100}},
		{"on through a short lack of room", standing(nil, one(room), one(noRoom), one(room), one(room)), []timekeeper.Millis{0, 0, 100, 200, 300}},
		{"anew after a lack that several plans see", standing(nil, one(room), one(noRoom), one(noRoom), one(noRoom), one(noRoom), one(room)), []timekeeper.Millis{0, 0, 100, 200, 0, 0, 0}},
		{"since long ago in a new term", standing(one(room), one(room)), []timekeeper.Millis{planner.StandingLimit, planner.StandingLimit + 100}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.got); diff != "" {
				t.Errorf("times (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWaitReportsAreBounded lets many jobs wait. One report must have maxWaitLines at most, those of jobs with room
// first, and count all; the other jobs follow in later reports.
func TestWaitReportsAreBounded(t *testing.T) {
	var waits []planner.Wait
	const jobs = 2*maxWaitLines + 1
	for i := range jobs {
		waits = append(waits, waiting(modeler.JobID(fmt.Sprintf("j%03d", i)), planner.CauseNoRoom))
	}
	waits[jobs-1].Cause = planner.CauseReserved
	var r waitRecorder
	r.record(1, waits, nil)
	now := 1 + longWait
	var lines []int
	for range 4 {
		r.record(now, waits, nil)
		report, ok := r.report(now)
		if !ok {
			t.Fatal("no report is due")
		}
		if len(lines) == 0 && report.lines[0].Job != waits[jobs-1].Job {
			t.Errorf("the first line is about %s, want the job with room", report.lines[0].Job)
		}
		if diff := cmp.Diff(map[planner.Cause]int{planner.CauseNoRoom: jobs - 1, planner.CauseReserved: 1}, report.counts); diff != "" {
			t.Errorf("counts (-want +got):\n%s", diff)
		}
		lines = append(lines, len(report.lines))
		if _, ok := r.report(now + waitReportInterval - 1); ok {
			t.Error("a report is due within the pause")
		}
		now += waitReportInterval
	}
	if diff := cmp.Diff([]int{maxWaitLines, maxWaitLines, 1, 0}, lines); diff != "" {
		t.Errorf("lines of each report (-want +got):\n%s", diff)
	}
}

// TestStartEndsTheWait checks that the start of a job returns how long it has waited, once.
func TestStartEndsTheWait(t *testing.T) {
	var r waitRecorder
	r.record(1000, []planner.Wait{waiting("a", planner.CauseNoRoom)}, nil)
	r.record(1500, nil, []tracker.Start{starting("a")})
	if waited, known := r.end("a", 1600); !known || waited != 600 {
		t.Errorf("waited %v, known %v; want 600ms", waited, known)
	}
	if _, known := r.end("a", 1600); known {
		t.Error("the second start of the job still has a wait")
	}
}

// TestAssignedLineTellsTheWait plans a job that no worker can hold yet, attaches a worker and plans again. The line about
// the first start must tell that the job has waited, and the other lines must not.
func TestAssignedLineTellsTheWait(t *testing.T) {
	c, ctx := startCoordinator(t)
	var out bytes.Buffer
	c.log = logger.New(&out, "p")
	propose := func(command tracker.Command) {
		if _, err := c.propose(ctx, command); err != nil {
			t.Fatal(err)
		}
	}
	next := configuration(1, "/q/", "k")
	propose(tracker.Command{Configure: &next})
	need := modeler.Resources{Accelerators: 1}
	propose(tracker.Command{Submit: &modeler.Job{ID: "a", Queue: "q", Workspace: "w", Steps: []modeler.Step{{Count: 2, Need: need, Estimate: 100}}}})
	c.plan(ctx)
	profile := tracker.Profile{Service: "app", Capacity: need.Times(2)}
	propose(tracker.Command{Attach: &tracker.Attach{Worker: "w", Incarnation: tracker.Incarnation{ID: "i", StartedAt: 1}, AgentProcess: "p", Profile: profile}})
	c.leases.grant("w", 1, c.clock.Now())
	c.plan(ctx)
	var got []bool
	for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("%v: %s", err, line)
		}
		if fields["event"] == float64(logger.RunAssigned.Number) {
			_, waited := fields["waited"]
			got = append(got, waited)
		}
	}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("assigned lines with the wait (-want +got):\n%s\nlog: %s", diff, out.String())
	}
}

// TestWaitLine checks the line about a wait: a warning if the job has fitted twice over for long, or fits and half of the
// service is free.
func TestWaitLine(t *testing.T) {
	tests := []struct {
		name  string
		wait  planner.Wait
		room  int
		twice timekeeper.Millis // since when the demand fits twice over
		inUse int               // workers of two of which half is in use
		want  map[string]any
	}{
		{
			name: "room is reserved on an idle service", inUse: 1, room: 1,
			wait: planner.Wait{Job: "a", Queue: "batch", Tasks: 2, Need: modeler.Resources{MilliCores: 500, MemoryMB: 100, Accelerators: 4}, Cause: planner.CauseReserved, Holder: "b"},
			want: map[string]any{
				"event": 2029.0, "level": "warn", "message": "job waits beside free room", "process": "p", "job": "a", "queue": "batch",
				"cause": "room-reserved", "waited": "3000ms", "tasks": 2.0, "accelerators": 4.0, "millicores": 500.0, "memory": 100.0,
				"holder": "b", "room": 1.0, "free": 75.0, "free-cores": 75.0, "free-memory": 100.0, "free-accelerators": 75.0, "state": 5.0,
			},
		},
		{
			name: "there is room twice over on a busy service", inUse: 2, room: 2, twice: 2000,
			wait: planner.Wait{Job: "a", Queue: "batch", Tasks: 1, Need: modeler.Resources{MilliCores: 500, MemoryMB: 100, Accelerators: 4}, Cause: planner.CauseNoRoom},
			want: map[string]any{
				"event": 2029.0, "level": "warn", "message": "job waits beside free room", "process": "p", "job": "a", "queue": "batch",
				"cause": "no-room", "waited": "3000ms", "tasks": 1.0, "accelerators": 4.0, "millicores": 500.0, "memory": 100.0,
				"room": 2.0, "free": 50.0, "free-cores": 50.0, "free-memory": 100.0, "free-accelerators": 50.0, "state": 5.0,
			},
		},
		{
			name: "no worker has room", inUse: 2,
			wait: planner.Wait{Job: "a", Queue: "batch", Tasks: 1, Cause: planner.CauseNoRoom},
			want: map[string]any{
				"event": 2028.0, "level": "info", "message": "job waits", "process": "p", "job": "a", "queue": "batch",
				"cause": "no-room", "waited": "3000ms", "tasks": 1.0, "accelerators": 0.0, "millicores": 0.0, "memory": 0.0,
				"room": 0.0, "free": 50.0, "free-cores": 50.0, "free-memory": 100.0, "free-accelerators": 50.0, "state": 5.0,
			},
		},
		{
			name: "the queue is unknown", inUse: 1,
			wait: planner.Wait{Job: "a", Queue: "gone", Tasks: 1, Cause: planner.CauseQueueUnknown},
			want: map[string]any{
				"event": 2028.0, "level": "info", "message": "job waits", "process": "p", "job": "a", "queue": "gone",
				"cause": "queue-unknown", "waited": "3000ms", "tasks": 1.0, "accelerators": 0.0, "millicores": 0.0, "memory": 0.0,
				"room": 0.0, "state": 5.0,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cluster := newCluster(t, 2)
			fillHalf(cluster, test.inUse)
			var out bytes.Buffer
			c := &Coordinator{log: logger.New(&out, "p")}
			c.logWait(cluster.state, jobWait{Wait: test.wait, since: 1000, room: test.room, twiceSince: test.twice}, 4000, freeShares(cluster.state))
			var got map[string]any
			if err := json.Unmarshal(out.Bytes(), &got); err != nil {
				t.Fatalf("%v: %s", err, out.Bytes())
			}
			delete(got, "time")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("line (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeldBackAfterTimeBesideRoom plays reports every 250 ms about a job that waits. The line must become one about a job
// that is held back once the demand has fitted twice over for longWait.
func TestHeldBackAfterTimeBesideRoom(t *testing.T) {
	const first, roomAt timekeeper.Millis = 1000, 3000
	var r waitRecorder
	var got []string
	for at := timekeeper.Millis(0); at < 7000; at += waitReportInterval {
		now := first + at
		r.record(now, []planner.Wait{waiting("a", planner.CauseReserved)}, nil)
		r.observeRoom(now, func(planner.Wait) int {
			if at < roomAt {
				return 1
			}
			return 2
		})
		report, _ := r.report(now)
		for _, w := range report.lines {
			got = append(got, fmt.Sprintf("%v held %t", at, w.heldBack(now)))
		}
	}
	if diff := cmp.Diff([]string{"2000ms held false", "5000ms held true"}, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestRoomAsAnOutsiderSeesIt counts the room for a job that waits, after the starts of a plan.
func TestRoomAsAnOutsiderSeesIt(t *testing.T) {
	cluster := newCluster(t, 2)
	fillHalf(cluster, 1)
	need := modeler.Resources{MilliCores: 1000, Accelerators: 2}
	cluster.apply(tracker.Command{Submit: &modeler.Job{ID: "a", Queue: "batch", Steps: []modeler.Step{
		{Count: 8, Need: need}, {Count: 3, Need: need, Gang: true, OneRack: true}, {Count: 8, Need: need, MaxPerWorker: 1}, {Count: 1, Need: need, Label: "none"},
	}}})
	start := tracker.Start{Run: tracker.RunKey{Task: tracker.TaskKey{Job: "a"}, Attempt: 1}, Worker: "w1", Epoch: 1}
	view := newRoomView(planner.Input{State: cluster.state}, []tracker.Start{start})
	silent := newRoomView(planner.Input{State: cluster.state, Unresponsive: map[string]bool{"w1": true}}, nil)
	wait := func(instance, tasks int) planner.Wait {
		return planner.Wait{Job: "a", Queue: "batch", Instance: instance, Tasks: tasks}
	}
	got := []int{
		view.timesOver(wait(0, 1)), view.timesOver(wait(1, 3)), view.timesOver(wait(2, 1)), view.timesOver(wait(3, 1)), silent.timesOver(wait(0, 1)),
	}
	if diff := cmp.Diff([]int{5, 1, 2, 0, 2}, got); diff != "" {
		t.Errorf("times over: a task, a gang, one task a worker, a missing label, a silent agent (-want +got):\n%s", diff)
	}
}

// fillHalf starts a task on each of the first workers that takes half of its capacity by weight.
func fillHalf(c *cluster, workers int) {
	c.t.Helper()
	capacity := modeler.Resources{MilliCores: 64000, MemoryMB: 128000, Accelerators: 8}
	need := modeler.Resources{MilliCores: capacity.MilliCores / 2, Accelerators: capacity.Accelerators / 2}
	c.apply(tracker.Command{Submit: &modeler.Job{ID: "filler", Queue: "batch", Steps: []modeler.Step{{Count: workers, Need: need, Estimate: 1000}}}})
	var starts []tracker.Start
	for i := range workers {
		key := tracker.TaskKey{Job: "filler", Index: i}
		starts = append(starts, tracker.Start{Run: tracker.RunKey{Task: key, Attempt: 1}, Worker: fmt.Sprintf("w%d", i), Epoch: 1})
	}
	c.apply(tracker.Command{Assign: &tracker.Assign{Starts: starts}})
}
