package tracker

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

var testQueue = modeler.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "app", MaxAttempts: 2}

// history applies commands to a state and checks the package's invariants after each, including those over time.
type history struct {
	fatalf func(format string, args ...any)
	state  State
	index  uint64
	starts map[TaskKey]int // highest attempt seen
	done   map[TaskKey]bool
}

func newHistory(fatalf func(string, ...any)) *history {
	h := &history{fatalf: fatalf, state: New(), starts: map[TaskKey]int{}, done: map[TaskKey]bool{}}
	h.apply(Command{Configure: &modeler.Configuration{
		Version: 1, Services: []string{"app"},
		Queues: []modeler.Queue{testQueue},
	}})
	return h
}

func (h *history) apply(c Command) Answer {
	h.index++
	before := h.state
	var answer Answer
	h.state, answer = before.Apply(h.index, c)
	h.check()
	return answer
}

func (h *history) attach(worker string, incarnation Incarnation, process string) uint64 {
	return h.apply(Command{Attach: &Attach{
		Worker: worker, Incarnation: incarnation, AgentProcess: process,
		Profile: Profile{Service: "app", Labels: []string{"a", "r1"}, Capacity: modeler.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 4}},
	}}).Epoch
}

// check fails the test if an invariant of the package does not hold.
func (h *history) check() {
	runs := map[TaskKey]int{}
	for _, w := range h.state.Workers() {
		if !w.Used().Fits(w.Profile.Capacity) {
			h.fatalf("the runs of worker %s use %+v, more than its capacity", w.Name, w.Used())
		}
		if w.Detached && len(w.Runs) > 0 {
			h.fatalf("worker %s is detached and has runs", w.Name)
		}
		for _, r := range w.Runs {
			runs[r.Key.Task]++
			if runs[r.Key.Task] > 1 {
				h.fatalf("task %v has two runs", r.Key.Task)
			}
			h.checkRun(w, r)
		}
	}
	for key := range h.done {
		if j, ok := h.state.Job(key.Job); ok {
			if t, _ := j.Task(key); t.Phase != TaskDone {
				h.fatalf("task %v was done but is now in phase %v", key, t.Phase)
			}
		}
	}
	h.checkQueues()
	h.state.Jobs(func(j Job) {
		for instance, tasks := range j.Tasks {
			for index, t := range tasks {
				if t.Phase == TaskDone {
					h.done[j.Key(instance, index)] = true
				}
			}
		}
	})
}

// checkQueues fails the test if the queue of an unfinished job is not known.
func (h *history) checkQueues() {
	for _, j := range h.state.UnfinishedJobs() {
		if q, _ := h.state.Queue(j.Queue); q != testQueue {
			h.fatalf("job %s is unfinished and its queue %s is %+v, want %+v", j.ID, j.Queue, q, testQueue)
		}
	}
}

func (h *history) checkRun(w Worker, r Run) {
	j, _ := h.state.Job(r.Key.Task.Job)
	t, known := j.Task(r.Key.Task)
	if !known || !j.IsCurrent(w.Name, r.Key) && !(t.Phase == TaskDone && j.Steps[r.Key.Task.Step].Gang) {
		h.fatalf("worker %s holds run %v, which is neither current nor of a gang that is done", w.Name, r.Key)
	}
	if r.Key.Attempt < h.starts[r.Key.Task] {
		h.fatalf("run %v appeared after attempt %d of its task", r.Key, h.starts[r.Key.Task])
	}
	if r.Key.Attempt > h.starts[r.Key.Task] && h.done[r.Key.Task] {
		h.fatalf("run %v started after its task was done", r.Key)
	}
	h.starts[r.Key.Task] = r.Key.Attempt
}

// TestRandomCommandsKeepInvariants applies random commands, including late, repeated and invalid ones, and restores the
// state from a snapshot now and then.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt.Fatalf)
		for i := range rapid.IntRange(5, 60).Draw(rt, "commands") {
			h.apply(drawCommand(rt, h, i))
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				h.restore()
			}
		}
	})
}

