package planner

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// Cause is why a plan starts nothing of a job that is ready.
type Cause uint8

// The causes of a wait.
const (
	CauseNotExamined  Cause = iota // the plan has examined maxExamined other demands
	CauseNoRoom                    // the demand fits nowhere now
	CauseReserved                  // it would fit without the plan's reservations
	CauseHeadroom                  // it would fit, but leaves headroom for urgent work
	CauseParallelism               // the step is at its parallelism limit
	CauseStopping                  // runs of the job are being stopped, and no other one runs
	CauseQueueUnknown              // the configuration lacks the job's queue
	CauseAvoided                   // it would fit if avoided and suspect workers were used
	CauseUnresponsive              // it would fit if workers with unresponsive agents were used
)

// Causes returns every cause.
func Causes() []Cause {
	causes := make([]Cause, CauseUnresponsive+1)
	for i := range causes {
		causes[i] = Cause(i)
	}
	return causes
}

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	return [...]string{
		"not-examined", "no-room", "room-reserved", "headroom", "parallelism-limit", "stop-pending", "queue-unknown",
		"workers-avoided", "workers-unresponsive",
	}[c]
}

// HasRoom reports whether the demand would fit on workers as they are, without reservations.
func (c Cause) HasRoom() bool {
	return c == CauseReserved || c == CauseHeadroom || c == CauseAvoided || c == CauseUnresponsive
}

// Wait is a job of which nothing runs although a step is ready, or which lacks a run of a long-running step.
type Wait struct {
	Job       modeler.JobID
	Queue     string
	Workspace string
	Instance  int               // the first instance that waits
	Tasks     int               // tasks that are placed together: all members of a gang, else one
	Need      modeler.Resources // of each task
	RoomTwice bool              // a ready step has room for two such placements on workers as they are, in any racks
	Cause     Cause
	Holder    modeler.JobID // for CauseReserved: the job that most of the reserved room is held for
	Worker    string        // for CauseStopping: a worker of a run that is being stopped
}

// Decision is a plan with the jobs that wait after it.
type Decision struct {
	tracker.Assign
	Waits []Wait // in the order of planning, those with an unknown queue last
}

// Decide returns the plan of Plan, and why jobs that are ready are not started. It does not change in.
func Decide(in Input) Decision {
	b := newPlanBuilder(in)
	var d Decision
	b.stopStalled(&d.Assign)
	b.stopDraining(&d.Assign)
	for _, c := range b.candidates {
		started := len(d.Starts)
		b.waits.earlier = len(b.waits.list)
		for instance := range c.job.Tasks {
			b.planInstance(&d.Assign, c, instance)
		}
		b.settleWait(c, len(d.Starts) > started)
	}
	b.noteUnrouted()
	d.Waits = b.waits.list
	return d
}

// maxExamined bounds the demands for which one plan looks for the room that they lack, and so the time of the plan.
const maxExamined = 64

// waitNotes collects what a plan finds about the jobs that it does not start.
type waitNotes struct {
	unrouted     []tracker.Job          // unfinished jobs whose queue is unknown
	list         []Wait                 // one at most of each candidate
	earlier      int                    // length of list before the current candidate
	examined     int                    // demands examined
	noRoom       map[fitKey]bool        // examined demands that have no room
	reservedIdle map[string]int         // by service, accelerators that only reservations keep from being idle
	unresponsive map[poolKey]workerPool // eligible workers, those with unresponsive agents included
}

// holding is the free resources of a worker that a reservation holds for a job.
type holding struct {
	job  modeler.JobID
	room modeler.Resources
	firm bool // the reservation holds against every other job
}

// noteReservation records the free resources of a worker that a reservation holds for a job. The worker's free resources
// before the reservation are given, and the idle accelerators of its service.
func (b *planBuilder) noteReservation(t taskPlacement, free modeler.Resources, idle int) {
	room := free.Minus(t.worker.free)
	if room == (modeler.Resources{}) {
		return
	}
	if b.waits.reservedIdle == nil {
		b.waits.reservedIdle = map[string]int{}
	}
	service := t.worker.info.Profile.Service
	t.worker.held = append(t.worker.held, holding{job: t.group.job, room: room})
	b.waits.reservedIdle[service] += idle - b.idleAccelerators[service]
}

