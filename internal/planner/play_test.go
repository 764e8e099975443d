package planner

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	tick     timekeeper.Millis = 50
	stopTime timekeeper.Millis = 400 // maximum time that a runner takes to stop a run

	restoreTime timekeeper.Millis = 600 // time that a run takes to resume from a checkpoint
)

// simulation drives the tracker with a policy and simulated workers, on which each task takes its actual duration.
type simulation struct {
	t                  testing.TB
	policy             func(Input) tracker.Assign
	state              tracker.State
	index              uint64
	now                timekeeper.Millis
	jobDuration        map[modeler.JobID]timekeeper.Millis   // actual duration of each task of a job
	taskDuration       map[tracker.TaskKey]timekeeper.Millis // actual duration of single tasks, before jobDuration
	savedWork          map[tracker.TaskKey]timekeeper.Millis // work in the last checkpoint of a task
	failAfter          map[tracker.RunKey]timekeeper.Millis  // time from the start until the run fails
	startedAt          map[tracker.RunKey]timekeeper.Millis
	stopAt             map[tracker.RunKey]timekeeper.Millis // when a stopping run ends
	firstStepStartedAt map[modeler.JobID]timekeeper.Millis  // when all tasks of the first step have started
	doneAt             map[modeler.JobID]timekeeper.Millis
	besideRoomSince    map[modeler.JobID]timekeeper.Millis // when jobs began to stand beside room for their next demand twice over
	stopTime           timekeeper.Millis
	slowdowns          []float64 // how many times as long as drawn tasks take, by worker in turn; nil for once
	omitDurations      bool      // reports leave out how long runs took
	stopCount          int       // number of stops in all plans
	lostWork           int       // of stopped runs, in thousandths of a core times milliseconds
}

func newSimulation(t testing.TB, policy func(Input) tracker.Assign, workers int) *simulation {
	sim := &simulation{
		t: t, policy: policy, stopTime: stopTime, state: tracker.New(), jobDuration: map[modeler.JobID]timekeeper.Millis{},
		startedAt: map[tracker.RunKey]timekeeper.Millis{}, stopAt: map[tracker.RunKey]timekeeper.Millis{},
		firstStepStartedAt: map[modeler.JobID]timekeeper.Millis{}, doneAt: map[modeler.JobID]timekeeper.Millis{},
		taskDuration: map[tracker.TaskKey]timekeeper.Millis{}, savedWork: map[tracker.TaskKey]timekeeper.Millis{},
		failAfter: map[tracker.RunKey]timekeeper.Millis{}, besideRoomSince: map[modeler.JobID]timekeeper.Millis{},
	}
	sim.apply(tracker.Command{Configure: &modeler.Configuration{
		Version: 1, Services: []string{"app"},
		Queues: []modeler.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Service: "app", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 250},
			{Name: "plans", Host: "h", Prefix: "/p/", Service: "app", Priority: 1, MaxAttempts: 4, Stretch: 3, Target: 1000},
			{Name: "checks", Host: "h", Prefix: "/c/", Service: "app", Priority: 2, MaxAttempts: 2, Stretch: 3, Target: 3000},
		},
		Workspaces: []modeler.Workspace{{Name: "guaranteed", Keys: []string{"k"}, Accelerators: 24}, {Name: "other", Keys: []string{"l"}}},
	}})
	for i := range workers {
		sim.attach(i)
	}
	return sim
}

func workerName(i int) string { return fmt.Sprintf("w%02d", i) }

// attach adds a worker of 32 cores, 128 GB and 8 accelerators.
func (sim *simulation) attach(i int) {
	sim.attachOf(i, 3, modeler.Resources{MilliCores: 32000, MemoryMB: 131072, Accelerators: 8})
}

// attachOf adds a worker with the given capacity; rack is the number of workers in a rack.
func (sim *simulation) attachOf(i, rack int, capacity modeler.Resources) {
	sim.apply(tracker.Command{Attach: &tracker.Attach{
		Worker: workerName(i), Incarnation: tracker.Incarnation{ID: workerName(i), StartedAt: int64(sim.now) + 1}, AgentProcess: fmt.Sprint(sim.now),
		Profile: tracker.Profile{
			Service: "app", Labels: []string{string(rune('a' + i%2)), fmt.Sprintf("r%d", i/rack)},
			Capacity: capacity,
		},
	}})
}

func (sim *simulation) apply(c tracker.Command) tracker.Answer {
	sim.index++
	var answer tracker.Answer
	sim.state, answer = sim.state.Apply(sim.index, c)
	return answer
}

