package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// room is one worker's room while a plan is made.
type room struct {
	worker  tracker.Worker
	rack    string
	free    modeler.Resources // neither held by a run nor promised in this plan
	soon    modeler.Resources // free, and what is being stopped, less what is promised
	avoid   bool
	suspect bool             // not to be given a task that has failed before
	steps   map[groupKey]int // tasks of a group on the worker, those placed in this plan included; of limited steps alone
	runs    []*placedRun     // that hold room here; those that are being stopped are left out
	endings []ending         // of the runs, the first to end first; nil until asked for
}

// groupKey names a step of one occurrence of a job, by its instance.
type groupKey struct {
	job      modeler.JobID
	instance int
}

// board is the state of a plan in the making; it belongs to one call of Plan. It is filled by one look at every run, and
// answers from what it keeps by worker, gang, service and label, so that a decision costs little more than that look.
type board struct {
	in     Input
	order  []*candidate                 // unfinished jobs in the order in which they are served
	jobs   map[modeler.JobID]*candidate // the same, by id
	rooms  []*room                      // by name of their workers
	byName map[string]*room             // the same
	groups map[groupKey][]*placedRun    // members of gangs that hold room and are not being stopped
	sets   map[setKey]roomSet           // rooms by what a demand asks of their workers
	idle   map[string]int               // by service, accelerators that are free and promised to nobody
	full   map[fullKey]bool             // demands for which no room was free in this plan
	stops  map[tracker.RunKey]bool      // ordered in this plan

	searches int // for places that are not free now
	reserved int // workers kept for waiting batch work in this plan
}

// placedRun is a run with what its stop would cost and free.
type placedRun struct {
	run   tracker.Run
	room  *room
	rank  int
	loss  int               // unsaved work, in thousandths of a core times milliseconds
	left  timekeeper.Millis // how long it still takes, by estimate
	group groupKey
	gang  bool
	fixed bool // must not be stopped
}

func newBoard(in Input) *board {
	workers := in.State.Workers()
	b := &board{
		in: in, order: rank(in),
		rooms: make([]*room, 0, len(workers)), byName: make(map[string]*room, len(workers)),
		groups: map[groupKey][]*placedRun{}, sets: map[setKey]roomSet{}, idle: map[string]int{}, full: map[fullKey]bool{},
		stops: map[tracker.RunKey]bool{},
	}
	b.jobs = make(map[modeler.JobID]*candidate, len(b.order))
	for _, c := range b.order {
		b.jobs[c.job.ID] = c
	}
	for _, w := range workers {
		if w.Usable() && !in.Silent[w.Name] {
			b.addRoom(w)
		}
	}
	return b
}

func (b *board) addRoom(w tracker.Worker) {
	free := w.Free()
	r := &room{worker: w, rack: w.Profile.Rack(), free: free, soon: free, avoid: b.in.Avoid[w.Name], suspect: b.in.Suspect[w.Name]}
	b.rooms = append(b.rooms, r)
	b.byName[w.Name] = r
	b.idle[w.Profile.Service] += max(free.Accelerators, 0)
	r.runs = make([]*placedRun, 0, len(w.Runs))
	for _, run := range w.Runs {
		b.addRun(r, run)
	}
}

func (b *board) addRun(r *room, run tracker.Run) {
	progress := b.in.Progress[run.Key]
	c, open := b.jobs[run.Key.Task.Job]
	if !open {
		if run.Stopping {
			r.soon = r.soon.Plus(run.Need)
		}
		return
	}
	step := &c.job.Steps[run.Key.Task.Step]
	left := remaining(step.Estimate, progress)
	group := groupKey{c.job.ID, c.job.Instance(run.Key.Task)}
	if step.MaxPerWorker > 0 {
		r.count(group)
	}
	if run.Stopping || progress.nearlyDone(left) {
		r.soon = r.soon.Plus(run.Need)
		return
	}
	placed := &placedRun{
		run: run, room: r, rank: c.rank, loss: loss(run, step.Checkpointing, progress) * c.dearness(), left: left, group: group,
		gang: step.Gang, fixed: step.LongRunning,
	}
	if placed.gang {
		b.groups[group] = append(b.groups[group], placed)
	}
	r.runs = append(r.runs, placed)
}

