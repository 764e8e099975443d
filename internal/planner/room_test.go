package planner

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// roomReading is a reading of "room twice over" for a gang that requires one rack.
type roomReading int

const (
	onAnyWorkers  roomReading = iota // on the workers of all racks together
	inOneRackEach                    // each of the two gangs in a rack
	roomReadings  = 2
)

func (r roomReading) String() string { return [...]string{"any-workers", "one-rack-each"}[r] }

// standing is a time in which a job has nothing running beside room for its next demand twice over.
type standing struct {
	since timekeeper.Millis
	found bool // it has lasted for maxStanding
}

// finding is a standing that lasts for maxStanding, as seen at that time.
type finding struct {
	job     modeler.JobID
	reading roomReading
	step    modeler.Step
	at      timekeeper.Millis
	cause   Cause
	inUse   shares
}

func (f finding) String() string {
	return fmt.Sprintf("%s at %d: %s, %s, %d tasks of %+v (gang %t, one rack %t), in use %+v", f.job, f.at, f.reading, f.cause, f.step.Count,
		f.step.Need, f.step.Gang, f.step.OneRack, f.inUse)
}

// shares are the shares of a service that are in use, in percent.
type shares struct{ cores, memory, accelerators, weight int }

// roomWatch records jobs that stand beside room for their next demand twice over, by what an outsider sees of workers and
// runs, however full the service is.
type roomWatch struct {
	standing [roomReadings]map[modeler.JobID]standing
	found    []finding
	longest  timekeeper.Millis
}

func newRoomWatch() *roomWatch {
	w := &roomWatch{}
	for i := range w.standing {
		w.standing[i] = map[modeler.JobID]standing{}
	}
	return w
}

// watch returns a policy that decides as Decide does, while the watch looks at each state and decision.
func (w *roomWatch) watch(in Input) tracker.Assign {
	d := Decide(in)
	w.look(in, d)
	return d.Assign
}

func (w *roomWatch) look(in Input, d Decision) {
	room := newRoomCounter(in.State)
	for _, j := range in.State.UnfinishedJobs() {
		for r := range roomReadings {
			w.lookAt(in, d, room, j, roomReading(r))
		}
	}
}

func (w *roomWatch) lookAt(in Input, d Decision, room roomCounter, j tracker.Job, r roomReading) {
	known := w.standing[r]
	step, stands := room.standsBeside(j, in.Now, r)
	if !stands {
		delete(known, j.ID)
		return
	}
	s, seen := known[j.ID]
	if !seen {
		s.since = in.Now
	}
	stood := in.Now - s.since
	w.longest = max(w.longest, stood)
	if stood >= maxStanding && !s.found {
		s.found = true
		w.found = append(w.found, finding{job: j.ID, reading: r, step: step, at: in.Now, cause: causeOf(d, j.ID), inUse: sharesInUse(in.State)})
	}
	known[j.ID] = s
}

func causeOf(d Decision, id modeler.JobID) Cause {
	i := slices.IndexFunc(d.Waits, func(w Wait) bool { return w.Job == id })
	if i < 0 {
		return CauseNotExamined
	}
	return d.Waits[i].Cause
}

func sharesInUse(s tracker.State) shares {
	var used, capacity modeler.Resources
	for _, w := range s.Workers() {
		used, capacity = used.Plus(w.Used()), capacity.Plus(w.Profile.Capacity)
	}
	percent := func(a, b int) int { return a * 100 / max(b, 1) }
	return shares{
		cores: percent(used.MilliCores, capacity.MilliCores), memory: percent(used.MemoryMB, capacity.MemoryMB),
		accelerators: percent(used.Accelerators, capacity.Accelerators), weight: percent(used.Weight(), capacity.Weight()),
	}
}

// roomCounter counts how many tasks fit on workers as they are. Needs that were counted are kept.
type roomCounter struct {
	workers []tracker.Worker
	free    []modeler.Resources
	fits    map[modeler.Resources]rackFits
}

// rackFits holds how many tasks of a need fit, by rack.
type rackFits map[string]int

func newRoomCounter(s tracker.State) roomCounter {
	c := roomCounter{workers: s.Workers(), fits: map[modeler.Resources]rackFits{}}
	for _, w := range c.workers {
		c.free = append(c.free, w.Free())
	}
	return c
}

func (c roomCounter) fitsOf(need modeler.Resources) rackFits {
	if fits, known := c.fits[need]; known {
		return fits
	}
	fits := rackFits{}
	for i, w := range c.workers {
		if w.Usable() {
			fits[w.Profile.Rack()] += need.FitCount(c.free[i], 1000)
		}
	}
	c.fits[need] = fits
	return fits
}