func drawCommand(rt *rapid.T, h *history, i int) Command {
	worker := fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(rt, "worker"))
	w, _ := h.state.Worker(worker)
	epoch := w.Epoch - uint64(rapid.IntRange(0, 4).Draw(rt, "stale")/4)
	run := RunKey{
		Task: TaskKey{
			Job:        modeler.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, 3).Draw(rt, "job"))),
			Occurrence: rapid.IntRange(0, 2).Draw(rt, "occurrence") / 2,
			Step:       rapid.IntRange(0, 1).Draw(rt, "step"), Index: rapid.IntRange(0, 2).Draw(rt, "index"),
		},
		Attempt: rapid.IntRange(1, 4).Draw(rt, "attempt"),
	}
	switch rapid.IntRange(0, 9).Draw(rt, "kind") {
	case 0:
		return Command{Attach: &Attach{
			Worker: worker, Incarnation: Incarnation{ID: worker, StartedAt: int64(rapid.IntRange(1, 3).Draw(rt, "started at"))},
			AgentProcess: fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "process")),
			Profile:      Profile{Service: "app", Capacity: modeler.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 4}},
		}}
	case 1:
		if _, known := h.state.Queue("q"); !known {
			return Command{Prune: &Prune{}} // no job is admitted to an unknown queue
		}
		gang := rapid.Bool().Draw(rt, "gang")
		return Command{Submit: &modeler.Job{ID: run.Task.Job, Queue: "q", Repeat: rapid.IntRange(0, 2).Draw(rt, "repeat"), Steps: []modeler.Step{
			{Count: 2, Need: modeler.Resources{Accelerators: 2}, Gang: gang}, {Count: 1, Need: modeler.Resources{Accelerators: 3}, After: []int{0}},
		}}}
	case 2:
		return Command{Cancel: &Cancel{Job: run.Task.Job}}
	case 3:
		return Command{Detach: &Detach{Worker: worker, Epoch: epoch}}
	case 4:
		return Command{Report: &Report{Worker: worker, Epoch: epoch, Ends: []End{drawEnd(rt, w, run, i)}}}
	case 5:
		return Command{Configure: drawConfiguration(rt, h.state.Configuration.Version+1)}
	case 6:
		return Command{Prune: &Prune{}}
	}
	starts := []Start{{Run: run, Worker: worker, Epoch: epoch}}
	if rapid.Bool().Draw(rt, "both") {
		run.Task.Index = 1 - run.Task.Index%2
		starts = append(starts, Start{Run: run, Worker: worker, Epoch: epoch})
	}
	return Command{Assign: &Assign{Starts: starts, Stops: []RunKey{run}}}
}

// drawConfiguration returns the configuration of newHistory, with or without its queue.
func drawConfiguration(rt *rapid.T, version uint64) *modeler.Configuration {
	c := modeler.Configuration{Version: version, Services: []string{"app"}}
	if rapid.Bool().Draw(rt, "queue kept") {
		c.Queues = []modeler.Queue{testQueue}
	}
	return &c
}

func drawEnd(rt *rapid.T, w Worker, run RunKey, number int) End {
	if len(w.Runs) > 0 && rapid.Bool().Draw(rt, "real") {
		run = rapid.SampledFrom(w.Runs).Draw(rt, "run").Key
	}
	kind := EndKind(rapid.IntRange(int(EndDone), int(EndNeverStarted)).Draw(rt, "end"))
	return End{Number: number, Run: run, Kind: kind, Checkpoint: rapid.SampledFrom([]string{"", "c1"}).Draw(rt, "checkpoint")}
}

// restore replaces the state by one restored from its own snapshot, and checks that this snapshot is the same.
func (h *history) restore() {
	data, err := h.state.encode()
	if err != nil {
		h.fatalf("encode: %v", err)
	}
	m := NewMachine()
	if err := m.Restore(h.index, data); err != nil {
		h.fatalf("restore: %v", err)
	}
	restored, err := m.State().encode()
	if err != nil {
		h.fatalf("encode restored state: %v", err)
	}
	if diff := cmp.Diff(data, restored); diff != "" {
		h.fatalf("restored state differs (-before +after):\n%s", diff)
	}
	h.state = m.State()
}

