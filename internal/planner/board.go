package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// workerState is the state of one worker while a plan is built.
type workerState struct {
	info            tracker.Worker
	rack            string
	free            modeler.Resources // neither held by a run nor allocated or reserved in this plan
	freeForBackfill modeler.Resources // free for backfill: less only what is reserved firmly
	futureFree      modeler.Resources // free plus what stopping and nearly done runs release, less reservations
	avoided         bool
	suspect         bool              // avoided for tasks that have failed before
	stopping        bool              // a run is being stopped
	taskCounts      map[groupKey]int  // tasks by group, those of this plan included; counts runs only of steps with MaxPerWorker
	runs            []*assignedRun    // runs on the worker, without stopping and nearly done ones
	releases        []release         // expected ends of runs, earliest first; nil until computed
	longRunning     modeler.Resources // held by runs that go on until they are stopped
	unstoppable     modeler.Resources // the part of longRunning that not even a guarantee can have
	held            []holding         // free resources that reservations of this plan hold
}

// groupKey identifies the tasks of one step in one occurrence of a job.
type groupKey struct {
	job      modeler.JobID
	instance int
}

// planBuilder is the state of one call of Plan. It reads every run once and indexes them by worker, gang, service and
// label, so that a plan costs little more than that pass.
type planBuilder struct {
	in               Input
	candidates       []*candidate                    // unfinished jobs in the order of planning
	jobs             map[modeler.JobID]*candidate    // candidates by job
	workers          []*workerState                  // sorted by worker name
	workersByName    map[string]*workerState         // workers by name
	gangs            map[groupKey][]*assignedRun     // runs of gangs, without stopping and nearly done ones
	pools            map[poolKey]poolList            // eligible workers by service and label
	idleAccelerators map[string]int                  // by service, neither in use nor allocated or reserved
	inUse            map[string]int                  // by service, weight of what runs hold or this plan has allocated
	unplaceable      map[fitKey]bool                 // demands that did not fit on free resources in this plan
	backfillFailed   map[fitKey]bool                 // demands that did not fit even when they overtook in this plan
	room             map[roomKey]int                 // tasks that fit on the workers before the plan, by what was counted
	idle             map[poolKey][]modeler.Resources // see idleOf
	lacking          []lackingNeed                   // needs of room that fit less often than wanted
	roomTaken        map[fitKey]bool                 // demands that no longer fit twice over in this plan
	stopped          map[tracker.RunKey]bool         // runs that this plan stops

	searches        int // searches for resources that are not free yet
	reservedWorkers int // workers reserved for waiting batch work in this plan

	waits waitNotes
}

// assignedRun is a run that holds resources, with the cost of stopping it.
type assignedRun struct {
	run      tracker.Run
	worker   *workerState
	rank     int
	stopLoss int // lost work, in thousandths of a core times milliseconds
	back     roomReturn
	group    groupKey
	gang     bool
}

func newPlanBuilder(in Input) *planBuilder {
	workers := in.State.Workers()
	b := &planBuilder{
		in:      in,
		workers: make([]*workerState, 0, len(workers)), workersByName: make(map[string]*workerState, len(workers)),
		gangs: map[groupKey][]*assignedRun{}, pools: map[poolKey]poolList{}, idleAccelerators: map[string]int{},
		inUse: map[string]int{}, unplaceable: map[fitKey]bool{}, backfillFailed: map[fitKey]bool{}, room: map[roomKey]int{}, idle: map[poolKey][]modeler.Resources{}, roomTaken: map[fitKey]bool{}, stopped: map[tracker.RunKey]bool{},
	}
	b.candidates, b.waits.unrouted = rankJobs(in)
	b.jobs = make(map[modeler.JobID]*candidate, len(b.candidates))
	for _, c := range b.candidates {
		b.jobs[c.job.ID] = c
	}
	for _, w := range workers {
		if w.Detached {
			continue
		}
		used := w.Used()
		b.inUse[w.Profile.Service] += used.Weight()
		if w.Usable() && !in.Unresponsive[w.Name] {
			b.addWorker(w, w.Profile.Capacity.Minus(used))
		}
	}
	return b
}