// submit submits a job whose tasks take duration each, whatever its steps declare.
func (sim *simulation) submit(id, queue, workspace string, duration timekeeper.Millis, steps ...modeler.Step) {
	sim.jobDuration[modeler.JobID(id)] = duration
	sim.apply(tracker.Command{Submit: &modeler.Job{ID: modeler.JobID(id), Queue: queue, Workspace: workspace, Steps: steps, Submitted: sim.now}})
}

// run simulates until a time. It calls arrive, if not nil, before each plan.
func (sim *simulation) run(until timekeeper.Millis, arrive func(now timekeeper.Millis)) {
	for ; sim.now < until; sim.now += tick {
		if arrive != nil {
			arrive(sim.now)
		}
		sim.finishRuns()
		sim.recordStanding()
		before := sim.state
		plan := sim.policy(sim.input())
		sim.checkPlan(before, plan)
		sim.stopCount += len(plan.Stops)
		sim.apply(tracker.Command{Assign: &plan})
		sim.recordStarts()
	}
}

func (sim *simulation) input() Input {
	in := Input{State: sim.state, Now: sim.now, Progress: map[tracker.RunKey]Progress{}, Standing: map[modeler.JobID]timekeeper.Millis{}}
	for id, since := range sim.besideRoomSince {
		in.Standing[id] = sim.now - since
	}
	for _, w := range sim.state.Workers() {
		for _, r := range w.Runs {
			at := sim.startedAt[r.Key]
			p := Progress{Elapsed: sim.now - at, Percent: 100}
			if !sim.isLongRunning(r.Key) {
				p.Percent = int(sim.workDone(r.Key, at) * 100 / sim.durationOf(r.Key.Task))
			}
			in.Progress[r.Key] = p
		}
	}
	return in
}

// isLongRunning reports whether a run goes on until its job is cancelled.
func (sim *simulation) isLongRunning(key tracker.RunKey) bool {
	j, ok := sim.state.Job(key.Task.Job)
	return ok && j.Steps[key.Task.Step].LongRunning
}

func (sim *simulation) recordStanding() {
	room := newRoomCounter(sim.state)
	for _, j := range sim.state.UnfinishedJobs() {
		if _, stands := room.standsBeside(j, sim.now, onAnyWorkers); !stands {
			delete(sim.besideRoomSince, j.ID)
		} else if _, known := sim.besideRoomSince[j.ID]; !known {
			sim.besideRoomSince[j.ID] = sim.now
		}
	}
}

// durationOf returns how long a task takes if it is not interrupted.
func (sim *simulation) durationOf(key tracker.TaskKey) timekeeper.Millis {
	if own, ok := sim.taskDuration[key]; ok {
		return own
	}
	return sim.jobDuration[key.Job]
}

// workDone returns the completed work of a run, with that of the checkpoint it resumed from.
func (sim *simulation) workDone(key tracker.RunKey, started timekeeper.Millis) timekeeper.Millis {
	slowdown := sim.slowdown(key)
	saved := sim.savedWork[key.Task]
	if saved == 0 {
		return timekeeper.Millis(float64(sim.now-started) / slowdown)
	}
	return saved + timekeeper.Millis(float64(max(sim.now-started-restoreTime, 0))/slowdown)
}

// slowdown returns how many times as long as drawn a run takes. A gang is as slow as its slowest member.
func (sim *simulation) slowdown(key tracker.RunKey) float64 {
	j, ok := sim.state.Job(key.Task.Job)
	if !ok || sim.slowdowns == nil {
		return 1
	}
	if t, _ := j.Task(key.Task); !j.Steps[key.Task.Step].Gang {
		return sim.slowdownOf(t.Worker)
	}
	slowest := 0.0
	for _, t := range j.Tasks[j.Instance(key.Task)] {
		slowest = max(slowest, sim.slowdownOf(t.Worker))
	}
	return slowest
}

// slowdownOf returns how many times as long as drawn tasks take on a worker, or 1 for a run that has lost its worker.
func (sim *simulation) slowdownOf(worker string) float64 {
	var i int
	if n, _ := fmt.Sscanf(worker, "w%d", &i); n == 0 {
		return 1
	}
	return sim.slowdowns[i%len(sim.slowdowns)]
}

// stopTimeOf returns how long a run takes to stop: from a third of the longest time to all of it, by its name.
func (sim *simulation) stopTimeOf(key tracker.RunKey) timekeeper.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key.String())) // never fails
	return sim.stopTime/3 + sim.stopTime*2/3*timekeeper.Millis(h.Sum32()%100)/100
}

