package planner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	tick     timekeeper.Millis = 50
	stopTime timekeeper.Millis = 400 // what a runner takes to stop a run, at most

	restoreTime timekeeper.Millis = 600 // what a run takes to resume from a checkpoint
)

// play drives the tracker with a policy and workers that take the true time of each task.
type play struct {
	t        testing.TB
	policy   func(Input) tracker.Assign
	state    tracker.State
	index    uint64
	now      timekeeper.Millis
	truth    map[modeler.JobID]timekeeper.Millis   // how long each task of a job really takes
	uneven   map[tracker.TaskKey]timekeeper.Millis // likewise of single tasks that differ from the others of their job
	saved    map[tracker.TaskKey]timekeeper.Millis // progress that a task's next run resumes from
	fails    map[tracker.RunKey]timekeeper.Millis  // runs that fail, by the time they take to do so
	begun    map[tracker.RunKey]timekeeper.Millis
	stops    map[tracker.RunKey]timekeeper.Millis // when an ordered stop is carried out
	first    map[modeler.JobID]timekeeper.Millis  // when all tasks of the first step had begun
	done     map[modeler.JobID]timekeeper.Millis
	stopTime timekeeper.Millis
	silent   bool // ends do not tell how long a run took
	orders   int  // stops ordered
	lost     int  // core-milliseconds, in thousandths, of runs that were stopped
}

func newPlay(t testing.TB, policy func(Input) tracker.Assign, workers int) *play {
	p := &play{
		t: t, policy: policy, stopTime: stopTime, state: tracker.New(), truth: map[modeler.JobID]timekeeper.Millis{},
		begun: map[tracker.RunKey]timekeeper.Millis{}, stops: map[tracker.RunKey]timekeeper.Millis{},
		first: map[modeler.JobID]timekeeper.Millis{}, done: map[modeler.JobID]timekeeper.Millis{},
		uneven: map[tracker.TaskKey]timekeeper.Millis{}, saved: map[tracker.TaskKey]timekeeper.Millis{},
		fails: map[tracker.RunKey]timekeeper.Millis{},
	}
	p.apply(tracker.Command{Configure: &modeler.Configuration{
		Version: 1, Services: []string{"app"},
		Queues: []modeler.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Service: "app", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 250},
			{Name: "plans", Host: "h", Prefix: "/p/", Service: "app", Priority: 1, MaxAttempts: 4, Stretch: 3, Target: 1000},
			{Name: "checks", Host: "h", Prefix: "/c/", Service: "app", Priority: 2, MaxAttempts: 2, Stretch: 3, Target: 3000},
		},
		Workspaces: []modeler.Workspace{{Name: "sure", Keys: []string{"k"}, Accelerators: 24}, {Name: "other", Keys: []string{"l"}}},
	}})
	for i := range workers {
		p.attach(i)
	}
	return p
}

func workerName(i int) string { return fmt.Sprintf("w%02d", i) }

// attach adds a worker of 32 cores, 128 GB and 8 accelerators.
func (p *play) attach(i int) {
	p.attachOf(i, 3, modeler.Resources{MilliCores: 32000, MemoryMB: 131072, Accelerators: 8})
}

// attachOf adds a worker with the given capacity; so many share a rack.
func (p *play) attachOf(i, rack int, capacity modeler.Resources) {
	p.apply(tracker.Command{Attach: &tracker.Attach{
		Worker: workerName(i), Life: tracker.Life{ID: workerName(i), Born: int64(p.now) + 1}, Process: fmt.Sprint(p.now),
		Profile: tracker.Profile{
			Service: "app", Labels: []string{string(rune('a' + i%2)), fmt.Sprintf("r%d", i/rack)},
			Capacity: capacity,
		},
	}})
}

func (p *play) apply(c tracker.Command) tracker.Answer {
	p.index++
	var answer tracker.Answer
	p.state, answer = p.state.Apply(p.index, c)
	return answer
}

// submit hands a job in whose tasks take truth each; the declared estimate is as the steps say.
func (p *play) submit(id, queue, workspace string, truth timekeeper.Millis, steps ...modeler.Step) {
	p.truth[modeler.JobID(id)] = truth
	p.apply(tracker.Command{Submit: &modeler.Job{ID: modeler.JobID(id), Queue: queue, Workspace: workspace, Steps: steps, Submitted: p.now}})
}

// run plays until a time; arrive is called before each step.
func (p *play) run(until timekeeper.Millis, arrive func(now timekeeper.Millis)) {
	for ; p.now < until; p.now += tick {
		if arrive != nil {
			arrive(p.now)
		}
		p.finishRuns()
		before := p.state
		plan := p.policy(p.input())
		p.checkPlan(before, plan)
		p.orders += len(plan.Stops)
		p.apply(tracker.Command{Assign: &plan})
		p.noteRuns()
	}
}

func (p *play) input() Input {
	in := Input{State: p.state, Now: p.now, Progress: map[tracker.RunKey]Progress{}}
	for key, at := range p.begun {
		in.Progress[key] = Progress{Running: p.now - at, Percent: int(p.worked(key, at) * 100 / p.whole(key.Task))}
	}
	return in
}

// whole returns how long a task takes without a break.
func (p *play) whole(key tracker.TaskKey) timekeeper.Millis {
	if own, ok := p.uneven[key]; ok {
		return own
	}
	return p.truth[key.Job]
}

