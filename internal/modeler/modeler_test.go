package modeler

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TestChainCountsWaves computes the chains of jobs on a cluster of 80 accelerators.
func TestChainCountsWaves(t *testing.T) {
	capacity := Resources{MilliCores: 320_000, MemoryMB: 1_000_000, Accelerators: 80}
	step := func(count, accelerators int, gang bool, after ...int) Step {
		return Step{Count: count, Need: Resources{MilliCores: 1000, Accelerators: accelerators}, Estimate: 1000, Gang: gang, After: after}
	}
	tests := []struct {
		name  string
		steps []Step
		want  timekeeper.Millis
	}{
		{"one task", []Step{step(1, 8, false)}, 1000},
		{"a quarter of the capacity", []Step{step(20, 1, false)}, 1000},
		{"slightly more than a quarter", []Step{step(21, 1, false)}, 2000},
		{"a wide step", []Step{step(15, 8, false)}, 8000},
		{"a wide gang runs in one wave", []Step{step(15, 8, true)}, 1000},
		{"independent steps", []Step{step(1, 1, false), step(1, 1, false)}, 1000},
		{"sequential steps", []Step{step(1, 1, false), step(1, 1, false, 0), step(1, 1, false, 1)}, 3000},
		{"a diamond", []Step{step(1, 1, false), step(40, 1, false, 0), step(1, 1, false, 0), step(1, 1, false, 1, 2)}, 4000},
	}
	for _, test := range tests {
		if got := (Job{Steps: test.steps}).CriticalPath(capacity); got != test.want {
			t.Errorf("%s: chain %v, want %v", test.name, got, test.want)
		}
	}
}

// TestStepsInTurnShareTheirAccelerators guards against an urgent job that counts as beyond its guarantee, so that nothing is
// stopped for it, though the steps that run at once need no more than that.
func TestStepsInTurnShareTheirAccelerators(t *testing.T) {
	step := func(accelerators int, after ...int) Step {
		return Step{Count: 2, Need: Resources{Accelerators: accelerators}, After: after}
	}
	tests := []struct {
		name  string
		steps []Step
		want  int
	}{
		{"one step", []Step{step(4)}, 8},
		{"steps in turn", []Step{step(1), step(4, 0), step(3, 1)}, 8},
		{"steps side by side", []Step{step(1), step(4)}, 10},
		{"in turn by way of another one", []Step{step(4), step(1, 0), step(4, 1), step(4, 2)}, 8},
		{"two chains", []Step{step(4), step(1), step(2, 0), step(3, 1)}, 14},
		{"a fork and a join, for which it is too high", []Step{step(1), step(2, 0), step(3, 0), step(4, 1, 2)}, 14},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, Job{Steps: test.steps}.Accelerators()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestInvalidJobsAreRejected checks that the error for an invalid job names the fault.
func TestInvalidJobsAreRejected(t *testing.T) {
	tests := []struct {
		name    string
		job     Job
		wantErr string // substring of the error; empty for a valid job
	}{
		{"valid", Job{Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}}, ""},
		{"no steps", Job{}, "steps"},
		{"no tasks", Job{Steps: []Step{{}}}, "tasks"},
		{"depends on itself", Job{Steps: []Step{{Count: 1, After: []int{0}}}}, "earlier"},
		{"depends on a step that does not exist", Job{Steps: []Step{{Count: 1, After: []int{-1}}}}, "earlier"},
		{"negative amount", Job{Steps: []Step{{Count: 1, Need: Resources{MemoryMB: -1}}}}, "negative"},
		{"too many occurrences", Job{Repeat: maxOccurrences + 1, Steps: []Step{{Count: 1}}}, "times"},
		{"too many tasks in all occurrences", Job{Repeat: 1000, Steps: []Step{{Count: 21}}}, "tasks"},
	}
	for _, test := range tests {
		test.job.ID = "j"
		err := test.job.Check()
		if (err != nil) != (test.wantErr != "") || err != nil && !strings.Contains(err.Error(), test.wantErr) {
			t.Errorf("%s: got error %v, want one that contains %q", test.name, err, test.wantErr)
		}
	}
}

// TestLargestJobsDoNotOverflow computes with the largest amounts and times that a valid job may have.
func TestLargestJobsDoNotOverflow(t *testing.T) {
	large := Step{Count: maxTasks, Need: Resources{MilliCores: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount}, Estimate: maxSpan}
	j := Job{ID: "j", Steps: []Step{large}, StartAt: maxStart, Period: maxSpan, Repeat: 4}
	for range 3 {
		next := large
		next.Count, next.After = 1, []int{len(j.Steps) - 1}
		j.Steps = append(j.Steps, next)
	}
	if err := j.Check(); err != nil {
		t.Fatal(err)
	}
	capacity := large.Need
	if got := (Queue{Stretch: 10, Target: maxSpan}).Objective(j.CriticalPath(capacity)); got < maxSpan {
		t.Errorf("objective %v of a long job, want more than %v", got, timekeeper.Millis(maxSpan))
	}
	if j.Work() != maxWork || j.Accelerators() < maxAmount || j.DueAt(3) != maxStart+3*maxSpan {
		t.Errorf("work %d, accelerators %d, last due %d, want no overflow", j.Work(), j.Accelerators(), j.DueAt(3))
	}
}

// TestRoutesAndKeys looks up queues by host and path, and workspaces by key.
func TestRoutesAndKeys(t *testing.T) {
	c := Configuration{
		Queues:     []Queue{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/"}},
		Workspaces: []Workspace{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
	got := map[string]string{}
	for _, address := range []string{"h /a/x", "h /a/b/x", "g /a/b/x", "h /b/x", "i /a/x"} {
		host, path, _ := strings.Cut(address, " ")
		q, _ := c.Route(host, path)
		got[address] = q.Name
	}
	want := map[string]string{"h /a/x": "short", "h /a/b/x": "long", "g /a/b/x": "other", "h /b/x": "", "i /a/x": ""}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("queues (-want +got):\n%s", diff)
	}
	for key, name := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "k4": "", "": ""} {
		if w, found := c.WorkspaceByKey(key); w.Name != name || found != (name != "") {
			t.Errorf("key %q belongs to %q, want %q", key, w.Name, name)
		}
	}
}