func submitPair(h *history, gang bool) {
	h.apply(Command{Submit: &modeler.Job{ID: "j", Queue: "q", Steps: []modeler.Step{{Count: 2, Need: modeler.Resources{Accelerators: 2}, Gang: gang}}}})
}

func startPair(attempt int, epoch uint64) Command {
	return Command{Assign: &Assign{Starts: []Start{
		{Run: RunKey{TaskKey{Job: "j", Index: 0}, attempt}, Worker: "w", Epoch: epoch},
		{Run: RunKey{TaskKey{Job: "j", Index: 1}, attempt}, Worker: "w", Epoch: epoch},
	}}}
}

// TestGangStartsAtomically checks that a command with one of a gang's two starts has no effect.
func TestGangStartsAtomically(t *testing.T) {
	h := newHistory(t.Fatalf)
	epoch := h.attach("w", Incarnation{"i", 1}, "p")
	submitPair(h, true)
	c := startPair(1, epoch)
	c.Assign.Starts = c.Assign.Starts[:1]
	h.apply(c)
	if w, _ := h.state.Worker("w"); len(w.Runs) != 0 {
		t.Fatalf("part of a gang was started: %+v", w.Runs)
	}
	h.apply(startPair(1, epoch))
	if w, _ := h.state.Worker("w"); len(w.Runs) != 2 {
		t.Fatalf("the worker has %d runs of the gang, want 2", len(w.Runs))
	}
}

// TestGangIsDoneWithOneMember checks that a job is done when one member of its gang is done, although the other member
// is lost with its worker.
func TestGangIsDoneWithOneMember(t *testing.T) {
	h := newHistory(t.Fatalf)
	epoch := h.attach("w", Incarnation{"i", 1}, "p")
	submitPair(h, true)
	h.apply(startPair(1, epoch))
	h.apply(Command{Report: &Report{Worker: "w", Epoch: epoch, Ends: []End{{Number: 1, Run: RunKey{TaskKey{Job: "j"}, 1}, Kind: EndDone}}}})
	h.apply(Command{Detach: &Detach{Worker: "w", Epoch: epoch}})
	if j, _ := h.state.Job("j"); j.Phase != JobDone {
		t.Fatalf("the job is %v, want done", j.Phase)
	}
}

// TestGangFailureCountsOncePerAttempt checks that an attempt in which both members of a gang fail counts as one of the
// two allowed failures.
func TestGangFailureCountsOncePerAttempt(t *testing.T) {
	h := newHistory(t.Fatalf)
	epoch := h.attach("w", Incarnation{"i", 1}, "p")
	submitPair(h, true)
	fail := func(attempt, number int) {
		h.apply(startPair(attempt, epoch))
		h.apply(Command{Report: &Report{Worker: "w", Epoch: epoch, Ends: []End{
			{Number: number, Run: RunKey{TaskKey{Job: "j", Index: 0}, attempt}, Kind: EndFailed},
			{Number: number + 1, Run: RunKey{TaskKey{Job: "j", Index: 1}, attempt}, Kind: EndFailed},
		}}})
	}
	fail(1, 1)
	if j, _ := h.state.Job("j"); j.Phase == JobFailed {
		t.Fatal("the job failed after one of two attempts")
	}
	fail(2, 3)
	if j, _ := h.state.Job("j"); j.Phase != JobFailed {
		t.Fatalf("the job is %v after two failed attempts, want failed", j.Phase)
	}
}

// TestStaleCommandsHaveNoEffect sends an assignment under an earlier epoch and repeats a submission.
func TestStaleCommandsHaveNoEffect(t *testing.T) {
	h := newHistory(t.Fatalf)
	old := h.attach("w", Incarnation{"i", 1}, "p")
	submitPair(h, false)
	h.attach("w", Incarnation{"i", 1}, "q")
	h.apply(startPair(1, old))
	if w, _ := h.state.Worker("w"); len(w.Runs) != 0 {
		t.Fatalf("runs were assigned under an earlier epoch: %+v", w.Runs)
	}
	before, _ := h.state.Job("j")
	submitPair(h, false)
	after, _ := h.state.Job("j")
	if diff := cmp.Diff(before, after, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("a repeated submission changed the job (-before +after):\n%s", diff)
	}
}