// unreserved returns the free resources of a worker without the plan's reservations.
func (w *workerState) unreserved() modeler.Resources {
	free := w.free
	for _, h := range w.held {
		free = free.Plus(h.room)
	}
	return free
}

// noteWait records why the current candidate waits for a demand, before resources are reserved for it. A job of which
// something runs does not wait, but for its long-running tasks.
func (b *planBuilder) noteWait(d demand) {
	if d.planned > 0 {
		return
	}
	if len(b.waits.list) > b.waits.earlier {
		noted := &b.waits.list[b.waits.earlier]
		noted.RoomTwice = noted.RoomTwice || b.standsBesideRoom(d)
		return
	}
	if running, _ := b.activity(&d.job); running && !d.step.LongRunning {
		return
	}
	w := newWait(&d.job, d.instance)
	w.RoomTwice = b.standsBesideRoom(d)
	if d.atParallelismLimit() {
		w.Cause = CauseParallelism
	} else {
		w.Cause, w.Holder = b.examine(d)
	}
	b.waits.list = append(b.waits.list, w)
}

func newWait(j *tracker.Job, instance int) Wait {
	w := Wait{Job: j.ID, Queue: j.Queue, Workspace: j.Workspace, Instance: instance, Tasks: 1}
	step := j.StepOf(instance)
	w.Need = step.Need
	if step.Gang {
		w.Tasks = step.Count
	}
	return w
}

// settleWait drops the wait of a candidate that the plan starts, and notes the wait of one all of whose runs are being
// stopped.
func (b *planBuilder) settleWait(c *candidate, started bool) {
	if started {
		b.waits.list = b.waits.list[:b.waits.earlier]
		return
	}
	if len(b.waits.list) > b.waits.earlier {
		return
	}
	running, stopping := b.activity(&c.job)
	if running || stopping.worker == "" {
		return
	}
	w := newWait(&c.job, stopping.instance)
	w.Cause, w.Worker = CauseStopping, stopping.worker
	b.waits.list = append(b.waits.list, w)
}

// noteUnrouted notes the waits of jobs whose queue is unknown.
func (b *planBuilder) noteUnrouted() {
	for _, j := range b.waits.unrouted {
		if running, _ := b.activity(&j); running {
			continue
		}
		if instance := b.readyInstance(j); instance >= 0 {
			w := newWait(&j, instance)
			w.Cause = CauseQueueUnknown
			b.waits.list = append(b.waits.list, w)
		}
	}
}

// readyInstance returns the first instance that is due and ready and has waiting tasks, or -1.
func (b *planBuilder) readyInstance(j tracker.Job) int {
	for instance := range j.Tasks {
		due := b.in.Now >= j.DueAt(j.Occurrence(instance))
		if due && j.WaitingTasks(instance) > 0 && j.InstanceReady(instance) {
			return instance
		}
	}
	return -1
}

// stoppingRun locates a run that is being stopped.
type stoppingRun struct {
	instance int
	worker   string // empty if there is none
}

// activity reports whether a run of a job goes on, and else returns the last of its runs that is being stopped.
func (b *planBuilder) activity(j *tracker.Job) (running bool, stopping stoppingRun) {
	for instance := range j.Tasks {
		for index := range j.Tasks[instance] {
			t := &j.Tasks[instance][index]
			if t.Phase != tracker.TaskAssigned {
				continue
			}
			if !b.isStopping(t.Worker, tracker.RunKey{Task: j.Key(instance, index), Attempt: t.Attempt}) {
				return true, stoppingRun{}
			}
			stopping = stoppingRun{instance, t.Worker}
		}
	}
	return false, stopping
}

func (b *planBuilder) isStopping(worker string, key tracker.RunKey) bool {
	var runs []tracker.Run
	if w, ok := b.workersByName[worker]; ok {
		runs = w.info.Runs
	} else {
		w, _ := b.in.State.Worker(worker)
		runs = w.Runs
	}
	i := slices.IndexFunc(runs, func(r tracker.Run) bool { return r.Key == key })
	return i >= 0 && runs[i].Stopping
}

