package coordinator

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// startWithGang returns a coordinator with a long lease, the workers w0 and w1, and the runs of a gang on them, in this
// order. Both agents have been told of their runs. The job goes on with the later steps.
func startWithGang(t *testing.T, later ...modeler.Step) (*Coordinator, context.Context, []tracker.RunKey) {
	t.Helper()
	c, ctx := startCoordinator(t)
	c.leases = newLeases(timekeeper.Minute)
	c.term = c.updateTerm(0)
	first := configuration(1, "/q/", "key")
	members := modeler.Step{Count: 2, Gang: true, Need: modeler.Resources{Accelerators: 1}, Estimate: 1000}
	job := modeler.Job{ID: "gang", Queue: "q", Workspace: "w", Steps: append([]modeler.Step{members}, later...)}
	for _, command := range []tracker.Command{{Configure: &first}, {Submit: &job}} {
		if _, err := c.propose(ctx, command); err != nil {
			t.Fatal(err)
		}
	}
	workers := []string{"w0", "w1"}
	for _, name := range workers {
		attachWorker(ctx, t, c, name)
	}
	c.step(ctx)
	var keys []tracker.RunKey
	for _, name := range workers {
		w, _ := c.machine.State().Worker(name)
		if len(w.Runs) != 1 {
			t.Fatalf("%s holds %v, want one run", name, w.Runs)
		}
		keys = append(keys, w.Runs[0].Key)
		watch(ctx, t, c, &WatchRequest{Worker: name, Epoch: w.Epoch})
	}
	return c, ctx, keys
}

// endGang reports that the gang is done through the member on w0.
func endGang(ctx context.Context, t *testing.T, c *Coordinator, run tracker.RunKey) {
	t.Helper()
	_, err := c.report(ctx, &ReportRequest{Report: tracker.Report{Worker: "w0", Epoch: 1, Ends: []tracker.End{{Number: 1, Run: run, Kind: tracker.EndDone}}}})
	if err != nil {
		t.Fatal(err)
	}
	if j, _ := c.machine.State().Job(run.Task.Job); !j.InstanceDone(0) {
		t.Fatalf("the gang is not done: %+v", j.Tasks)
	}
}

// restartRunner attaches w1 for a new incarnation of its runner.
func restartRunner(ctx context.Context, t *testing.T, c *Coordinator) (epoch uint64) {
	t.Helper()
	return attachAgain(ctx, t, c, func(a *tracker.Attach) { a.Incarnation = tracker.Incarnation{ID: "again", StartedAt: 2} })
}

// attachAgain attaches w1 with a change to its last attachment.
func attachAgain(ctx context.Context, t *testing.T, c *Coordinator, change func(*tracker.Attach)) (epoch uint64) {
	t.Helper()
	w, _ := c.machine.State().Worker("w1")
	a := tracker.Attach{Worker: "w1", Incarnation: w.Incarnation, AgentProcess: w.AgentProcess, Profile: w.Profile}
	change(&a)
	response, err := c.attach(ctx, &AttachRequest{Attach: a})
	if err != nil || response.Epoch == w.Epoch {
		t.Fatalf("attach: %v, epoch %d after %d", err, response.Epoch, w.Epoch)
	}
	return response.Epoch
}

// TestRoomHeldByRunOfEndedJobIsNamed guards against room that stays taken by a run of a job that has ended, without a line or
// a figure that tells of it.
func TestRoomHeldByRunOfEndedJobIsNamed(t *testing.T) {
	tests := []struct {
		name  string
		act   func(context.Context, *testing.T, *Coordinator)
		cause string
	}{
		{"its agent knows of it", func(context.Context, *testing.T, *Coordinator) {}, "not-reported"},
		{"its runner has started again", func(ctx context.Context, t *testing.T, c *Coordinator) { restartRunner(ctx, t, c) }, "not-sent"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, ctx, keys := startWithGang(t)
			var out bytes.Buffer
			c.log = logger.New(&out, "p")
			endGang(ctx, t, c, keys[0])
			test.act(ctx, t, c)
			now, state := c.clock.Now(), c.machine.State()
			c.starts.scannedAt = 0
			if late, _ := c.starts.lateRuns(state, now); len(late) > 0 {
				t.Errorf("late at once: %v", late)
			}
			late, _ := c.starts.lateRuns(state, now+lateEnd)
			var got []string
			for _, l := range late {
				got = append(got, l.run.String()+" "+l.cause.String())
			}
			if diff := cmp.Diff([]string{keys[1].String() + " " + test.cause}, got); diff != "" {
				t.Errorf("late runs (-want +got):\n%s", diff)
			}
			c.logLateRun(late[0], state, now+lateEnd)
			if !strings.Contains(out.String(), `"event":2042`) || !strings.Contains(out.String(), `"phase":"done"`) {
				t.Errorf("lines %s, want one of event 2042 that tells the job's phase", out.String())
			}
		})
	}
}

// TestNewSessionIsToldOfRunOfDoneGang guards against room that is never released: a gang ends through one member while the
// runner of another one is cut off and starts again, and the new session of its agent is not told of the run that the worker
// holds, so that nobody reports its end. The next gang never started beside idle workers (review/11). The other cases
// change the session, the worker or the job between the gang's end and that of the run.
func TestNewSessionIsToldOfRunOfDoneGang(t *testing.T) {
	newAgent := func(a *tracker.Attach) { a.AgentProcess = "again" }
	tests := map[string]func(context.Context, *testing.T, *Coordinator) (epoch uint64){
		"the runner starts again": restartRunner,
		"the agent starts again": func(ctx context.Context, t *testing.T, c *Coordinator) uint64 {
			return attachAgain(ctx, t, c, newAgent)
		},
		"both start again, one after the other": func(ctx context.Context, t *testing.T, c *Coordinator) uint64 {
			restartRunner(ctx, t, c)
			return attachAgain(ctx, t, c, newAgent)
		},
		"the worker drains": func(ctx context.Context, t *testing.T, c *Coordinator) uint64 {
			watch(ctx, t, c, &WatchRequest{Worker: "w1", Epoch: 1, Draining: true})
			return attachAgain(ctx, t, c, newAgent)
		},
		"the job is cancelled": func(ctx context.Context, t *testing.T, c *Coordinator) uint64 {
			if _, err := c.propose(ctx, tracker.Command{Cancel: &tracker.Cancel{Job: "gang", At: 1}}); err != nil {
				t.Fatal(err)
			}
			return restartRunner(ctx, t, c)
		},
		"another leader takes over": func(ctx context.Context, t *testing.T, c *Coordinator) uint64 {
			c.starts.reset()
			return restartRunner(ctx, t, c)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			c, ctx, keys := startWithGang(t, modeler.Step{Count: 1, After: []int{0}, Need: modeler.Resources{Accelerators: 2}})
			endGang(ctx, t, c, keys[0])
			epoch := act(ctx, t, c)
			response, err := c.watch(ctx, &WatchRequest{Worker: "w1", Epoch: epoch})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]Assignment{{Run: keys[1], Stop: true, Epoch: 1}}, response.Assignments); diff != "" {
				t.Errorf("assignments (-want +got):\n%s", diff)
			}
		})
	}
}