// TestReattachedWorkerKeepsRuns repeats an attachment, then attaches another agent process with another incarnation of
// the runner.
func TestReattachedWorkerKeepsRuns(t *testing.T) {
	h := newHistory(t.Fatalf)
	epoch := h.attach("w", Incarnation{"i", 1}, "p")
	submitPair(h, false)
	h.apply(startPair(1, epoch))
	if repeated := h.attach("w", Incarnation{"i", 1}, "p"); repeated != epoch {
		t.Errorf("a repeated attachment got epoch %d, want %d", repeated, epoch)
	}
	if next := h.attach("w", Incarnation{"i", 2}, "q"); next <= epoch {
		t.Errorf("another incarnation got epoch %d, want one above %d", next, epoch)
	}
	if w, _ := h.state.Worker("w"); len(w.Runs) != 2 {
		t.Errorf("the worker has %d runs before the agent reports any end, want 2", len(w.Runs))
	}
	if answer := h.apply(Command{Attach: &Attach{Worker: "w", Incarnation: Incarnation{"i", 1}, AgentProcess: "p"}}); answer.Code != Stale {
		t.Errorf("attaching an earlier incarnation got code %d, want Stale", answer.Code)
	}
}

// TestOldConfigurationHasNoEffect sends versions out of order, and different content under the current version.
func TestOldConfigurationHasNoEffect(t *testing.T) {
	h := newHistory(t.Fatalf)
	for _, version := range []uint64{5, 3, 5} {
		h.apply(Command{Configure: &modeler.Configuration{Version: version, Source: fmt.Appendf(nil, "sent as %d after index %d", version, h.index)}})
	}
	want := "sent as 5 after index 1"
	if got := string(h.state.Configuration.Source); got != want {
		t.Errorf("the configuration is %q, want %q", got, want)
	}
}

