package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// room is one worker's room while a plan is made.
type room struct {
	worker tracker.Worker
	rack   string
	free   modeler.Resources // neither held by a run nor promised in this plan
	soon   modeler.Resources // free, and what is being stopped, less what is promised
	avoid  bool
	steps  map[groupKey]int // tasks of a group on the worker, those placed in this plan included
	runs   []*placedRun     // that hold room here; those that are being stopped are left out
}

// groupKey names a step of one occurrence of a job, by its instance.
type groupKey struct {
	job      modeler.JobID
	instance int
}

// board is the state of a plan in the making; it belongs to one call of Plan.
type board struct {
	in     Input
	order  []candidate                 // unfinished jobs in the order in which they are served
	jobs   map[modeler.JobID]candidate // the same, by id
	rooms  []*room
	runs   map[tracker.RunKey]*placedRun // that hold room and are not being stopped
	groups map[groupKey][]*placedRun     // the same, by group
	full   map[fullKey]bool              // demands for which no room was free in this plan

	searches int // for places that are not free now
	reserved int // workers kept for waiting batch work in this plan
}

// placedRun is a run with what its stop would cost and free.
type placedRun struct {
	run   tracker.Run
	room  *room
	rank  int
	loss  int // unsaved work, in thousandths of a core times milliseconds
	group groupKey
	gang  bool
	fixed bool // must not be stopped
}

func newBoard(in Input) *board {
	b := &board{
		in: in, order: rank(in), jobs: map[modeler.JobID]candidate{},
		runs: map[tracker.RunKey]*placedRun{}, groups: map[groupKey][]*placedRun{}, full: map[fullKey]bool{},
	}
	for _, c := range b.order {
		b.jobs[c.job.ID] = c
	}
	for _, w := range in.State.Workers() {
		if !w.Usable() || in.Silent[w.Name] {
			continue
		}
		r := &room{worker: w, rack: w.Profile.Rack(), free: w.Free(), soon: w.Free(), avoid: in.Avoid[w.Name], steps: map[groupKey]int{}}
		b.rooms = append(b.rooms, r)
		for _, run := range w.Runs {
			b.addRun(r, run)
		}
	}
	return b
}

func (b *board) addRun(r *room, run tracker.Run) {
	key := run.Key.Task
	ending := run.Stopping || b.nearlyDone(run.Key)
	if ending {
		r.soon = r.soon.Plus(run.Need)
	}
	j, ok := b.in.State.Job(key.Job)
	if !ok {
		return
	}
	group := groupKey{key.Job, j.Instance(key)}
	r.steps[group]++
	c, open := b.jobs[key.Job]
	if ending || !open {
		return
	}
	step := j.Steps[key.Step]
	placed := &placedRun{
		run: run, room: r, rank: c.rank, loss: b.loss(run, step), group: group, gang: step.Gang, fixed: step.LongRunning,
	}
	b.runs[run.Key] = placed
	b.groups[group] = append(b.groups[group], placed)
	r.runs = append(r.runs, placed)
}

// loss returns the work that a stop of the run throws away.
func (b *board) loss(run tracker.Run, step modeler.Step) int {
	unsaved := b.in.Progress[run.Key].Running
	if step.Checkpointing {
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

// nearlyDone reports whether a run ends by itself about as soon as a stop would end it.
func (b *board) nearlyDone(key tracker.RunKey) bool {
	return b.in.Progress[key].Percent > 0 && b.remaining(key) <= stopCost
}

// remaining estimates how long a run still takes.
func (b *board) remaining(key tracker.RunKey) timekeeper.Millis {
	c, ok := b.jobs[key.Task.Job]
	if !ok {
		return 0
	}
	p := b.in.Progress[key]
	if p.Percent > 0 && p.Running > 0 {
		return p.Running * timekeeper.Millis(100-p.Percent) / timekeeper.Millis(p.Percent)
	}
	return max(c.job.Steps[key.Task.Step].Estimate-p.Running, 0)
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
	if slices.Contains(plan.Stops, key) {
		return
	}
	plan.Stops = append(plan.Stops, key)
	stopped := b.runs[key]
	if stopped == nil {
		return
	}
	stopped.room.soon = stopped.room.soon.Plus(stopped.run.Need)
	same := func(r *placedRun) bool { return r == stopped }
	stopped.room.runs = slices.DeleteFunc(stopped.room.runs, same)
	b.groups[stopped.group] = slices.DeleteFunc(b.groups[stopped.group], same)
	delete(b.runs, key)
}

// take uses up free room.
func (b *board) take(p placement) {
	for _, s := range p {
		s.room.free = s.room.free.Minus(s.need)
		s.room.soon = s.room.soon.Minus(s.need)
		s.room.steps[s.group]++
	}
}

// promise keeps room that is free or will be for a demand of a high rank, so that no other takes it meanwhile.
func (b *board) promise(p placement) {
	for _, s := range p {
		s.room.soon = s.room.soon.Minus(s.need)
		s.room.free = atMost(s.room.free, s.room.soon)
		s.room.steps[s.group]++
	}
}

func atMost(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
