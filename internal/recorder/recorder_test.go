package recorder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TestBuildTraceThenReplay records a few applied commands, builds a trace from the recording and replays it.
func TestBuildTraceThenReplay(t *testing.T) {
	var r Recorder
	s := registrar.New()
	now := timekeeper.Millis(1000)
	apply := func(c registrar.Command) {
		now += 500
		c.At = now
		next, e := s.Apply(s.Index+1, c)
		if err := e.Answer.Err(); err != nil {
			t.Fatal(err)
		}
		s = next
		r.Observe(s, c, e)
	}
	apply(registrar.Command{Attach: &registrar.Agent{ID: "w1", Incarnation: "1", Worker: &placer.Worker{ID: "w1", Accelerators: 8, Cores: 8}}})
	apply(registrar.Command{Change: &registrar.Change{BaseRevision: 1, Workspace: &scheduler.Workspace{Name: "ws"}}})
	lines, unsubscribe := r.Subscribe(s)
	spec := scheduler.JobSpec{ID: "ws/j", Workspace: "ws", Repeatable: true, Demand: placer.Demand{Members: 1, Accelerators: 8}}
	apply(registrar.Command{Events: []scheduler.Event{{JobSubmitted: &spec}}})
	report := &scheduler.MemberReport{Job: "ws/j", Attempt: 1, Worker: "w1"}
	apply(registrar.Command{Events: []scheduler.Event{{MemberArmed: report}}})
	apply(registrar.Command{Events: []scheduler.Event{{MemberEnded: report}}})
	apply(registrar.Command{Detach: &registrar.Detach{Agent: "w1", Incarnation: "1"}})
	unsubscribe()
	var recorded []Line
	for range len(lines) {
		recorded = append(recorded, <-lines)
	}
	trace, err := BuildTrace(recorded, "taukvads", 0.7)
	if err != nil {
		t.Fatal(err)
	}
	want := []replayer.Event{{At: 500, Submit: &spec, RunTime: 500}, {At: 2000, LostWorker: "w1"}}
	if diff := cmp.Diff(want, trace.Events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	variant, _ := replayer.FindVariant(replayer.Unchanged)
	result, err := replayer.Run(trace, variant, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := result.Jobs[0].End; got != scheduler.EndFinished {
		t.Errorf("job ended as %v in the replay, want finished", got)
	}
}

// TestSlowSubscriberIsDisconnected checks that the channel of a subscriber that does not read is closed once its buffer
// is full, so that the buffered lines stay bounded.
func TestSlowSubscriberIsDisconnected(t *testing.T) {
	var r Recorder
	lines, _ := r.Subscribe(registrar.New())
	spec := scheduler.JobSpec{ID: "j"}
	for range lineBuffer + 1 {
		r.Observe(registrar.New(), registrar.Command{Events: []scheduler.Event{{JobSubmitted: &spec}}}, registrar.Effect{})
	}
	n := 0
	for range lines {
		n++
	}
	if n != lineBuffer {
		t.Errorf("read %d lines before the channel was closed, want %d", n, lineBuffer)
	}
}
