package tracker

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// drawOdd draws a small number or one at an end of the range.
func drawOdd(rt *rapid.T, name string) int {
	return rapid.OneOf(rapid.IntRange(-2, 4), rapid.SampledFrom([]int{math.MinInt, math.MaxInt, math.MaxInt - 1, 1 << 40})).Draw(rt, name)
}

func drawOddStep(rt *rapid.T) modeler.Step {
	s := modeler.Step{
		Count: drawOdd(rt, "count"), Need: modeler.Resources{MilliCores: drawOdd(rt, "cores"), Accelerators: drawOdd(rt, "accelerators")},
		Estimate: timekeeper.Millis(drawOdd(rt, "estimate")), Gang: rapid.Bool().Draw(rt, "gang"), LongRunning: rapid.Bool().Draw(rt, "long"),
	}
	for range rapid.IntRange(0, 2).Draw(rt, "dependencies") {
		s.After = append(s.After, drawOdd(rt, "after"))
	}
	return s
}

func drawOddRun(rt *rapid.T) RunKey {
	return RunKey{
		Task:    TaskKey{Job: modeler.JobID(rapid.SampledFrom([]string{"", "j"}).Draw(rt, "job")), Step: drawOdd(rt, "step"), Index: drawOdd(rt, "index"), Occurrence: drawOdd(rt, "occurrence")},
		Attempt: drawOdd(rt, "attempt"),
	}
}

// drawOddCommand draws a command in which any number may be odd.
func drawOddCommand(rt *rapid.T) Command {
	epoch := uint64(drawOdd(rt, "epoch"))
	switch rapid.IntRange(0, 8).Draw(rt, "kind") {
	case 0, 1:
		j := &modeler.Job{ID: "j", Queue: "q", Repeat: drawOdd(rt, "repeat"), Period: timekeeper.Millis(drawOdd(rt, "period"))}
		for range rapid.IntRange(0, 3).Draw(rt, "steps") {
			j.Steps = append(j.Steps, drawOddStep(rt))
		}
		return Command{Submit: j}
	case 2:
		return Command{Attach: &Attach{Worker: "w", Incarnation: Incarnation{StartedAt: int64(drawOdd(rt, "start"))}, Profile: Profile{Capacity: modeler.Resources{MilliCores: drawOdd(rt, "capacity")}}}}
	case 3:
		return Command{Detach: &Detach{Worker: "w", Epoch: epoch, Checkpoints: []Checkpoint{{Run: drawOddRun(rt)}}}}
	case 4, 5:
		end := End{Number: drawOdd(rt, "number"), Run: drawOddRun(rt), Kind: EndKind(drawOdd(rt, "end")), RunTime: timekeeper.Millis(drawOdd(rt, "time")), Checkpoint: "c"}
		return Command{Report: &Report{Worker: "w", Epoch: epoch, Ends: []End{end}}}
	case 6:
		return Command{Prune: &Prune{Before: timekeeper.Millis(drawOdd(rt, "before"))}}
	case 7:
		return Command{Cancel: &Cancel{Job: "j"}}
	}
	a := Assign{Stops: []RunKey{drawOddRun(rt)}}
	for range rapid.IntRange(0, 3).Draw(rt, "starts") {
		a.Starts = append(a.Starts, Start{Run: drawOddRun(rt), Worker: "w", Epoch: epoch})
	}
	return Command{Assign: &a}
}

// TestOddCommandsEndNoReplica applies odd commands; the state must stay usable and restorable.
func TestOddCommandsEndNoReplica(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New()
		for i := range rapid.IntRange(1, 12).Draw(rt, "commands") {
			c := drawOddCommand(rt)
			s, _ = s.Apply(uint64(i+1), c)
			if c.Report != nil {
				_ = c.Report.Ends[0].Kind.String()
			}
		}
		data, err := s.encode()
		if err != nil {
			rt.Fatal(err)
		}
		if err := NewMachine().Restore(1, data); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestDamagedSnapshotIsRefused restores snapshots whose jobs contradict themselves.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	valid := newJob(modeler.Job{ID: "j", Steps: []modeler.Step{{Count: 2}, {Count: 1, After: []int{0}}}})
	tests := map[string]func(*Job){
		"phase":      func(j *Job) { j.Phase = 9 },
		"task phase": func(j *Job) { j.Tasks = [][]Task{{{Phase: 7}, {}}, {{}}} },
		"tasks":      func(j *Job) { j.Tasks = j.Tasks[:1] },
		"count":      func(j *Job) { j.Tasks = [][]Task{{{}}, {{}}} },
		"no steps":   func(j *Job) { j.Steps = nil },
		"dependency": func(j *Job) { j.Steps = []modeler.Step{{Count: 2}, {Count: 1, After: []int{5}}} },
	}
	for name, change := range tests {
		j := valid
		change(&j)
		s := New()
		s.putJob(j)
		data, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		m := NewMachine()
		if err := m.Restore(1, data); err == nil {
			t.Errorf("%s: the snapshot is restored, want an error", name)
		}
	}
}
