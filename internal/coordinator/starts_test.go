package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/meter"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// startWithJob returns a coordinator with a long lease, the worker w0, and a run that is assigned to it.
func startWithJob(t *testing.T) (*Coordinator, context.Context, tracker.RunKey) {
	t.Helper()
	c, ctx := startCoordinator(t)
	c.leases = newLeases(timekeeper.Minute)
	c.term = c.updateTerm(0)
	first := configuration(1, "/q/", "key")
	if _, err := c.propose(ctx, tracker.Command{Configure: &first}); err != nil {
		t.Fatal(err)
	}
	attachWorker(ctx, t, c, "w0")
	job := modeler.Job{ID: "job", Queue: "q", Workspace: "w", Steps: []modeler.Step{{Count: 1, Need: modeler.Resources{Accelerators: 1}, Estimate: 1000}}}
	if _, err := c.propose(ctx, tracker.Command{Submit: &job}); err != nil {
		t.Fatal(err)
	}
	c.step(ctx)
	key := tracker.RunKey{Task: tracker.TaskKey{Job: "job"}, Attempt: 1}
	if !c.machine.State().IsCurrent("w0", key) {
		t.Fatal("the run is not assigned to w0")
	}
	return c, ctx, key
}

func attachWorker(ctx context.Context, t *testing.T, c *Coordinator, name string) {
	t.Helper()
	_, err := c.attach(ctx, &AttachRequest{Attach: tracker.Attach{
		Worker: name, Incarnation: tracker.Incarnation{ID: name, StartedAt: 1}, AgentProcess: "p",
		Profile: tracker.Profile{Service: "app", Labels: []string{"a", "r"}, Capacity: modeler.Resources{Accelerators: 1}},
	}})
	if err != nil {
		t.Fatal(err)
	}
}

// TestRunThatNoAgentAsksForStartsElsewhere guards against a run that stands until a lease ends because the agent of its
// worker does not call, although no agent was told of it.
func TestRunThatNoAgentAsksForStartsElsewhere(t *testing.T) {
	c, ctx, key := startWithJob(t)
	attachWorker(ctx, t, c, "w1")
	next := tracker.RunKey{Task: key.Task, Attempt: 2}
	deadline := time.Now().Add((unsentLimit + 1000).Duration())
	for !c.machine.State().IsCurrent("w1", next) {
		if time.Now().After(deadline) {
			t.Fatalf("after %v the run is not assigned elsewhere: %+v", unsentLimit+1000, c.machine.State().UnfinishedJobs()[0].Tasks)
		}
		c.starts.watchBegins("w1") // w1's agent calls, w0's does not
		c.step(ctx)
		c.starts.watchEnds("w1", c.clock.Now(), false)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestRunThatAnAgentMayHaveIsNotWithdrawn guards against a run that starts twice: one that was sent, one that another
// leader may have sent, and one that waits while its agent is being answered.
func TestRunThatAnAgentMayHaveIsNotWithdrawn(t *testing.T) {
	tests := map[string]func(context.Context, *Coordinator){
		"sent":              func(ctx context.Context, c *Coordinator) { _, _ = c.watch(ctx, &WatchRequest{Worker: "w0", Epoch: 1}) },
		"by another leader": func(_ context.Context, c *Coordinator) { c.starts.reset() },
		"agent waits":       func(_ context.Context, c *Coordinator) { c.starts.watchBegins("w0") },
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			c, ctx, _ := startWithJob(t)
			act(ctx, c)
			if got := c.starts.withdraw(c.machine.State(), c.clock.Now()+unsentLimit+1000); len(got) > 0 {
				t.Errorf("withdrawn: %v", got)
			}
		})
	}
}

