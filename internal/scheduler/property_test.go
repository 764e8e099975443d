package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	. "github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/verifier"
)

func testWorkers() []placer.Worker {
	workers := make([]placer.Worker, 11)
	for i := range workers {
		workers[i] = placer.Worker{
			ID: fmt.Sprintf("w%02d", i), Region: "riga", Zone: fmt.Sprintf("z%d", i/4), Rack: fmt.Sprintf("r%d", i/3),
			Accelerators: 8, Cores: 64,
		}
	}
	return workers
}

func testWorkspaces() []Workspace {
	gang := func(count, members, accelerators int, within placer.Level) Shape {
		return Shape{Count: count, Demand: placer.Demand{Members: members, Accelerators: accelerators, Within: within}}
	}
	return []Workspace{
		{Name: "planner", Guarantee: []Shape{gang(2, 1, 8, placer.LevelWorker), gang(1, 2, 8, placer.LevelRack)}},
		{Name: "tickets", Guarantee: []Shape{gang(4, 1, 2, placer.LevelWorker)}},
		{Name: "photos", Guarantee: []Shape{gang(1, 3, 8, placer.LevelRack)}},
	}
}

func mustStep(t interface{ Fatalf(string, ...any) }, s State, at timekeeper.Millis, e Event) (State, Output) {
	next, out := s.Step(at, e)
	if out.Err != nil {
		t.Fatalf("step %+v: %v", e, out.Err)
	}
	return next, out
}

func newTestState(t interface{ Fatalf(string, ...any) }, policy Policy) State {
	s := NewState(policy)
	for _, w := range testWorkers() {
		s, _ = mustStep(t, s, 0, Event{WorkerJoined: &w})
	}
	for _, w := range testWorkspaces() {
		s, _ = mustStep(t, s, 0, Event{WorkspaceSet: &w})
	}
	return s
}

// simulation stands in for the agents and the platform. It reports on members in any order.
type simulation struct {
	state State
	now   timekeeper.Millis
	jobs  []string
	down  map[string]bool
	ends  map[string]End
}

func (sim *simulation) step(t *rapid.T, e Event) {
	before := sim.state
	next, out := sim.state.Step(sim.now, e)
	sim.state = next
	if err := verifier.Check(next.Dump()); err != nil {
		t.Fatalf("after %s: %v", describe(e), err)
	}
	for _, d := range out.Decisions {
		sim.checkDecision(t, d)
	}
	checkChangedWorkers(t, before, next, out)
}

func describe(e Event) string {
	switch {
	case e.JobSubmitted != nil:
		return fmt.Sprintf("submit %+v", *e.JobSubmitted)
	case e.MemberEnded != nil:
		return fmt.Sprintf("ended %+v", *e.MemberEnded)
	case e.WorkerLost != nil:
		return fmt.Sprintf("lost %+v", *e.WorkerLost)
	}
	return fmt.Sprintf("%+v", e)
}

func (sim *simulation) checkDecision(t *rapid.T, d Decision) {
	if d.Kind != DecideEnd && d.Kind != DecideRefuse {
		return
	}
	if first, ended := sim.ends[d.Job.Spec.ID]; ended {
		t.Fatalf("job %s ended twice: %v, then %v", d.Job.Spec.ID, first, d.Job.End)
	}
	sim.ends[d.Job.Spec.ID] = d.Job.End
}

// checkChangedWorkers checks that ChangedWorkers names every worker whose members changed, since only their agents are
// notified.
func checkChangedWorkers(t *rapid.T, before, after State, out Output) {
	for _, worker := range testWorkers() {
		if slices.Contains(out.ChangedWorkers, worker.ID) {
			continue
		}
		if diff := cmp.Diff(jobsOn(before, worker.ID), jobsOn(after, worker.ID)); diff != "" {
			t.Fatalf("worker %s changed but is not in ChangedWorkers (-before +after):\n%s", worker.ID, diff)
		}
	}
}

func jobsOn(s State, worker string) map[string]string {
	found := map[string]string{}
	for _, j := range s.JobsOn(worker) {
		found[j.Spec.ID] = fmt.Sprintf("%v/%d/%v", j.Phase, j.Attempt, j.StopCause)
	}
	return found
}

func drawSpec(t *rapid.T, id string) JobSpec {
	return JobSpec{
		ID:        id,
		Workspace: rapid.SampledFrom([]string{"planner", "tickets", "photos"}).Draw(t, "workspace"),
		Class:     Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Demand: placer.Demand{
			Members:      rapid.SampledFrom([]int{1, 1, 1, 2, 3, 24}).Draw(t, "members"),
			Accelerators: rapid.SampledFrom([]int{0, 1, 2, 4, 8, 9}).Draw(t, "accelerators"),
			Cores:        rapid.SampledFrom([]int{1, 4, 16}).Draw(t, "cores"),
			Within:       placer.Level(rapid.IntRange(0, int(placer.LevelCluster)).Draw(t, "within")),
		},
		DeclaredRunTime: timekeeper.Millis(rapid.IntRange(0, 3_600_000).Draw(t, "declared")),
		CanCheckpoint:   rapid.Bool().Draw(t, "checkpoint"),
		Repeatable:      rapid.IntRange(0, 4).Draw(t, "repeatable") > 0,
	}
}

