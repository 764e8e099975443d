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
// order. Both agents have been told of their runs.
func startWithGang(t *testing.T) (*Coordinator, context.Context, []tracker.RunKey) {
	t.Helper()
	c, ctx := startCoordinator(t)
	c.leases = newLeases(timekeeper.Minute)
	c.term = c.updateTerm(0)
	first := configuration(1, "/q/", "key")
	job := modeler.Job{ID: "gang", Queue: "q", Workspace: "w", Steps: []modeler.Step{{Count: 2, Gang: true, Need: modeler.Resources{Accelerators: 1}, Estimate: 1000}}}
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
	if j, _ := c.machine.State().Job(run.Task.Job); j.Phase != tracker.JobDone {
		t.Fatalf("the gang is %v, want done", j.Phase)
	}
}

// restartRunner attaches w1 for a new incarnation of its runner.
func restartRunner(ctx context.Context, t *testing.T, c *Coordinator) (epoch uint64) {
	t.Helper()
	w, _ := c.machine.State().Worker("w1")
	response, err := c.attach(ctx, &AttachRequest{Attach: tracker.Attach{
		Worker: "w1", Incarnation: tracker.Incarnation{ID: "again", StartedAt: 2}, AgentProcess: w.AgentProcess, Profile: w.Profile,
	}})
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
