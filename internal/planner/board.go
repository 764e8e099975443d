package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// workerState is one worker's workerState while a plan is made.
type workerState struct {
	info       tracker.Worker
	rack       string
	free       modeler.Resources // neither held by a run nor promised in this plan
	futureFree modeler.Resources // free, and what is being stopped, less what is promised
	avoid      bool
	suspect    bool             // not to be given a task that has failed before
	taskCounts map[groupKey]int // tasks of a group on the worker, those placed in this plan included; of limited steps alone
	runs       []*assignedRun   // that hold room here; those that are being stopped are left out
	releases   []release        // of the runs, the first to end first; nil until asked for
}

// groupKey names a step of one occurrence of a job, by its instance.
type groupKey struct {
	job      modeler.JobID
	instance int
}

// planBuilder is the state of a plan in the making; it belongs to one call of Plan. It is filled by one look at every run, and
// answers from what it keeps by worker, gang, service and label, so that a decision costs little more than that look.
type planBuilder struct {
	in               Input
	candidates       []*candidate                 // unfinished jobs in the order in which they are served
	jobs             map[modeler.JobID]*candidate // the same, by id
	workers          []*workerState               // by name of their workers
	workersByName    map[string]*workerState      // the same
	gangs            map[groupKey][]*assignedRun  // members of gangs that hold room and are not being stopped
	pools            map[poolKey]poolList         // rooms by what a demand asks of their workers
	idleAccelerators map[string]int               // by service, accelerators that are free and promised to nobody
	unplaceable      map[fitKey]bool              // demands for which no room was free in this plan
	stopped          map[tracker.RunKey]bool      // ordered in this plan

	searches        int // for places that are not free now
	reservedWorkers int // workers kept for waiting batch work in this plan
}

// assignedRun is a run with what its stop would cost and free.
type assignedRun struct {
	run            tracker.Run
	worker         *workerState
	rank           int
	stopLoss       int               // unsaved work, in thousandths of a core times milliseconds
	remaining      timekeeper.Millis // how long it still takes, by estimate
	group          groupKey
	gang           bool
	nonPreemptible bool // must not be stopped
}

func newPlanBuilder(in Input) *planBuilder {
	workers := in.State.Workers()
	b := &planBuilder{
		in: in, candidates: rankJobs(in),
		workers: make([]*workerState, 0, len(workers)), workersByName: make(map[string]*workerState, len(workers)),
		gangs: map[groupKey][]*assignedRun{}, pools: map[poolKey]poolList{}, idleAccelerators: map[string]int{}, unplaceable: map[fitKey]bool{},
		stopped: map[tracker.RunKey]bool{},
	}
	b.jobs = make(map[modeler.JobID]*candidate, len(b.candidates))
	for _, c := range b.candidates {
		b.jobs[c.job.ID] = c
	}
	for _, w := range workers {
		if w.Usable() && !in.Silent[w.Name] {
			b.addWorker(w)
		}
	}
	return b
}

func (b *planBuilder) addWorker(worker tracker.Worker) {
	free := worker.Free()
	w := &workerState{info: worker, rack: worker.Profile.Rack(), free: free, futureFree: free, avoid: b.in.Avoid[worker.Name], suspect: b.in.Suspect[worker.Name]}
	b.workers = append(b.workers, w)
	b.workersByName[worker.Name] = w
	b.idleAccelerators[worker.Profile.Service] += max(free.Accelerators, 0)
	w.runs = make([]*assignedRun, 0, len(worker.Runs))
	for _, run := range worker.Runs {
		b.addRun(w, run)
	}
}

func (b *planBuilder) addRun(w *workerState, run tracker.Run) {
	progress := b.in.Progress[run.Key]
	c, open := b.jobs[run.Key.Task.Job]
	if !open {
		if run.Stopping {
			w.futureFree = w.futureFree.Plus(run.Need)
		}
		return
	}
	step := &c.job.Steps[run.Key.Task.Step]
	remaining := estimateRemaining(step.Estimate, progress)
	group := groupKey{c.job.ID, c.job.Instance(run.Key.Task)}
	if step.MaxPerWorker > 0 {
		w.addTask(group)
	}
	if run.Stopping || progress.nearlyDone(remaining) {
		w.futureFree = w.futureFree.Plus(run.Need)
		return
	}
	placed := &assignedRun{
		run: run, worker: w, rank: c.rank, stopLoss: stopLoss(run, step.Checkpointing, progress) * c.lossWeight(), remaining: remaining, group: group,
		gang: step.Gang, nonPreemptible: step.LongRunning,
	}
	if placed.gang {
		b.gangs[group] = append(b.gangs[group], placed)
	}
	w.runs = append(w.runs, placed)
}

// addTask notes a task of a group on the room's worker.
func (w *workerState) addTask(g groupKey) {
	if w.taskCounts == nil {
		w.taskCounts = map[groupKey]int{}
	}
	w.taskCounts[g]++
}