// worked returns how much of its task a run has done, what it resumed from included.
func (p *play) worked(key tracker.RunKey, begun timekeeper.Millis) timekeeper.Millis {
	saved := p.saved[key.Task]
	if saved == 0 {
		return p.now - begun
	}
	return saved + max(p.now-begun-restoreTime, 0)
}

func (p *play) finishRuns() {
	for _, w := range p.state.Workers() {
		var ends []tracker.End
		for _, r := range w.Runs {
			if kind := p.ended(r); kind != 0 {
				end := tracker.End{Run: r.Key, Kind: kind}
				if p.saved[r.Key.Task] > 0 {
					end.Checkpoint = "saved"
				}
				if p.saved[r.Key.Task] == 0 && !p.silent {
					end.Took = p.now - p.begun[r.Key]
				}
				ends = append(ends, end)
				delete(p.begun, r.Key)
			}
		}
		if len(ends) > 0 {
			p.apply(tracker.Command{Report: &tracker.Report{Worker: w.Name, Epoch: w.Epoch, Ends: ends, At: p.now}})
		}
	}
	p.state.Jobs(func(j tracker.Job) {
		if _, seen := p.done[j.ID]; !seen && j.Phase == tracker.JobDone {
			p.done[j.ID] = p.now
		}
	})
}

func (p *play) ended(r tracker.Run) tracker.EndKind {
	at, running := p.begun[r.Key]
	if running && p.worked(r.Key, at) >= p.whole(r.Key.Task) {
		return tracker.EndDone
	}
	if after, fails := p.fails[r.Key]; running && fails && p.now-at >= after {
		return tracker.EndFailed
	}
	if !r.Stopping {
		return 0
	}
	if _, ordered := p.stops[r.Key]; !ordered {
		p.stops[r.Key] = p.now + p.stopTime
	}
	if p.now < p.stops[r.Key] {
		return 0
	}
	p.stopped(r, at)
	return tracker.EndStopped
}

// stopped accounts for the work that an ordered stop throws away; a step that saves its work resumes from there.
func (p *play) stopped(r tracker.Run, begun timekeeper.Millis) {
	j, _ := p.state.Job(r.Key.Task.Job)
	if !j.Steps[r.Key.Task.Step].Checkpointing {
		p.lost += r.Need.Weight() * int(p.now-begun)
		return
	}
	p.lost += r.Need.Weight() * int(min(restoreTime, p.now-begun))
	p.saved[r.Key.Task] = p.worked(r.Key, begun)
}

func (p *play) noteRuns() {
	for _, w := range p.state.Workers() {
		if !w.Used().Fits(w.Profile.Capacity) {
			p.t.Fatalf("%s holds %+v of %+v", w.Name, w.Used(), w.Profile.Capacity)
		}
		for _, r := range w.Runs {
			if _, known := p.begun[r.Key]; !known {
				p.begun[r.Key] = p.now
			}
		}
	}
	p.state.Jobs(func(j tracker.Job) {
		waiting := slices.ContainsFunc(j.Tasks[0], func(t tracker.Task) bool { return t.Phase == tracker.TaskWaiting })
		if _, seen := p.first[j.ID]; !seen && !waiting {
			p.first[j.ID] = p.now
		}
	})
}

// checkPlan checks what must hold of every decision, from the state it was made on.
func (p *play) checkPlan(s tracker.State, plan tracker.Assign) {
	p.t.Helper()
	spread := map[groupKey]map[string]int{}
	gangs := map[groupKey]map[int]int{}
	for _, start := range plan.Starts {
		key := start.Run.Task
		j, _ := s.Job(key.Job)
		step := j.Steps[key.Step]
		task, _ := j.Task(key)
		w, _ := s.Worker(start.Worker)
		group := groupKey{key.Job, j.Instance(key)}
		switch {
		case task.Phase != tracker.TaskWaiting || start.Run.Attempt <= task.Attempt:
			p.t.Fatalf("%v is started, its task is %+v", start.Run, task)
		case p.now < j.DueAt(key.Occurrence):
			p.t.Fatalf("%v is started at %v, before its time", start.Run, p.now)
		case !j.Ready(j.Instance(key)):
			p.t.Fatalf("%v is started before the steps that it waits for are done", start.Run)
		case !hasLabel(w, step.Label):
			p.t.Fatalf("%v is started on %s, which lacks label %q", start.Run, w.Name, step.Label)
		}
		if spread[group] == nil {
			spread[group], gangs[group] = map[string]int{}, map[int]int{}
		}
		spread[group][w.Name]++
		gangs[group][start.Run.Attempt]++
		if step.MaxPerWorker > 0 && spread[group][w.Name]+heldOf(w, group) > step.MaxPerWorker {
			p.t.Fatalf("%v is one too many of its step on %s", start.Run, w.Name)
		}
	}
	for group, attempts := range gangs {
		j, _ := s.Job(group.job)
		if step := j.Spec(group.instance); step.Gang && (len(attempts) != 1 || spreadSum(spread[group]) != step.Count) {
			p.t.Fatalf("the gang %v is started with %v of %d members", group, attempts, step.Count)
		}
	}
}

func heldOf(w tracker.Worker, group groupKey) int {
	n := 0
	for _, r := range w.Runs {
		if t := r.Key.Task; t.Job == group.job && t.Occurrence == 0 && t.Step == group.instance {
			n++
		}
	}
	return n
}

func spreadSum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
