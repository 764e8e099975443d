package executor

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/planner"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	simCapacity                       = 3 // runs that a runner holds
	simWorkers                        = 3
	simLease        timekeeper.Millis = 2000
	simLeaseMargin  timekeeper.Millis = 300 // more than simMaxLease - simLease
	simWatchTime    timekeeper.Millis = 1000
	simHeartbeat    timekeeper.Millis = 400
	simMaxDelay                       = 3 // ticks that an answer takes at most
	simFailedCall   timekeeper.Millis = 500
	simPollOverrun  timekeeper.Millis = 800
	simMaxLateTicks                   = 40 // ticks after which a late request is carried out at the latest
)

// faultRates holds the probability of each fault, in thousandths. Those of requests apply to each request, the others to
// each worker in each tick.
type faultRates struct {
	lost, unanswered, late, unavailable     int
	runnerRestart, agentRestart, freeze     int
	drain, leaderLoss, stop, cancel, failed int
}

// simulation drives sessions and simulated runners of a few workers with a leader that plans on a real tracker state.
type simulation struct {
	rng     *rand.Rand
	rates   faultRates // all zero once faults have stopped
	fatalf  func(format string, args ...any)
	now     timekeeper.Millis
	state   tracker.State
	index   uint64
	workers []*simWorker
	late    []func() Verdict
	serial  int64 // of incarnations and agent processes
	jobs    int

	leaderlessUntil timekeeper.Millis
	strayedSince    map[tracker.RunKey]timekeeper.Millis // since when a run of the state does not run, or is stopping
	mixedSince      map[string]timekeeper.Millis         // since when some members of a gang wait and others do not
}

func newSimulation(seed uint64, rates faultRates, fatalf func(string, ...any)) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), rates: rates, fatalf: fatalf, state: tracker.New(), now: simTick,
		strayedSince: map[tracker.RunKey]timekeeper.Millis{}, mixedSince: map[string]timekeeper.Millis{},
	}
	sim.apply(tracker.Command{Configure: &modeler.Configuration{
		Version: 1, Services: []string{"app"},
		Queues: []modeler.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "app", Stretch: 2, Target: 1000}},
	}})
	for i := range simWorkers {
		w := &simWorker{sim: sim, name: fmt.Sprintf("w%d", i)}
		w.restartRunner(false)
		w.restartAgent()
		sim.workers = append(sim.workers, w)
	}
	return sim
}

func (sim *simulation) apply(c tracker.Command) tracker.Answer {
	sim.index++
	var answer tracker.Answer
	sim.state, answer = sim.state.Apply(sim.index, c)
	return answer
}

// happens draws whether a fault with the given rate happens now.
func (sim *simulation) happens(rate int) bool { return sim.rng.IntN(1000) < rate }

func (sim *simulation) delay() timekeeper.Millis {
	return timekeeper.Millis(sim.rng.IntN(simMaxDelay+1)) * simTick
}

// drawFate draws what becomes of a request.
func (sim *simulation) drawFate() fate {
	r := sim.rates
	switch {
	case sim.happens(r.lost):
		return fateLost
	case sim.happens(r.unanswered):
		return fateUnanswered
	case sim.happens(r.late):
		return fateLate
	case sim.happens(r.unavailable):
		return fateUnavailable
	}
	return fateDelivered
}

// submit submits a job of a gang or of independent tasks.
func (sim *simulation) submit() {
	sim.jobs++
	step := modeler.Step{Count: 1 + sim.rng.IntN(3), Need: modeler.Resources{Accelerators: 1}, Estimate: simTaskTime, Gang: sim.rng.IntN(2) == 0}
	sim.apply(tracker.Command{Submit: &modeler.Job{ID: modeler.JobID(fmt.Sprintf("j%02d", sim.jobs)), Queue: "q", Steps: []modeler.Step{step}, Submitted: sim.now}})
}

// tick simulates until the next tick.
func (sim *simulation) tick() {
	sim.injectFaults()
	sim.deliverLate()
	if sim.now >= sim.leaderlessUntil {
		sim.lead()
	}
	for _, w := range sim.workers {
		w.step()
	}
	sim.runTasks()
	sim.now += simTick
}

func (sim *simulation) injectFaults() {
	for _, w := range sim.workers {
		w.injectFaults()
	}
	if sim.happens(sim.rates.leaderLoss) {
		sim.leaderlessUntil = sim.now + timekeeper.Millis(sim.rng.IntN(2000))
		for _, w := range sim.workers { // the next leader knows no lease
			w.leaseExpiry = sim.leaderlessUntil + simLease + simLeaseMargin
		}
	}
	for _, j := range sim.state.UnfinishedJobs() {
		if sim.happens(sim.rates.cancel) {
			sim.apply(tracker.Command{Cancel: &tracker.Cancel{Job: j.ID, At: sim.now}})
		}
	}
}