// examine returns why a demand is not placed, and for CauseReserved the job that holds most of the reserved room.
func (b *planBuilder) examine(d demand) (Cause, modeler.JobID) {
	cause := b.findRoom(d)
	if cause != CauseReserved {
		return cause, ""
	}
	service := d.queue.Service
	if b.mustLeave(d, b.idleAccelerators[service]+b.waits.reservedIdle[service]) {
		return CauseHeadroom, ""
	}
	return CauseReserved, b.largestHolder(b.allEligible(d).workers)
}

// findRoom returns where a demand would fit: CauseReserved if on the free resources of its preferred workers without
// reservations, CauseAvoided or CauseUnresponsive if only with others, and else CauseNoRoom.
func (b *planBuilder) findRoom(d demand) Cause {
	key, cacheable := newFitKey(d)
	if cacheable && b.waits.noRoom[key] {
		return CauseNoRoom
	}
	if b.waits.examined++; b.waits.examined > maxExamined {
		return CauseNotExamined
	}
	switch {
	case hasRoom(d, b.placementDomains(d)):
		return CauseReserved
	case hasRoom(d, d.domainsOf(b.allEligible(d))):
		return CauseAvoided
	case len(b.in.Unresponsive) > 0 && hasRoom(d, d.domainsOf(b.withUnresponsive(d))):
		return CauseUnresponsive
	}
	if cacheable {
		if b.waits.noRoom == nil {
			b.waits.noRoom = map[fitKey]bool{}
		}
		b.waits.noRoom[key] = true
	}
	return CauseNoRoom
}

// hasRoom reports whether one of the domains could hold the whole demand now, without the plan's reservations.
func hasRoom(d demand, domains [][]*workerState) bool {
	return slices.ContainsFunc(domains, func(workers []*workerState) bool { return hasRoomOn(d, len(d.tasks), workers) })
}

// hasRoomOn reports whether workers could hold a number of a demand's tasks now, without the plan's reservations.
func hasRoomOn(d demand, remaining int, workers []*workerState) bool {
	for _, w := range workers {
		n := d.step.Need.FitCount(w.unreserved(), remaining)
		if limit := d.step.MaxPerWorker; limit > 0 {
			n = min(n, max(limit-w.taskCounts[d.group()], 0))
		}
		remaining -= n
		if remaining <= 0 {
			return true
		}
	}
	return false
}

// domainsOf returns the sets of workers of a pool, one of which must hold the whole demand.
func (d demand) domainsOf(p workerPool) [][]*workerState {
	if d.step.Gang && d.step.OneRack {
		return p.racks
	}
	return [][]*workerState{p.workers}
}

// allEligible returns all eligible workers of a demand, avoided and suspect ones included.
func (b *planBuilder) allEligible(d demand) workerPool {
	return b.poolsOf(poolKey{d.queue.Service, d.step.Label}).all()
}

// withUnresponsive returns all eligible workers of a demand, those with unresponsive agents included.
func (b *planBuilder) withUnresponsive(d demand) workerPool {
	key := poolKey{d.queue.Service, d.step.Label}
	if pool, known := b.waits.unresponsive[key]; known {
		return pool
	}
	workers := slices.Clone(b.allEligible(d).workers)
	for name := range b.in.Unresponsive {
		w, known := b.in.State.Worker(name)
		if known && w.Usable() && w.Profile.Service == key.service && w.Profile.HasLabel(key.label) {
			workers = append(workers, &workerState{info: w, rack: w.Profile.Rack(), free: w.Free()})
		}
	}
	if b.waits.unresponsive == nil {
		b.waits.unresponsive = map[poolKey]workerPool{}
	}
	b.waits.unresponsive[key] = newWorkerPool(workers)
	return b.waits.unresponsive[key]
}

// largestHolder returns the job for which most of the free resources of the workers are reserved, by weight.
func (b *planBuilder) largestHolder(workers []*workerState) modeler.JobID {
	held := map[modeler.JobID]int{}
	var largest modeler.JobID
	for _, w := range workers {
		for _, h := range w.held {
			held[h.job] += h.room.Weight()
			if largest == "" || held[h.job] > held[largest] {
				largest = h.job
			}
		}
	}
	return largest
}