// TestWithdrawnRunIsNotSent guards against an answer to an agent that holds a run which is being withdrawn, and against a
// withdrawal that goes on in a later term, after another leader may have sent the run.
func TestWithdrawnRunIsNotSent(t *testing.T) {
	c, ctx, key := startWithJob(t)
	late := c.clock.Now() + unsentLimit + 1
	withdrawn := map[string][]tracker.RunKey{"w0": {key}}
	for _, test := range []struct {
		name string
		want map[string][]tracker.RunKey
		sent int
	}{{"in the term", withdrawn, 0}, {"in a later term", map[string][]tracker.RunKey{}, 1}} {
		if diff := cmp.Diff(test.want, c.starts.withdraw(c.machine.State(), late)); diff != "" {
			t.Errorf("%s: withdrawn (-want +got):\n%s", test.name, diff)
		}
		response, err := c.watch(ctx, &WatchRequest{Worker: "w0", Epoch: 1})
		if err != nil || len(response.Assignments) != test.sent {
			t.Errorf("%s: error %v, assignments %+v, want %d", test.name, err, response.Assignments, test.sent)
		}
		c.starts.reset()
	}
}

// TestRunWithheldByOneLeaderIsToldByTheNext guards against a run that stands for good: the leader withholds it from the agent
// since it withdraws it, and loses the leadership before the withdrawal is committed. The agent must not take what it was
// told for all that its worker holds, or the next leader never tells it of the run.
func TestRunWithheldByOneLeaderIsToldByTheNext(t *testing.T) {
	c, ctx, key := startWithJob(t)
	c.starts.withdraw(c.machine.State(), c.clock.Now()+unsentLimit+1)
	first, err := c.watch(ctx, &WatchRequest{Worker: "w0", Epoch: 1})
	if err != nil || len(first.Assignments) > 0 {
		t.Fatalf("error %v, assignments %+v, want none", err, first.Assignments)
	}
	c.starts.reset()
	second, err := c.watch(ctx, &WatchRequest{Worker: "w0", Epoch: 1, KnownVersion: first.Version})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]Assignment{{Run: key, Epoch: 1}}, second.Assignments); diff != "" {
		t.Errorf("assignments (-want +got):\n%s", diff)
	}
}

// TestWorkerWhoseAgentBreaksOffGetsNoNewRuns guards against runs that are assigned to a worker whose agent process has
// just ended. The worker is used again once an agent calls.
func TestWorkerWhoseAgentBreaksOffGetsNoNewRuns(t *testing.T) {
	c, ctx, _ := startWithJob(t)
	watch(ctx, t, c, &WatchRequest{Worker: "w0", Epoch: 1})
	known := c.machine.State().Workers()[0].ModifiedIndex
	for _, broken := range []bool{true, false} {
		call, cancel := context.WithCancel(ctx)
		if broken {
			time.AfterFunc(50*time.Millisecond, cancel)
		}
		_, _ = c.watch(call, &WatchRequest{Worker: "w0", Epoch: 1, KnownVersion: known})
		cancel()
		if got := c.unresponsiveWorkers(c.machine.State(), c.clock.Now())["w0"]; got != broken {
			t.Errorf("broken off %v: gets no new runs %v", broken, got)
		}
	}
}

// TestWatchEndsWhenReplicaDoesNotLead guards against an agent that learns of the next leader only after WatchTimeout.
func TestWatchEndsWhenReplicaDoesNotLead(t *testing.T) {
	node, machine := newNode(t)
	command, err := encoder.Marshal(tracker.Command{Attach: &tracker.Attach{Worker: "w"}})
	if err != nil {
		t.Fatal(err)
	}
	machine.Apply(1, command)
	c := New(Settings{}, node, machine, logger.Logger{}, meter.Meter{})
	w, _ := machine.State().Worker("w")
	began := time.Now()
	c.waitForChange(context.Background(), &WatchRequest{Worker: "w", Epoch: w.Epoch}, w.ModifiedIndex)
	if took := time.Since(began); took > WatchTimeout.Duration()/2 {
		t.Errorf("the watch ends after %v", took)
	}
}