func (sim *simulation) finishRuns() {
	for _, w := range sim.state.Workers() {
		var ends []tracker.End
		for _, r := range w.Runs {
			if kind := sim.endKind(r); kind != 0 {
				end := tracker.End{Run: r.Key, Kind: kind}
				if sim.savedWork[r.Key.Task] > 0 {
					end.Checkpoint = "saved"
				}
				if sim.savedWork[r.Key.Task] == 0 && !sim.omitDurations {
					end.RunTime = sim.now - sim.startedAt[r.Key]
				}
				ends = append(ends, end)
				delete(sim.startedAt, r.Key)
			}
		}
		if len(ends) > 0 {
			sim.apply(tracker.Command{Report: &tracker.Report{Worker: w.Name, Epoch: w.Epoch, Ends: ends, At: sim.now}})
		}
	}
	sim.state.Jobs(func(j tracker.Job) {
		if _, seen := sim.doneAt[j.ID]; !seen && j.Phase == tracker.JobDone {
			sim.doneAt[j.ID] = sim.now
		}
	})
}

func (sim *simulation) endKind(r tracker.Run) tracker.EndKind {
	at, running := sim.startedAt[r.Key]
	if running && !sim.isLongRunning(r.Key) && sim.workDone(r.Key, at) >= sim.durationOf(r.Key.Task) {
		return tracker.EndDone
	}
	if after, fails := sim.failAfter[r.Key]; running && fails && sim.now-at >= after {
		return tracker.EndFailed
	}
	if !r.Stopping {
		return 0
	}
	if _, ordered := sim.stopAt[r.Key]; !ordered {
		sim.stopAt[r.Key] = sim.now + sim.stopTimeOf(r.Key)
	}
	if sim.now < sim.stopAt[r.Key] {
		return 0
	}
	sim.recordStop(r, at)
	return tracker.EndStopped
}

// recordStop counts the work that a stop loses, and saves that of a checkpointing step for the next run.
func (sim *simulation) recordStop(r tracker.Run, started timekeeper.Millis) {
	j, _ := sim.state.Job(r.Key.Task.Job)
	if !j.Steps[r.Key.Task.Step].Checkpointing {
		sim.lostWork += r.Need.Weight() * int(sim.now-started)
		return
	}
	sim.lostWork += r.Need.Weight() * int(min(restoreTime, sim.now-started))
	sim.savedWork[r.Key.Task] = sim.workDone(r.Key, started)
}

func (sim *simulation) recordStarts() {
	for _, w := range sim.state.Workers() {
		if !w.Used().Fits(w.Profile.Capacity) {
			sim.t.Fatalf("%s uses %+v of %+v", w.Name, w.Used(), w.Profile.Capacity)
		}
		for _, r := range w.Runs {
			if _, known := sim.startedAt[r.Key]; !known {
				sim.startedAt[r.Key] = sim.now
			}
		}
	}
	sim.state.Jobs(func(j tracker.Job) {
		waiting := slices.ContainsFunc(j.Tasks[0], func(t tracker.Task) bool { return t.Phase == tracker.TaskWaiting })
		if _, seen := sim.firstStepStartedAt[j.ID]; !seen && !waiting {
			sim.firstStepStartedAt[j.ID] = sim.now
		}
	})
}

// checkPlan checks the invariants of a plan against the state that it was made from.
func (sim *simulation) checkPlan(s tracker.State, plan tracker.Assign) {
	sim.t.Helper()
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
			sim.t.Fatalf("%v is started, but its task is %+v", start.Run, task)
		case sim.now < j.DueAt(key.Occurrence):
			sim.t.Fatalf("%v is started at %v, before it is due", start.Run, sim.now)
		case !j.InstanceReady(j.Instance(key)):
			sim.t.Fatalf("%v is started before the steps it depends on are done", start.Run)
		case !w.Profile.HasLabel(step.Label):
			sim.t.Fatalf("%v is started on %s, which lacks label %q", start.Run, w.Name, step.Label)
		}
		if spread[group] == nil {
			spread[group], gangs[group] = map[string]int{}, map[int]int{}
		}
		spread[group][w.Name]++
		gangs[group][start.Run.Attempt]++
		if step.MaxPerWorker > 0 && spread[group][w.Name]+runsOfGroup(w, group) > step.MaxPerWorker {
			sim.t.Fatalf("%v exceeds MaxPerWorker of its step on %s", start.Run, w.Name)
		}
	}
	for group, attempts := range gangs {
		j, _ := s.Job(group.job)
		if step := j.StepOf(group.instance); step.Gang && (len(attempts) != 1 || sum(spread[group]) != step.Count) {
			sim.t.Fatalf("the gang %v is started with %v of %d members", group, attempts, step.Count)
		}
	}
}

func runsOfGroup(w tracker.Worker, group groupKey) int {
	n := 0
	for _, r := range w.Runs {
		if t := r.Key.Task; t.Job == group.job && t.Occurrence == 0 && t.Step == group.instance {
			n++
		}
	}
	return n
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