func (b *planBuilder) addWorker(worker tracker.Worker, free modeler.Resources) {
	w := &workerState{
		info: worker, rack: worker.Profile.Rack(), free: free, freeForBackfill: free, futureFree: free,
		avoided: b.in.Avoided[worker.Name], suspect: b.in.Suspect[worker.Name],
	}
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
	c, ranked := b.jobs[run.Key.Task.Job]
	if !ranked {
		if run.Stopping || !b.in.State.IsCurrent(w.info.Name, run.Key) {
			w.futureFree, w.stopping = w.futureFree.Plus(run.Need), true
		}
		return
	}
	step := &c.job.Steps[run.Key.Task.Step]
	back := newRoomReturn(step, progress)
	group := groupKey{c.job.ID, c.job.Instance(run.Key.Task)}
	if step.MaxPerWorker > 0 {
		w.addTask(group)
	}
	// The run of a gang that is done through another member ends as soon as one that is being stopped, and no plan can stop it.
	ending := run.Stopping || step.Gang && !c.job.IsCurrent(w.info.Name, run.Key)
	if ending || progress.Percent > 0 && back.within(stopCost) {
		w.futureFree = w.futureFree.Plus(run.Need)
		w.stopping = w.stopping || ending
		return
	}
	placed := &assignedRun{
		run: run, worker: w, rank: c.rank, stopLoss: stopLoss(run, step.Checkpointing, progress) * c.lossWeight(),
		back: back, group: group, gang: step.Gang,
	}
	w.countLongRunning(placed, step)
	if placed.gang {
		b.gangs[group] = append(b.gangs[group], placed)
	}
	w.runs = append(w.runs, placed)
}

// addTask counts a task of a group on the worker.
func (w *workerState) addTask(g groupKey) {
	if w.taskCounts == nil {
		w.taskCounts = map[groupKey]int{}
	}
	w.taskCounts[g]++
}

// stopLoss returns the work that is lost if the run is stopped, in thousandths of a core times milliseconds.
func stopLoss(run tracker.Run, checkpointing bool, p Progress) int {
	unsaved := p.Elapsed
	if checkpointing {
		unsaved = min(unsaved, restoreCost)
	}
	factor := 1 + int(lossGrowthPerAttempt*float64(run.Key.Attempt-1))
	return run.Need.Weight() * int(unsaved+stopCost) * factor
}

const (
	// restoreCost is the run time that is lost by stopping a run and resuming it from a checkpoint.
	restoreCost timekeeper.Millis = 1000
	// stopCost is the time that a worker loses with any stop.
	stopCost timekeeper.Millis = 400
	// lossGrowthPerAttempt raises the cost of a stop with each attempt, so that repeated preemption does not starve a
	// task.
	lossGrowthPerAttempt = 1.0
)

// stop adds a run to the plan's stops, with all runs of its gang.
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

// findRun returns a run that is neither stopping nor nearly done, or nil.
func (b *planBuilder) findRun(key tracker.RunKey) *assignedRun {
	c, ok := b.jobs[key.Task.Job]
	if !ok {
		return nil
	}
	t, _ := c.job.Task(key.Task)
	w, ok := b.workersByName[t.Worker]
	if !ok {
		return nil
	}
	i := slices.IndexFunc(w.runs, func(p *assignedRun) bool { return p.run.Key == key })
	if i < 0 {
		return nil
	}
	return w.runs[i]
}

// markStopping removes a run from w.runs and counts its resources as free in future.
func (w *workerState) markStopping(stopped *assignedRun) {
	w.futureFree, w.stopping = w.futureFree.Plus(stopped.run.Need), true
	w.runs = slices.DeleteFunc(w.runs, func(p *assignedRun) bool { return p == stopped })
	w.releases = nil
}

// allocate takes free resources for tasks that start now.
func (b *planBuilder) allocate(p placement) {
	for _, t := range p {
		b.setFree(t.worker, t.worker.free.Minus(t.need))
		b.inUse[t.worker.info.Profile.Service] += t.need.Weight()
		t.worker.freeForBackfill = t.worker.freeForBackfill.Minus(t.need)
		t.worker.futureFree = t.worker.futureFree.Minus(t.need)
		t.worker.addTask(t.group)
	}
}

// reserve takes free or future resources for waiting tasks, so that no demand planned later uses them unless it may
// backfill.
func (b *planBuilder) reserve(p placement) {
	for _, t := range p {
		t.worker.futureFree = t.worker.futureFree.Minus(t.need)
		free, idle := t.worker.free, b.idleAccelerators[t.worker.info.Profile.Service]
		b.setFree(t.worker, minResources(free, t.worker.futureFree))
		b.noteReservation(t, free, idle)
		t.worker.addTask(t.group)
	}
}

// reserveFirmly reserves resources that no demand planned later may use.
func (b *planBuilder) reserveFirmly(p placement) {
	b.reserve(p)
	for _, t := range p {
		t.worker.freeForBackfill = minResources(t.worker.freeForBackfill, t.worker.free)
		for i := range t.worker.held {
			h := &t.worker.held[i]
			h.firm = h.firm || h.job == t.group.job
		}
	}
}

// reserveReleased reserves resources that are being released. The reservation is firm if a run is being stopped on one of
// the workers, which takes no longer than a stop; runs that are nearly done may take longer than they are expected to.
func (b *planBuilder) reserveReleased(p placement) {
	if slices.ContainsFunc(p, func(t taskPlacement) bool { return t.worker.stopping }) {
		b.reserveFirmly(p)
		return
	}
	b.reserve(p)
}

// setFree sets the free resources of a worker and updates the idle accelerators of its service.
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