// TestRunIsNotWithdrawnInAnotherTerm guards against a run that another leader has sent while this one had not noticed
// that it lost the leadership and regained it.
func TestRunIsNotWithdrawnInAnotherTerm(t *testing.T) {
	c, ctx, key := startWithJob(t)
	c.term++
	if got := c.starts.withdraw(c.machine.State(), c.clock.Now()+unsentLimit+1); len(got) == 0 {
		t.Fatal("the run is not to be withdrawn")
	}
	c.withdrawUnsent(ctx)
	if !c.machine.State().IsCurrent("w0", key) {
		t.Error("the run was withdrawn")
	}
}

// TestWatchTellsOnlyRunsThatAreAssignedThroughout guards against a run that is sent although an earlier leader withdrew it, or
// although a later one assigned it and may withdraw it, and against one that no later watch tells.
func TestWatchTellsOnlyRunsThatAreAssignedThroughout(t *testing.T) {
	c, _, key := startWithJob(t)
	assigned := c.machine.State()
	w, _ := assigned.Worker("w0")
	lost, _ := assigned.Apply(assigned.Index+1, tracker.Command{Report: &tracker.Report{Worker: "w0", Epoch: w.Epoch, Ends: []tracker.End{{Run: key, Kind: tracker.EndLost}}}})
	again, _ := lost.Apply(lost.Index+1, tracker.Command{Assign: &tracker.Assign{Starts: []tracker.Start{{Run: tracker.RunKey{Task: key.Task, Attempt: 2}, Worker: "w0", Epoch: w.Epoch}}}})
	tests := []struct {
		name          string
		before, after tracker.State
		want          int
	}{
		{"assigned in both", assigned, assigned, 1},
		{"withdrawn since", assigned, lost, 0},
		{"assigned since", lost, again, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, _ := c.watchResponse(&WatchRequest{Worker: "w0", Epoch: w.Epoch}, test.before, test.after)
			if len(response.Assignments) != test.want {
				t.Errorf("assignments %v, want %d", response.Assignments, test.want)
			}
			if old, _ := test.before.Worker("w0"); response.Version != old.ModifiedIndex {
				t.Errorf("version %d, want %d, that of the first state", response.Version, old.ModifiedIndex)
			}
		})
	}
}

// TestLateRunIsCountedWithItsCause guards against an assigned run that stands without a sign of it: it is late until its
// agent reports that it has begun.
func TestLateRunIsCountedWithItsCause(t *testing.T) {
	c, ctx, key := startWithJob(t)
	assignedAt := c.starts.runs[key].assignedAt
	now := assignedAt
	causes := func() []string {
		now += startScanInterval
		var list []string
		late, _ := c.starts.lateRuns(c.machine.State(), now)
		for _, l := range late {
			list = append(list, l.cause.String())
		}
		return list
	}
	steps := []struct {
		name string
		act  func()
		want []string
	}{
		{"early", func() {}, nil},
		{"not sent", func() { now += lateStart }, []string{"not-sent"}},
		{"sent", func() { watch(ctx, t, c, &WatchRequest{Worker: "w0", Epoch: 1}) }, []string{"not-reported"}},
		{"refused", func() { c.reportStart(StartReport{Run: key, Cause: StartUnavailable}, now) }, []string{"runner-unavailable"}},
		{"begun", func() {
			want := []begunRun{{key, now - 300 - assignedAt}}
			if diff := cmp.Diff(want, c.reportStart(StartReport{Run: key, Confirmed: true, Since: 300}, now), cmp.AllowUnexported(begunRun{})); diff != "" {
				t.Errorf("begun (-want +got):\n%s", diff)
			}
		}, nil},
	}
	for _, step := range steps {
		step.act()
		if diff := cmp.Diff(step.want, causes()); diff != "" {
			t.Errorf("%s: causes of late runs (-want +got):\n%s", step.name, diff)
		}
	}
}

// reportStart records a start report of w0.
func (c *Coordinator) reportStart(r StartReport, now timekeeper.Millis) []begunRun {
	return c.starts.recordReports(&WatchRequest{Worker: "w0", Starts: []StartReport{r}}, now)
}
