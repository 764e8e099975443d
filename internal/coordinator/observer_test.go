package coordinator

import (
	"fmt"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// cluster is a tracker's state made by commands.
type cluster struct {
	t     *testing.T
	state tracker.State
	index uint64
}

func newCluster(t *testing.T, workers int) *cluster {
	t.Helper()
	c := &cluster{t: t, state: tracker.New()}
	c.apply(tracker.Command{Configure: &modeler.Configuration{
		Version: 1, Services: []string{"planner"},
		Queues: []modeler.Queue{{Name: "batch", Host: "h", Prefix: "/b/", Service: "planner", Priority: 2, MaxAttempts: 2, Stretch: 3, Target: 1000}},
	}})
	for i := range workers {
		c.apply(tracker.Command{Attach: &tracker.Attach{
			Worker: fmt.Sprintf("w%d", i), Life: tracker.Life{ID: fmt.Sprintf("i%d", i), Born: 1}, Process: "p",
			Profile: tracker.Profile{Service: "planner", Labels: []string{"a", "r1"}, Capacity: modeler.Resources{MilliCores: 64000, MemoryMB: 128000, Accelerators: 8}},
		}})
	}
	return c
}

func (c *cluster) apply(command tracker.Command) {
	c.t.Helper()
	c.index++
	var answer tracker.Answer
	c.state, answer = c.state.Apply(c.index, command)
	if answer.Code != tracker.Accepted {
		c.t.Fatalf("command %d: code %d", c.index, answer.Code)
	}
}

// runJob submits a job of equal tasks and assigns one task to each worker.
func (c *cluster) runJob(id modeler.JobID, tasks int, estimate timekeeper.Millis) []tracker.RunKey {
	c.t.Helper()
	c.apply(tracker.Command{Submit: &modeler.Job{ID: id, Queue: "batch", Steps: []modeler.Step{{Count: tasks, Need: modeler.Resources{Accelerators: 1}, Estimate: estimate}}}})
	var keys []tracker.RunKey
	var starts []tracker.Start
	for i := range tasks {
		key := tracker.RunKey{Task: tracker.TaskKey{Job: id, Index: i}, Attempt: 1}
		keys = append(keys, key)
		starts = append(starts, tracker.Start{Run: key, Worker: fmt.Sprintf("w%d", i), Epoch: 1})
	}
	c.apply(tracker.Command{Assign: &tracker.Assign{Starts: starts}})
	return keys
}

// completeRuns runs jobs of one task each, which took the given times and have ended; declare gives what each declares.
func (c *cluster) completeRuns(declare func(took timekeeper.Millis) timekeeper.Millis, took ...timekeeper.Millis) {
	c.t.Helper()
	for i, t := range took {
		key := c.runJob(modeler.JobID(fmt.Sprintf("ended-%d", i)), 1, declare(t))[0]
		c.apply(tracker.Command{Report: &tracker.Report{
			Worker: "w0", Epoch: 1, Ends: []tracker.End{{Run: key, Kind: tracker.EndDone, Took: t}},
		}})
	}
}

// reportRuns reports percentages that rise at a pace of one task a number of milliseconds, until the time.
func reportRuns(o *observer, s tracker.State, wholes map[tracker.RunKey]timekeeper.Millis, until timekeeper.Millis) {
	for now := timekeeper.Millis(1); now <= until; now += 500 {
		for key, whole := range wholes {
			o.recordReports(now, []RunReport{{Run: key, Percent: int(now * 100 / whole)}})
		}
		o.plannerInput(s, now)
	}
}

// TestWrongEstimateIsNotSlowness runs tasks that take ten times what was declared; none is slow against the others.
func TestWrongEstimateIsNotSlowness(t *testing.T) {
	c := newCluster(t, 4)
	keys := c.runJob("a", 4, 900)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 9000, keys[1]: 8000, keys[2]: 10000, keys[3]: 12000}, 6000)
	progress := o.plannerInput(c.state, 6000).Progress
	for _, key := range keys {
		if progress[key].Slow || progress[key].Stalled {
			t.Errorf("%v is judged as bad: %+v", key, progress[key])
		}
	}
}