// count notes a task of a group on the room's worker.
func (r *room) count(g groupKey) {
	if r.steps == nil {
		r.steps = map[groupKey]int{}
	}
	r.steps[g]++
}

// loss returns the work that a stop of the run throws away.
func loss(run tracker.Run, saves bool, p Progress) int {
	unsaved := p.Running
	if saves {
		unsaved = min(unsaved, restoreCost)
	}
	times := 1 + int(unsavedPerAttempt*float64(run.Key.Attempt-1))
	return run.Need.Weight() * int(unsaved+stopCost) * times
}

const (
	// restoreCost is the time that a stop and a resumption from a checkpoint take from a run.
	restoreCost timekeeper.Millis = 1000
	// stopCost is the time that any stop takes from a worker.
	stopCost timekeeper.Millis = 400
	// unsavedPerAttempt makes a run that was stopped before dearer to stop again, so that it ends some day.
	unsavedPerAttempt = 1.0
)

// nearlyDone reports whether a run that still takes so long ends by itself about as soon as a stop would end it.
func (p Progress) nearlyDone(left timekeeper.Millis) bool { return p.Percent > 0 && left <= stopCost }

// remaining estimates how long a run still takes.
func remaining(estimate timekeeper.Millis, p Progress) timekeeper.Millis {
	if p.Percent > 0 && p.Running > 0 {
		return p.Running * timekeeper.Millis(100-p.Percent) / timekeeper.Millis(p.Percent)
	}
	return max(estimate-p.Running, 0)
}

// remaining estimates how long a run of an unfinished job still takes.
func (b *board) remaining(key tracker.RunKey) timekeeper.Millis {
	c, ok := b.jobs[key.Task.Job]
	if !ok {
		return 0
	}
	return remaining(c.job.Steps[key.Task.Step].Estimate, b.in.Progress[key])
}

// stop orders the end of a run and of the gang it belongs to.
func (b *board) stop(plan *tracker.Assign, key tracker.RunKey) {
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

func (b *board) stopOne(plan *tracker.Assign, key tracker.RunKey) {
	if b.stops[key] {
		return
	}
	b.stops[key] = true
	plan.Stops = append(plan.Stops, key)
	if stopped := b.placed(key); stopped != nil {
		stopped.room.leave(stopped)
		b.groups[stopped.group] = slices.DeleteFunc(b.groups[stopped.group], func(r *placedRun) bool { return r == stopped })
	}
}

// placed returns a run that holds room and is not being stopped, or nil.
func (b *board) placed(key tracker.RunKey) *placedRun {
	c, ok := b.jobs[key.Task.Job]
	if !ok {
		return nil
	}
	t, _ := c.job.Task(key.Task)
	r, ok := b.byName[t.Worker]
	if !ok {
		return nil
	}
	i := slices.IndexFunc(r.runs, func(p *placedRun) bool { return p.run.Key == key })
	if i < 0 {
		return nil
	}
	return r.runs[i]
}

// leave takes a run out that is being stopped.
func (r *room) leave(stopped *placedRun) {
	r.soon = r.soon.Plus(stopped.run.Need)
	r.runs = slices.DeleteFunc(r.runs, func(p *placedRun) bool { return p == stopped })
	r.endings = nil
}

// take uses up free room.
func (b *board) take(p placement) {
	for _, s := range p {
		b.setFree(s.room, s.room.free.Minus(s.need))
		s.room.soon = s.room.soon.Minus(s.need)
		s.room.count(s.group)
	}
}

// promise keeps room that is free or will be for a demand of a high rank, so that no other takes it meanwhile.
func (b *board) promise(p placement) {
	for _, s := range p {
		s.room.soon = s.room.soon.Minus(s.need)
		b.setFree(s.room, atMost(s.room.free, s.room.soon))
		s.room.count(s.group)
	}
}

// setFree changes what is free in a room, and the idle accelerators of its service with it.
func (b *board) setFree(r *room, free modeler.Resources) {
	b.idle[r.worker.Profile.Service] += max(free.Accelerators, 0) - max(r.free.Accelerators, 0)
	r.free = free
}

func atMost(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