// stopLoss returns the work that a stop of the run throws away.
func stopLoss(run tracker.Run, checkpointing bool, p Progress) int {
	unsaved := p.Running
	if checkpointing {
		unsaved = min(unsaved, restoreCost)
	}
	factor := 1 + int(lossGrowthPerAttempt*float64(run.Key.Attempt-1))
	return run.Need.Weight() * int(unsaved+stopCost) * factor
}

const (
	// restoreCost is the time that a stop and a resumption from a checkpoint take from a run.
	restoreCost timekeeper.Millis = 1000
	// stopCost is the time that any stop takes from a worker.
	stopCost timekeeper.Millis = 400
	// lossGrowthPerAttempt makes a run that was stopped before dearer to stop again, so that it ends some day.
	lossGrowthPerAttempt = 1.0
)

// nearlyDone reports whether a run that still takes so long ends by itself about as soon as a stop would end it.
func (p Progress) nearlyDone(remaining timekeeper.Millis) bool {
	return p.Percent > 0 && remaining <= stopCost
}

// estimateRemaining estimates how long a run still takes.
func estimateRemaining(estimate timekeeper.Millis, p Progress) timekeeper.Millis {
	if p.Percent > 0 && p.Running > 0 {
		return p.Running * timekeeper.Millis(100-p.Percent) / timekeeper.Millis(p.Percent)
	}
	return max(estimate-p.Running, 0)
}

// remainingTime estimates how long a run of an unfinished job still takes.
func (b *planBuilder) remainingTime(key tracker.RunKey) timekeeper.Millis {
	c, ok := b.jobs[key.Task.Job]
	if !ok {
		return 0
	}
	return estimateRemaining(c.job.Steps[key.Task.Step].Estimate, b.in.Progress[key])
}

// stop orders the end of a run and of the gang it belongs to.
func (b *planBuilder) stop(plan *tracker.Assign, key tracker.RunKey) {
	j, ok := b.in.State.Job(key.Task.Job)
	if !ok {
		return
	}
	if !j.Steps[key.Task.Step].Gang {
		b.stopOne(plan, key)
		return
	}
	instance := j.Instance(key.Task)
	for index, t := range j.Tasks[instance] {
		if t.Phase == tracker.TaskAssigned {
			b.stopOne(plan, tracker.RunKey{Task: j.Key(instance, index), Attempt: t.Attempt})
		}
	}
}

func (b *planBuilder) stopOne(plan *tracker.Assign, key tracker.RunKey) {
	if b.stopped[key] {
		return
	}
	b.stopped[key] = true
	plan.Stops = append(plan.Stops, key)
	if stopped := b.findRun(key); stopped != nil {
		stopped.worker.markStopping(stopped)
		b.gangs[stopped.group] = slices.DeleteFunc(b.gangs[stopped.group], func(r *assignedRun) bool { return r == stopped })
	}
}

// findRun returns a run that holds room and is not being stopped, or nil.
func (b *planBuilder) findRun(key tracker.RunKey) *assignedRun {
	c, ok := b.jobs[key.Task.Job]
	if !ok {
		return nil
	}
	t, _ := c.job.Task(key.Task)
	r, ok := b.workersByName[t.Worker]
	if !ok {
		return nil
	}
	i := slices.IndexFunc(r.runs, func(p *assignedRun) bool { return p.run.Key == key })
	if i < 0 {
		return nil
	}
	return r.runs[i]
}

// markStopping takes a run out that is being stopped.
func (w *workerState) markStopping(stopped *assignedRun) {
	w.futureFree = w.futureFree.Plus(stopped.run.Need)
	w.runs = slices.DeleteFunc(w.runs, func(p *assignedRun) bool { return p == stopped })
	w.releases = nil
}

// allocate uses up free room.
func (b *planBuilder) allocate(p placement) {
	for _, s := range p {
		b.setFree(s.worker, s.worker.free.Minus(s.need))
		s.worker.futureFree = s.worker.futureFree.Minus(s.need)
		s.worker.addTask(s.group)
	}
}

// reserve keeps room that is free or will be for a demand of a high rank, so that no other takes it meanwhile.
func (b *planBuilder) reserve(p placement) {
	for _, s := range p {
		s.worker.futureFree = s.worker.futureFree.Minus(s.need)
		b.setFree(s.worker, minResources(s.worker.free, s.worker.futureFree))
		s.worker.addTask(s.group)
	}
}

// setFree changes what is free in a room, and the idle accelerators of its service with it.
func (b *planBuilder) setFree(w *workerState, free modeler.Resources) {
	b.idleAccelerators[w.info.Profile.Service] += max(free.Accelerators, 0) - max(w.free.Accelerators, 0)
	w.free = free
}

func minResources(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