// standsBeside returns the first step of a job that is ready and has room twice over, if nothing of the job runs.
func (c roomCounter) standsBeside(j tracker.Job, now timekeeper.Millis, r roomReading) (modeler.Step, bool) {
	for _, tasks := range j.Tasks {
		if slices.ContainsFunc(tasks, func(t tracker.Task) bool { return t.Phase == tracker.TaskAssigned }) {
			return modeler.Step{}, false
		}
	}
	for instance := range j.Tasks {
		due := now >= j.DueAt(j.Occurrence(instance)) && j.InstanceReady(instance) && j.WaitingTasks(instance) > 0
		if step := j.StepOf(instance); due && c.fitsTwice(step, r) {
			return step, true
		}
	}
	return modeler.Step{}, false
}

func (c roomCounter) fitsTwice(step modeler.Step, r roomReading) bool {
	together := 1
	if step.Gang {
		together = step.Count
	}
	tasks, gangs := 0, 0
	for _, n := range c.fitsOf(step.Need) {
		tasks += n
		gangs += n / together
	}
	if step.Gang && step.OneRack && r == inOneRackEach {
		return gangs >= 2
	}
	return tasks >= 2*together
}

var standingDaysFlag = flag.String("standing-days", "dvorak-grown:1:1,taukvads:1.8:0,taukvads-large:1:0",
	"the days on which TestNoJobStandsBesideRoomTwiceOver watches jobs, as site:load:seed, comma-separated")

// drawnDay is a day of a site with the load and the seed that it is drawn with.
type drawnDay struct {
	site site
	load float64
	seed uint64
}

// parseDrawnDay parses a day of the form site:load:seed.
func parseDrawnDay(text string) (drawnDay, error) {
	var d drawnDay
	name, rest, _ := strings.Cut(text, ":")
	if _, err := fmt.Sscanf(rest, "%g:%d", &d.load, &d.seed); err != nil {
		return drawnDay{}, fmt.Errorf("day %q: %w", text, err)
	}
	all := allSites()
	i := slices.IndexFunc(all, func(s site) bool { return s.name == name })
	if i < 0 {
		return drawnDay{}, fmt.Errorf("day %q: no site %q", text, name)
	}
	d.site = all[i]
	return d, nil
}

// TestNoJobStandsBesideRoomTwiceOver guards against reservations and headroom that keep jobs standing on a service that
// is mostly in use by weight, beside room for them.
func TestNoJobStandsBesideRoomTwiceOver(t *testing.T) {
	for text := range strings.SplitSeq(*standingDaysFlag, ",") {
		day, err := parseDrawnDay(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			w := newRoomWatch()
			subs := day.site.day(day.seed, day.load)
			sim := day.site.simulate(t, w.watch, subs, true)
			o := day.site.evaluate(sim, subs)
			t.Logf("%s: %d jobs, score %.3f, urgent %.3f, %d stops, longest %v, found %d", text, len(subs), o.score, o.kinds["urgent"], sim.stopCount, w.longest, len(w.found))
			for _, f := range w.found {
				t.Errorf("stands for %v: %v", maxStanding, f)
			}
		})
	}
}

// standFor returns the input of the next plan, in which a job has stood beside room for a time.
func (sim *simulation) standFor(job modeler.JobID, time timekeeper.Millis) Input {
	in := sim.input()
	in.Standing[job] = time
	return in
}

func workersOf(plan tracker.Assign, job modeler.JobID) []string {
	var workers []string
	for _, s := range plan.Starts {
		if s.Run.Task.Job == job {
			workers = append(workers, s.Worker)
		}
	}
	slices.Sort(workers)
	return workers
}

// TestStandingJobStartsAtLast guards against each thing that keeps a job from room for its demand twice over, for longer
// than StandingLimit, but for firm reservations.
func TestStandingJobStartsAtLast(t *testing.T) {
	oneRack := gang(3, 8, 5000)
	oneRack.OneRack = true
	wide := tasks(5, 8, maxDeferral)
	wide.Gang = true
	tests := []struct {
		name    string
		workers int
		prepare func(sim *simulation)
		change  func(in *Input) // may be nil
		want    int             // tasks that start
	}{
		{"room is reserved on a busy service", 12, func(sim *simulation) {
			occupyAll(sim, 9)
			sim.submit("wide", "plans", "other", 5000, wide)
			sim.submit("standing", "checks", "other", 5000, tasks(3, 8, 5000))
		}, nil, 1},
		{"the reservation is firm, for runs are being stopped", 12, func(sim *simulation) {
			occupyAll(sim, 9)
			sim.submit("wide", "urgent", "guaranteed", 5000, wide)
			sim.apply(tracker.Command{Assign: new(Plan(sim.input()))})
			sim.submit("standing", "checks", "other", 5000, tasks(3, 8, 5000))
		}, nil, 0},
		{"the reservation is for an overdue job", 12, func(sim *simulation) {
			occupyAll(sim, 9)
			sim.submit("wide", "plans", "other", 5000, wide)
			sim.now += maxDeferral + 1
			sim.submit("standing", "checks", "other", 5000, tasks(3, 8, 5000))
		}, nil, 0},
		{"room is headroom", 9, func(sim *simulation) {
			occupyAll(sim, 7)
			sim.submit("standing", "plans", "other", 5000, tasks(3, 8, 5000))
		}, nil, 1},
		{"the task has failed and idle workers are avoided", 4, func(sim *simulation) {
			failOnce(sim, "standing")
			occupyAll(sim, 2)
		}, func(in *Input) { in.Avoided = setOf([]string{"w02", "w03"}) }, 1},
		{"no rack has room for the gang", 9, func(sim *simulation) {
			for _, i := range []int{0, 3, 6} {
				sim.occupyWith(modeler.JobID("running-"+workerName(i)), workerName(i), 8)
			}
			sim.submit("standing", "plans", "other", 5000, oneRack)
		}, nil, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, Plan, test.workers)
			test.prepare(sim)
			for _, stood := range []timekeeper.Millis{StandingLimit - 1, StandingLimit} {
				in := sim.standFor("standing", stood)
				if test.change != nil {
					test.change(&in)
				}
				want := 0
				if stood >= StandingLimit {
					want = test.want
				}
				if got := workersOf(Plan(in), "standing"); len(got) != want {
					t.Errorf("after %v the job starts on %v, want %d tasks", stood, got, want)
				}
			}
		})
	}
}

