package coordinator

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// cluster holds a tracker state that is built by commands.
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
			Worker: fmt.Sprintf("w%d", i), Incarnation: tracker.Incarnation{ID: fmt.Sprintf("i%d", i), StartedAt: 1}, AgentProcess: "p",
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

// completeRuns completes one job of a single task for each duration in took. declare returns the declared estimate for
// a duration.
func (c *cluster) completeRuns(declare func(took timekeeper.Millis) timekeeper.Millis, took ...timekeeper.Millis) {
	c.t.Helper()
	for i, t := range took {
		key := c.runJob(modeler.JobID(fmt.Sprintf("ended-%d", i)), 1, declare(t))[0]
		c.apply(tracker.Command{Report: &tracker.Report{
			Worker: "w0", Epoch: 1, Ends: []tracker.End{{Run: key, Kind: tracker.EndDone, RunTime: t}},
		}})
	}
}

// reportRuns reports steady progress every 500 ms until the given time. totals holds the total duration of each run.
func reportRuns(o *observer, s tracker.State, totals map[tracker.RunKey]timekeeper.Millis, until timekeeper.Millis) {
	for now := timekeeper.Millis(1); now <= until; now += 500 {
		for key, total := range totals {
			o.recordReports(now, []RunReport{{Run: key, Percent: int(now * 100 / total)}})
		}
		o.plannerInput(s, now)
	}
}

// TestWrongEstimateDoesNotMakeRunsSlow runs tasks that all take about ten times their declared estimate.
func TestWrongEstimateDoesNotMakeRunsSlow(t *testing.T) {
	c := newCluster(t, 4)
	keys := c.runJob("a", 4, 900)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 9000, keys[1]: 8000, keys[2]: 10000, keys[3]: 12000}, 6000)
	progress := o.plannerInput(c.state, 6000).Progress
	for _, key := range keys {
		if progress[key].Slow || progress[key].Stalled {
			t.Errorf("%v counts as slow or stalled: %+v", key, progress[key])
		}
	}
}

// TestRunFarBehindItsPeersIsSlow has one run that takes about seven times as long as the others.
func TestRunFarBehindItsPeersIsSlow(t *testing.T) {
	c := newCluster(t, 4)
	keys := c.runJob("a", 4, 900)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 9000, keys[1]: 8000, keys[2]: 10000, keys[3]: 60000}, 6000)
	progress := o.plannerInput(c.state, 6000).Progress
	if !progress[keys[3]].Slow {
		t.Errorf("the slow run does not count as slow: %+v", progress[keys[3]])
	}
	if progress[keys[0]].Slow {
		t.Errorf("a run of typical duration counts as slow: %+v", progress[keys[0]])
	}
}

// TestRunWithoutProgressIsStalled has one run whose percentage stays the same.
func TestRunWithoutProgressIsStalled(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 5000)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 9000, keys[1]: 10_000_000}, 6000)
	progress := o.plannerInput(c.state, 6000).Progress
	if progress[keys[0]].Stalled || !progress[keys[1]].Stalled {
		t.Errorf("stalled: %v and %v, want false and true", progress[keys[0]].Stalled, progress[keys[1]].Stalled)
	}
}

// TestTaskFarLongerThanDeclaredIsDone guards against a task that is stopped for want of progress again and again, and never
// done, since one percent of it takes longer than a run may stand still.
func TestTaskFarLongerThanDeclaredIsDone(t *testing.T) {
	const declared, took = 10 * timekeeper.Second, 800 * timekeeper.Second
	c := newCluster(t, 1)
	key := c.runJob("long", 1, declared)[0]
	o := newObserver()
	stops := 0
	begun := timekeeper.Millis(1)
	for now := begun; now-begun < took; now += 500 {
		o.recordReports(now, []RunReport{{Run: key, Percent: int((now - begun) * 100 / took)}})
		if !o.plannerInput(c.state, now).Progress[key].Stalled {
			continue
		}
		if stops++; stops > 2 {
			t.Fatalf("%v is stopped for the third time, after %v", key, now-begun)
		}
		o.recordStall(key)
		c.apply(tracker.Command{Report: &tracker.Report{Worker: "w0", Epoch: 1, Ends: []tracker.End{{Number: stops, Run: key, Kind: tracker.EndStopped}}}})
		key.Attempt++
		c.apply(tracker.Command{Assign: &tracker.Assign{Starts: []tracker.Start{{Run: key, Worker: "w0", Epoch: 1}}}})
		begun = now
	}
	if stops == 0 {
		t.Error("the first run is not stopped, want it moved once or twice")
	}
}

// TestUnreportedRunIsNotStalled has the reports stop in the middle of runs, as when a worker is cut off. Nothing is
// known of such runs, which are lost only when the lease ends.
func TestUnreportedRunIsNotStalled(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 5000)
	o := newObserver()
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 20_000, keys[1]: 20_000}, 3000)
	progress := o.plannerInput(c.state, 9000).Progress
	for _, key := range keys {
		if progress[key].Stalled || progress[key].Slow {
			t.Errorf("%v counts as slow or stalled although it was not reported: %+v", key, progress[key])
		}
	}
}