// TestSlowRunIsSeenAgainstItsPeers has one worker that takes seven times as long as the others.
func TestSlowRunIsSeenAgainstItsPeers(t *testing.T) {
	c := newCluster(t, 4)
	keys := c.runJob("a", 4, 900)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 9000, keys[1]: 8000, keys[2]: 10000, keys[3]: 60000}, 6000)
	progress := o.plannerInput(c.state, 6000).Progress
	if !progress[keys[3]].Slow {
		t.Errorf("the slow run is not seen: %+v", progress[keys[3]])
	}
	if progress[keys[0]].Slow {
		t.Errorf("a run at the usual pace is judged as slow: %+v", progress[keys[0]])
	}
}

// TestStalledRunIsSeen has a run whose percentage stands still.
func TestStalledRunIsSeen(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 5000)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 9000, keys[1]: 10_000_000}, 6000)
	progress := o.plannerInput(c.state, 6000).Progress
	if progress[keys[0]].Stalled || !progress[keys[1]].Stalled {
		t.Errorf("stalled: %v and %v, want false and true", progress[keys[0]].Stalled, progress[keys[1]].Stalled)
	}
}

// TestUnheardRunIsNotStalled has a worker be cut off in the middle of a run: nothing is known of it, so that it is left
// to its lease.
func TestUnheardRunIsNotStalled(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 5000)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 20_000, keys[1]: 20_000}, 3000)
	progress := o.plannerInput(c.state, 9000).Progress
	for _, key := range keys {
		if progress[key].Stalled || progress[key].Slow {
			t.Errorf("%v is judged although nothing was heard of it: %+v", key, progress[key])
		}
	}
}

// TestWaitingGangMemberIsNotStalled has one member be done long before the other.
func TestWaitingGangMemberIsNotStalled(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 2000)
	o := newObserver()
	for now := timekeeper.Millis(1); now < 9000; now += 500 {
		o.recordReports(now, []RunReport{{Run: keys[0], Percent: min(int(now/20), 100)}, {Run: keys[1], Percent: int(now / 100)}})
	}
	progress := o.plannerInput(c.state, 9000).Progress
	if progress[keys[0]].Stalled {
		t.Errorf("a member that has done its part is judged as standing still: %+v", progress[keys[0]])
	}
}

// TestLongTaskIsMovedOnce has a task of a queue that takes eight times as long as the others, wherever it runs. The
// first run is taken for slow; a second one is left alone.
func TestLongTaskIsMovedOnce(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 1, 2000)
	o := newObserver()
	c.completeRuns(func(timekeeper.Millis) timekeeper.Millis { return 1000 }, 2400, 2500, 2600, 2500)
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 20_000}, 4000)
	if progress := o.plannerInput(c.state, 4000).Progress; !progress[keys[0]].Slow {
		t.Errorf("a first run at an eighth of the usual pace is not judged as slow: %+v", progress[keys[0]])
	}
	c.apply(tracker.Command{Report: &tracker.Report{Worker: "w0", Epoch: 1, Ends: []tracker.End{{Number: 1, Run: keys[0], Kind: tracker.EndStopped}}}})
	again := tracker.RunKey{Task: keys[0].Task, Attempt: 2}
	c.apply(tracker.Command{Assign: &tracker.Assign{Starts: []tracker.Start{{Run: again, Worker: "w1", Epoch: 1}}}})
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{again: 20_000}, 9000)
	if progress := o.plannerInput(c.state, 9000).Progress; progress[again].Slow {
		t.Errorf("a second run at the same pace is moved again: %+v", progress[again])
	}
}

// TestDeclaredLongRunIsNotSlow has a task of a queue whose declarations hold declare, and take, ten times as long as the
// others: it is left alone, whatever the others take.
func TestDeclaredLongRunIsNotSlow(t *testing.T) {
	c := newCluster(t, 2)
	o := newObserver()
	c.completeRuns(func(took timekeeper.Millis) timekeeper.Millis { return took * 11 / 10 }, 900, 2400, 5200, 1300, 2500, 700, 8000, 2000)
	key := c.runJob("long", 1, 22_000)[0]
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{key: 24_000}, 6000)
	if progress := o.plannerInput(c.state, 6000).Progress; progress[key].Slow {
		t.Errorf("a run that takes what was declared is judged as slow: %+v", progress[key])
	}
}

// TestOnlyWhatBeganIsLogged tells starts that took effect from those that no longer fitted.
func TestOnlyWhatBeganIsLogged(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 1000)
	later := keys[1]
	later.Attempt = 2
	for run, want := range map[tracker.RunKey]bool{keys[0]: true, keys[1]: true, later: false} {
		if got := wasAssigned(c.state, run); got != want {
			t.Errorf("%v began: %v, want %v", run, got, want)
		}
	}
}