// occupyAll lets a job of one task run on the whole of each of the first workers.
func occupyAll(sim *simulation, workers int) {
	for i := range workers {
		sim.occupy(modeler.JobID("running-"+workerName(i)), workerName(i))
	}
}

// TestReservationHoldsWhileRoomIsNotTwiceOver guards against jobs that stand and take the last workers from a gang.
func TestReservationHoldsWhileRoomIsNotTwiceOver(t *testing.T) {
	sim := newSimulation(t, Plan, 10)
	occupyAll(sim, 7)
	wide := tasks(4, 8, 5000)
	wide.Gang = true
	sim.submit("wide", "plans", "other", 5000, wide)
	for i := range 3 {
		sim.submit(fmt.Sprintf("standing%d", i), "plans", "other", 5000, tasks(2, 8, 5000))
	}
	in := sim.input()
	for i := range 3 {
		in.Standing[modeler.JobID(fmt.Sprintf("standing%d", i))] = StandingLimit
	}
	if starts := Plan(in).Starts; len(starts) != 2 {
		t.Errorf("%v start, want two that leave a worker for the gang", starts)
	}
}

// TestManyNeedsHideNoRoom guards against a job whose room is not noticed while many jobs with other needs wait before it.
func TestManyNeedsHideNoRoom(t *testing.T) {
	sim := newSimulation(t, Plan, 12)
	occupyAll(sim, 9)
	const needs = 200
	for i := range needs {
		wide := gang(5, 8, 5000)
		wide.OneRack = false
		wide.Need.MilliCores, wide.Need.MemoryMB = 20_000+i, 20_000-i
		sim.submit(fmt.Sprintf("wide%d", i), "plans", "other", 5000, wide)
	}
	sim.submit("standing", "checks", "other", 5000, tasks(3, 8, 5000))
	waits := Decide(sim.input()).Waits
	i := slices.IndexFunc(waits, func(w Wait) bool { return w.Job == "standing" })
	if i < 0 || !waits[i].RoomTwice {
		t.Errorf("the job does not stand beside room: %+v", waits[max(i, 0)])
	}
}

// TestStandingJobsTakeNoRoomOfStops guards against standing jobs that take room for which runs are being stopped, over and
// over, when a stop takes longer than StandingLimit.
func TestStandingJobsTakeNoRoomOfStops(t *testing.T) {
	const slowStop = 2 * StandingLimit
	sim := newSimulation(t, Plan, 4)
	for i := range 3 {
		sim.occupy(modeler.JobID(fmt.Sprintf("batch%d", i)), workerName(i))
	}
	urgent := tasks(3, 8, 5000)
	urgent.Gang = true
	sim.submit("urgent", "urgent", "guaranteed", 5000, urgent)
	for i := range 20 {
		sim.submit(fmt.Sprintf("small%d", i), "checks", "other", 5000, tasks(1, 1, 5000))
	}
	sim.run(2*tick, nil)
	for _, run := range slices.SortedFunc(maps.Keys(sim.stopAt), func(a, b tracker.RunKey) int { return a.Task.Compare(b.Task) })[1:] {
		sim.stopAt[run] = sim.now + slowStop
	}
	sim.run(sim.now+slowStop+2*tick, nil)
	if workers := assignedTo(sim.state, "urgent"); len(workers) != 3 || sim.stopCount != 2 {
		t.Errorf("the gang runs on %v after %d stops, want three workers and two stops", workers, sim.stopCount)
	}
}