// randomAction advances the time and performs one random action.
func (sim *simulation) randomAction(t *rapid.T) {
	sim.now += timekeeper.Millis(rapid.SampledFrom([]int{0, 1, 500, 20_000, 600_000}).Draw(t, "pause"))
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		id := fmt.Sprintf("j%03d", len(sim.jobs))
		sim.jobs = append(sim.jobs, id)
		spec := drawSpec(t, id)
		sim.step(t, Event{JobSubmitted: &spec})
	case 3, 4, 5, 6:
		sim.randomReport(t)
	case 7:
		sim.step(t, Event{TimePassed: &TimePassed{}})
	case 8:
		sim.randomWorkerEvent(t)
	case 9:
		sim.cancelRandomJobs(t)
	}
}

func (sim *simulation) randomWorkerEvent(t *rapid.T) {
	worker := rapid.SampledFrom(testWorkers()).Draw(t, "worker")
	if sim.down[worker.ID] {
		delete(sim.down, worker.ID)
		sim.step(t, Event{WorkerJoined: &worker})
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "drain") == 0 {
		sim.step(t, Event{WorkerDrained: &WorkerDrained{Worker: worker.ID, Drained: rapid.Bool().Draw(t, "drained"), Evict: rapid.Bool().Draw(t, "evict")}})
		return
	}
	if len(sim.down) < 4 {
		sim.down[worker.ID] = true
		sim.step(t, Event{WorkerLost: &WorkerLost{Worker: worker.ID}})
	}
}

func (sim *simulation) cancelRandomJobs(t *rapid.T) {
	var ids []string
	for _, id := range sim.jobs {
		if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
			ids = append(ids, id)
		}
	}
	sim.step(t, Event{JobsCancelled: &JobsCancelled{Jobs: ids}})
}

// randomReport lets one member send a report, sometimes for an old attempt.
func (sim *simulation) randomReport(t *rapid.T) {
	var reports []Event
	for _, id := range sim.jobs {
		if j, ok := sim.state.Job(id); ok {
			reports = append(reports, sim.reportsOf(t, j)...)
		}
	}
	if len(reports) > 0 {
		sim.step(t, rapid.SampledFrom(reports).Draw(t, "report"))
	}
}

func (sim *simulation) reportsOf(t *rapid.T, j *Job) []Event {
	var reports []Event
	for _, p := range j.Placement {
		r := MemberReport{Job: j.Spec.ID, Attempt: j.Attempt, Worker: p.Worker}
		switch j.Phase {
		case PhaseArming:
			reports = append(reports, Event{MemberArmed: &r}, Event{MemberArmed: &r}, Event{MemberArmed: &r}, Event{MemberRefused: &r})
		case PhaseRunning:
			failed := r
			failed.Outcome = OutcomeFailed
			reports = append(reports, Event{MemberEnded: &r}, Event{MemberEnded: &r}, Event{MemberEnded: &failed})
		case PhaseStopping:
			stopped := r
			stopped.Outcome = OutcomeStopped
			old := stopped
			old.Attempt--
			reports = append(reports, Event{MemberEnded: &stopped}, Event{MemberEnded: &old})
		}
	}
	return reports
}

// runToEnd brings all workers back and runs all jobs to their end, without faults or new jobs.
func (sim *simulation) runToEnd(t *rapid.T) {
	for _, worker := range testWorkers() {
		sim.step(t, Event{WorkerJoined: &worker})
		sim.step(t, Event{WorkerDrained: &WorkerDrained{Worker: worker.ID}})
	}
	for range 400 {
		for sim.advanceAll(t) {
		}
		if sim.allEnded() {
			return
		}
		sim.now += timekeeper.Minute
		sim.step(t, Event{TimePassed: &TimePassed{}})
	}
}

func (sim *simulation) allEnded() bool {
	return !slices.ContainsFunc(sim.jobs, func(id string) bool { return sim.ends[id] == EndNone })
}

// advanceAll advances every placed job by one phase and reports whether there was one.
func (sim *simulation) advanceAll(t *rapid.T) bool {
	busy := false
	for _, id := range sim.jobs {
		if j, _ := sim.state.Job(id); len(j.Placement) > 0 && j.Phase != PhaseWaiting {
			busy = true
			sim.advance(t, j)
		}
	}
	return busy
}

func (sim *simulation) advance(t *rapid.T, j *Job) {
	for _, p := range j.Placement {
		r := MemberReport{Job: j.Spec.ID, Attempt: j.Attempt, Worker: p.Worker}
		switch j.Phase {
		case PhaseArming:
			sim.step(t, Event{MemberArmed: &r})
		case PhaseRunning:
			sim.step(t, Event{MemberEnded: &r})
		case PhaseStopping:
			r.Outcome = OutcomeStopped
			sim.step(t, Event{MemberEnded: &r})
		}
	}
}

// TestInvariantsUnderRandomEvents drives the scheduler through random submissions, reports, losses and cancellations.
// It checks the invariants after every step, that the state survives Dump and Restore, and that every job reaches
// exactly one end.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			state: newTestState(t, DefaultPolicy()), now: 1000,
			down: map[string]bool{}, ends: map[string]End{},
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			sim.randomAction(t)
		}
		restored := Restore(sim.state.Dump())
		if diff := cmp.Diff(sim.state.Dump(), restored.Dump()); diff != "" {
			t.Fatalf("restored state differs (-state +restored):\n%s", diff)
		}
		sim.runToEnd(t)
		for _, id := range sim.jobs {
			if sim.ends[id] == EndNone {
				j, _ := sim.state.Job(id)
				t.Fatalf("job %s never ended: %+v, queue %d", id, *j, sim.state.Queued())
			}
		}
	})
}