// deliverLate carries out late requests in any order; all of them once faults have stopped.
func (sim *simulation) deliverLate() {
	kept := sim.late[:0]
	for _, execute := range sim.late {
		if sim.rates != (faultRates{}) && sim.rng.IntN(simMaxLateTicks) > 0 {
			kept = append(kept, execute)
			continue
		}
		execute()
	}
	sim.late = kept
}

// lead makes the decisions of the leader: it detaches workers whose leases have expired, and plans.
func (sim *simulation) lead() {
	for _, w := range sim.workers {
		s, _ := sim.state.Worker(w.name)
		if !s.Detached && sim.now > w.leaseExpiry {
			sim.apply(tracker.Command{Detach: &tracker.Detach{Worker: w.name, Epoch: s.Epoch}})
		}
	}
	plan := planner.Plan(planner.Input{State: sim.state, Now: sim.now})
	for _, w := range sim.state.Workers() {
		for _, r := range w.Runs {
			if sim.happens(sim.rates.stop) {
				plan.Stops = append(plan.Stops, r.Key)
			}
		}
	}
	sim.apply(tracker.Command{Assign: &plan})
}

// gangKey identifies one attempt of a gang.
type gangKey struct {
	job     modeler.JobID
	attempt int
}

// runTasks advances the runs on all runners by one tick. A gang works while all its members are present.
func (sim *simulation) runTasks() {
	present := map[gangKey]int{}
	holders := map[tracker.TaskKey]string{}
	for _, w := range sim.workers {
		for _, key := range w.runner.keys() {
			present[gangKey{key.Task.Job, key.Attempt}]++
			if other, twice := holders[key.Task]; twice {
				sim.fatalf("%v: task %v runs on %s and on %s", sim.now, key.Task, other, w.name)
			}
			holders[key.Task] = w.name
		}
	}
	for _, w := range sim.workers {
		w.runner.clock += simTick
		for _, key := range w.runner.keys() {
			j, _ := sim.state.Job(key.Task.Job)
			step := j.Steps[key.Task.Step]
			w.advanceRun(key, step.Gang, present[gangKey{key.Task.Job, key.Attempt}] >= step.Count)
		}
	}
}

// check fails the test if a run has been in the state for longer than limit without running, if a gang has had some
// waiting and some assigned members for that long, or if a session that has received the assignments does not know a run
// that its worker holds.
func (sim *simulation) check(limit timekeeper.Millis) {
	for _, w := range sim.workers {
		w.checkKnownRuns()
	}
	strayed, mixed := map[tracker.RunKey]timekeeper.Millis{}, map[string]timekeeper.Millis{}
	for _, w := range sim.workers {
		s, _ := sim.state.Worker(w.name)
		for _, r := range s.Runs {
			if w.runner.running[r.Key] == nil || r.Stopping {
				strayed[r.Key] = sim.since(sim.strayedSince[r.Key])
				if sim.now-strayed[r.Key] > limit {
					sim.fatalf("%v: run %v is assigned to %s since %v (stopping %v) and does not run", sim.now, r.Key, w.name, strayed[r.Key], r.Stopping)
				}
			}
		}
	}
	for _, j := range sim.state.UnfinishedJobs() {
		if n := j.WaitingTasks(0); j.Steps[0].Gang && n > 0 && n < j.Steps[0].Count {
			mixed[string(j.ID)] = sim.since(sim.mixedSince[string(j.ID)])
			if sim.now-mixed[string(j.ID)] > limit {
				sim.fatalf("%v: since %v, %d members of gang %s wait and others do not: %+v", sim.now, mixed[string(j.ID)], n, j.ID, j.Tasks)
			}
		}
	}
	sim.strayedSince, sim.mixedSince = strayed, mixed
}

// since returns a time that was noted before, or now if there is none.
func (sim *simulation) since(noted timekeeper.Millis) timekeeper.Millis {
	if noted == 0 {
		return sim.now
	}
	return noted
}

// idle reports whether all jobs have ended and no worker has runs.
func (sim *simulation) idle() bool {
	return len(sim.state.UnfinishedJobs()) == 0 &&
		!slices.ContainsFunc(sim.state.Workers(), func(w tracker.Worker) bool { return len(w.Runs) > 0 })
}

// restartRunner replaces the runner by a new incarnation, under the same id or another one.
func (w *simWorker) restartRunner(sameID bool) {
	w.sim.serial++
	id := fmt.Sprintf("%s-%d", w.name, w.sim.serial)
	if sameID {
		id = w.runner.incarnation.ID
	}
	w.runner = newSimRunner(tracker.Incarnation{ID: id, StartedAt: w.sim.serial})
	w.draining = false
}

// restartAgent replaces the agent by a new process, which knows nothing until the runner's next heartbeat.
func (w *simWorker) restartAgent() {
	w.sim.serial++
	dial := func(a Announcement) Runner {
		w.client = &simClient{sim: w.sim, worker: w, incarnation: a.Incarnation}
		return w.client
	}
	w.agent = New(w.name, fmt.Sprint(w.sim.serial), dial, nil, logger.Logger{})
	w.session = nil
}