// TestUndecodableCommandIsInvalid applies bytes that do not decode as a command, then a valid command.
func TestUndecodableCommandIsInvalid(t *testing.T) {
	m := NewMachine()
	if answer := m.Apply(1, []byte{0xff}).(Answer); answer.Code != Invalid {
		t.Errorf("got code %d, want %d", answer.Code, Invalid)
	}
	data, err := encoder.Marshal(Command{Submit: &modeler.Job{ID: "j", Steps: []modeler.Step{{Count: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	if answer := m.Apply(2, data).(Answer); answer.Code != Accepted || answer.Index != 2 {
		t.Errorf("got answer %+v, want Accepted at index 2", answer)
	}
}

// TestOldJobsAreDeleted checks that jobs that ended before a given time are deleted, unless a worker still has a run of
// theirs.
func TestOldJobsAreDeleted(t *testing.T) {
	h := newHistory(t.Fatalf)
	epoch := h.attach("w", Incarnation{"i", 1}, "p")
	submitPair(h, false)
	h.apply(startPair(1, epoch))
	h.apply(Command{Cancel: &Cancel{Job: "j", At: 100}})
	h.apply(Command{Prune: &Prune{Before: 200}})
	if _, known := h.state.Job("j"); !known {
		t.Fatal("a job was deleted while its runs were being stopped")
	}
	for i := range 2 {
		h.apply(Command{Report: &Report{Worker: "w", Epoch: epoch, Ends: []End{{Number: i + 1, Run: RunKey{TaskKey{Job: "j", Index: i}, 1}, Kind: EndStopped}}}})
	}
	h.apply(Command{Prune: &Prune{Before: 100}})
	if _, known := h.state.Job("j"); !known {
		t.Fatal("a job that ended at the given time was deleted")
	}
	h.apply(Command{Prune: &Prune{Before: 101}})
	if _, known := h.state.Job("j"); known {
		t.Fatal("a job that ended before the given time was not deleted")
	}
}

// TestConfirmedIncarnationMayHaveEarlierStart guards against a runner that starts again under its id after a step of its
// clock and is ignored for good.
func TestConfirmedIncarnationMayHaveEarlierStart(t *testing.T) {
	h := newHistory(t.Fatalf)
	h.attach("w", Incarnation{"i", 5}, "p")
	earlier := Attach{Worker: "w", Incarnation: Incarnation{"i", 1}, AgentProcess: "p"}
	if answer := h.apply(Command{Attach: &earlier}); answer.Code != Stale {
		t.Errorf("unconfirmed: code %d, want Stale", answer.Code)
	}
	earlier.Confirmed = true
	if answer := h.apply(Command{Attach: &earlier}); answer.Code != Accepted || answer.Epoch != 2 {
		t.Errorf("confirmed: code %d with epoch %d, want Accepted with epoch 2", answer.Code, answer.Epoch)
	}
	w, _ := h.state.Worker("w")
	if diff := cmp.Diff(earlier.Incarnation, w.Incarnation); diff != "" {
		t.Errorf("incarnation (-want +got):\n%s", diff)
	}
}

// TestConfirmedAttachmentRevokesDrain guards against a worker that drains for good after a false deregistration. An
// attachment that is not confirmed may be a late one, and revokes nothing.
func TestConfirmedAttachmentRevokesDrain(t *testing.T) {
	h := newHistory(t.Fatalf)
	epoch := h.attach("w", Incarnation{"i", 1}, "p")
	h.apply(Command{Drain: &Drain{Worker: "w", Epoch: epoch}})
	for _, confirmed := range []bool{false, true} {
		h.apply(Command{Attach: &Attach{Worker: "w", Incarnation: Incarnation{"i", 1}, AgentProcess: "p", Confirmed: confirmed}})
		if w, _ := h.state.Worker("w"); w.Usable() != confirmed {
			t.Errorf("confirmed %v: usable %v", confirmed, w.Usable())
		}
	}
}

// TestAttachCheckRejectsValuesOutOfRange guards against values that an agent passes on from an announcement and that the
// log and every replica would have to hold.
func TestAttachCheckRejectsValuesOutOfRange(t *testing.T) {
	valid := Attach{
		Worker: "w", Incarnation: Incarnation{"i", 1}, AgentProcess: "p",
		Profile: Profile{Service: "s", Zone: "z", Labels: []string{"a", "r"}, Capacity: modeler.Resources{MilliCores: 16000, MemoryMB: 32768, Accelerators: 8}},
	}
	if err := valid.Check(); err != nil {
		t.Errorf("valid: %v", err)
	}
	long := strings.Repeat("x", 5000)
	for name, change := range map[string]func(*Attach){
		"no worker":                func(a *Attach) { a.Worker = "" },
		"no id":                    func(a *Attach) { a.Incarnation.ID = "" },
		"long id":                  func(a *Attach) { a.Incarnation.ID = long },
		"negative start":           func(a *Attach) { a.Incarnation.StartedAt = -1 },
		"start too large":          func(a *Attach) { a.Incarnation.StartedAt = 1 << 62 },
		"long service":             func(a *Attach) { a.Profile.Service = long },
		"long zone":                func(a *Attach) { a.Profile.Zone = long },
		"long label":               func(a *Attach) { a.Profile.Labels = []string{long} },
		"many labels":              func(a *Attach) { a.Profile.Labels = make([]string, 5000) },
		"negative cores":           func(a *Attach) { a.Profile.Capacity.MilliCores = -1 },
		"too many cores":           func(a *Attach) { a.Profile.Capacity.MilliCores = 1 << 60 },
		"negative memory":          func(a *Attach) { a.Profile.Capacity.MemoryMB = -1 },
		"too much memory":          func(a *Attach) { a.Profile.Capacity.MemoryMB = 1 << 60 },
		"too many accelerators":    func(a *Attach) { a.Profile.Capacity.Accelerators = 1 << 60 },
		"negative accelerators":    func(a *Attach) { a.Profile.Capacity.Accelerators = -1 },
		"long name of the process": func(a *Attach) { a.AgentProcess = long },
	} {
		a := valid
		change(&a)
		if a.Check() == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