// TestWaitingGangMemberIsNotStalled has one gang member finish long before the other.
func TestWaitingGangMemberIsNotStalled(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 2000)
	o := newObserver()
	for now := timekeeper.Millis(1); now < 9000; now += 500 {
		o.recordReports(now, []RunReport{{Run: keys[0], Percent: min(int(now/20), 100)}, {Run: keys[1], Percent: int(now / 100)}})
	}
	progress := o.plannerInput(c.state, 9000).Progress
	if progress[keys[0]].Stalled {
		t.Errorf("a member that has done its part counts as stalled: %+v", progress[keys[0]])
	}
}

// TestLongTaskIsMovedOnce runs a task that takes eight times as long as the others of its queue on any worker. Its
// first run counts as slow, its second does not.
func TestLongTaskIsMovedOnce(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 1, 2000)
	o := newObserver()
	c.completeRuns(func(timekeeper.Millis) timekeeper.Millis { return 1000 }, 2400, 2500, 2600, 2500)
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{keys[0]: 20_000}, 4000)
	if progress := o.plannerInput(c.state, 4000).Progress; !progress[keys[0]].Slow {
		t.Errorf("a first run that takes eight times as long as others does not count as slow: %+v", progress[keys[0]])
	}
	c.apply(tracker.Command{Report: &tracker.Report{Worker: "w0", Epoch: 1, Ends: []tracker.End{{Number: 1, Run: keys[0], Kind: tracker.EndStopped}}}})
	again := tracker.RunKey{Task: keys[0].Task, Attempt: 2}
	c.apply(tracker.Command{Assign: &tracker.Assign{Starts: []tracker.Start{{Run: again, Worker: "w1", Epoch: 1}}}})
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{again: 20_000}, 9000)
	if progress := o.plannerInput(c.state, 9000).Progress; progress[again].Slow {
		t.Errorf("a second run of the same duration counts as slow: %+v", progress[again])
	}
}

// TestDeclaredLongRunIsNotSlow runs a task that declares, and takes, about ten times as long as the others of a queue
// whose estimates are reliable.
func TestDeclaredLongRunIsNotSlow(t *testing.T) {
	c := newCluster(t, 2)
	o := newObserver()
	c.completeRuns(func(took timekeeper.Millis) timekeeper.Millis { return took * 11 / 10 }, 900, 2400, 5200, 1300, 2500, 700, 8000, 2000)
	key := c.runJob("long", 1, 22_000)[0]
	reportRuns(o, c.state, map[tracker.RunKey]timekeeper.Millis{key: 24_000}, 6000)
	if progress := o.plannerInput(c.state, 6000).Progress; progress[key].Slow {
		t.Errorf("a run that takes as long as declared counts as slow: %+v", progress[key])
	}
}

// TestWasAssigned checks that starts that were applied are told from those that were not, which the log omits.
func TestWasAssigned(t *testing.T) {
	c := newCluster(t, 2)
	keys := c.runJob("a", 2, 1000)
	later := keys[1]
	later.Attempt = 2
	for run, want := range map[tracker.RunKey]bool{keys[0]: true, keys[1]: true, later: false} {
		if got := wasAssigned(c.state, run); got != want {
			t.Errorf("%v was assigned: %v, want %v", run, got, want)
		}
	}
}

// TestAssignedJobIsPendingUntilItHasStarted guards against a queue whose count lacks a job that was assigned and that no
// runner has started.
func TestAssignedJobIsPendingUntilItHasStarted(t *testing.T) {
	c := newCluster(t, 1)
	o := newObserver()
	run := c.runJob("job", 1, 1000)[0]
	other := c.runJob("other", 1, 1000)[0]
	pending := func() int { return o.pending(c.state, "batch") }
	var got []int
	got = append(got, pending()) // both assigned
	o.recordBegun(&WatchRequest{Starts: []StartReport{{Run: run, Cause: StartUnavailable}, {Run: other, Confirmed: true}}})
	got = append(got, pending()) // the start of one refused
	c.apply(tracker.Command{Report: &tracker.Report{Worker: "w0", Epoch: 1, Ends: []tracker.End{{Run: run, Kind: tracker.EndNeverStarted}}}})
	o.plannerInput(c.state, 1)
	got = append(got, pending()) // given back
	o.recordBegun(&WatchRequest{Running: []RunReport{{Run: run}}})
	got = append(got, pending())                               // started at last
	got = append(got, newObserver().pending(c.state, "batch")) // a new leader
	c.apply(tracker.Command{Report: &tracker.Report{Worker: "w0", Epoch: 1, Ends: []tracker.End{{Number: 1, Run: other, Kind: tracker.EndFailed}}}})
	got = append(got, newObserver().pending(c.state, "batch")) // a new leader, once a run has failed
	if diff := cmp.Diff([]int{2, 1, 1, 0, 2, 1}, got); diff != "" {
		t.Errorf("pending jobs (-want +got):\n%s", diff)
	}
}
