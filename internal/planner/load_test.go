package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// firstComeFirstServed is the baseline policy that Plan is compared with. It starts jobs in the order of submission
// wherever they fit, and never preempts.
func firstComeFirstServed(in Input) tracker.Assign {
	b := newPlanBuilder(in)
	var plan tracker.Assign
	list := slices.Clone(b.candidates)
	for range list {
		first := 0
		for i, c := range list {
			if c.job.Submitted < list[first].job.Submitted {
				first = i
			}
		}
		c := list[first]
		list = append(list[:first:first], list[first+1:]...)
		c.rank = rankExpired // never preempts
		for instance := range c.job.Tasks {
			b.planInstance(&plan, c, instance)
		}
	}
	return plan
}

// simulateHeavyDay submits 1.7 times the work that 88 accelerators can do in 34 s: urgent gangs and wide steps, plans
// and checks, with estimates that are off by up to half.
func simulateHeavyDay(sim *simulation, seed uint64) {
	const day = 34_000
	rng := rand.New(rand.NewPCG(seed, 0))
	n := 0
	sim.run(day+14_000, func(now timekeeper.Millis) {
		if now >= day || rng.IntN(7) > 0 {
			return
		}
		n++
		id := fmt.Sprintf("j%03d", n)
		accelerators := []int{1, 2, 4, 8, 8}[rng.IntN(5)]
		workspace := []string{"guaranteed", "other"}[rng.IntN(2)]
		estimate := func(duration timekeeper.Millis) timekeeper.Millis {
			return duration * timekeeper.Millis(50+rng.IntN(100)) / 100
		}
		switch kind := rng.IntN(10); {
		case kind < 5:
			duration := timekeeper.Millis(1000 + rng.IntN(3000))
			step := tasks(1+rng.IntN(5), accelerators, estimate(duration))
			step.Gang = step.Count > 1 && step.Count*accelerators <= 24 && rng.IntN(2) == 0
			step.OneRack = step.Gang
			sim.submit(id, "urgent", workspace, duration, step)
		case kind < 8:
			duration := timekeeper.Millis(6000 + rng.IntN(5000))
			sim.submit(id, "plans", workspace, duration, tasks(1+rng.IntN(2), accelerators, estimate(duration)))
		default:
			duration := timekeeper.Millis(4000 + rng.IntN(4000))
			sim.submit(id, "checks", workspace, duration, tasks(1+rng.IntN(17), 1, estimate(duration)))
		}
	})
}

// onTimeShare returns the share of a queue's jobs that met the objective for their actual durations.
func onTimeShare(sim *simulation, queue string) float64 {
	met, all := 0, 0
	sim.state.Jobs(func(j tracker.Job) {
		if j.Queue != queue {
			return
		}
		all++
		q, _ := sim.state.Configuration.Queue(queue)
		actual := j.Job
		actual.Steps = append([]modeler.Step(nil), j.Steps...)
		for i := range actual.Steps {
			actual.Steps[i].Estimate = sim.jobDuration[j.ID]
		}
		if at, done := sim.doneAt[j.ID]; done && at-j.Submitted <= q.Objective(actual.CriticalPath(sim.state.TotalCapacity("app"))) {
			met++
		}
	})
	return float64(met) / float64(max(all, 1))
}

// finishedLargeShare returns the share of jobs in queue plans with whole-worker tasks that have finished.
func finishedLargeShare(sim *simulation) float64 {
	done, all := 0, 0
	sim.state.Jobs(func(j tracker.Job) {
		if j.Queue != "plans" || j.Steps[0].Need.Accelerators < 8 {
			return
		}
		all++
		if j.Phase == tracker.JobDone {
			done++
		}
	})
	return float64(done) / float64(max(all, 1))
}

// jobValues holds, by queue, the value of a job that meets its objective and of a late one, as the users state them.
var jobValues = map[string][2]float64{"urgent": {4, 0.8}, "plans": {3, 0.9}, "checks": {1, 0.3}}

// scoreOf returns the share of the possible value that was earned, less the users' price for lost work.
func scoreOf(sim *simulation) float64 {
	const lostPrice = 0.0023 // a core-second
	earned, possible := 0.0, 0.0
	work, count := map[string]float64{}, map[string]float64{}
	size := func(j tracker.Job) float64 {
		return float64(j.Steps[0].Count*j.Steps[0].Need.Weight()) * float64(sim.jobDuration[j.ID])
	}
	sim.state.Jobs(func(j tracker.Job) {
		work[j.Queue] += size(j)
		count[j.Queue]++
	})
	sim.state.Jobs(func(j tracker.Job) {
		q, _ := sim.state.Configuration.Queue(j.Queue)
		value := 0.3 + 0.7*min(size(j)*count[j.Queue]/work[j.Queue], 5.3)
		possible += value * jobValues[j.Queue][0]
		actual := j.Job
		actual.Steps = append([]modeler.Step(nil), j.Steps...)
		actual.Steps[0].Estimate = sim.jobDuration[j.ID]
		objective := q.Objective(actual.CriticalPath(sim.state.TotalCapacity("app")))
		at, done := sim.doneAt[j.ID]
		switch took := at - j.Submitted; {
		case done && took <= objective:
			earned += value * jobValues[j.Queue][0]
		case done && took <= 3*objective:
			earned += value * jobValues[j.Queue][1]
		}
	})
	return (earned - lostPrice*float64(sim.lostWork)/1_000_000) / possible
}

// TestHeavyDayServesUrgentJobs compares Plan with first come, first served on overloaded days. Far more urgent jobs
// must meet their objective, and still 0.4 of the jobs in queue plans.
func TestHeavyDayServesUrgentJobs(t *testing.T) {
	const days = 4
	var urgent, baselineUrgent, plans float64
	for seed := range uint64(days) {
		ours, baseline := newSimulation(t, Plan, 11), newSimulation(t, firstComeFirstServed, 11)
		simulateHeavyDay(ours, seed)
		simulateHeavyDay(baseline, seed)
		urgent += onTimeShare(ours, "urgent") / days
		baselineUrgent += onTimeShare(baseline, "urgent") / days
		plans += onTimeShare(ours, "plans") / days
		t.Logf("day %d: urgent %.2f (first come %.2f), plans %.2f (%.2f), checks %.2f (%.2f), lost %d (%d) core-seconds", seed,
			onTimeShare(ours, "urgent"), onTimeShare(baseline, "urgent"), onTimeShare(ours, "plans"), onTimeShare(baseline, "plans"),
			onTimeShare(ours, "checks"), onTimeShare(baseline, "checks"), ours.lostWork/1_000_000, baseline.lostWork/1_000_000)
		t.Logf("day %d: score %.3f (%.3f), large plans %.2f (%.2f)", seed, scoreOf(ours), scoreOf(baseline), finishedLargeShare(ours), finishedLargeShare(baseline))
	}
	if urgent < 0.9 {
		t.Errorf("%.2f of the urgent jobs met their objective, want 0.9", urgent)
	}
	if urgent < baselineUrgent+0.1 {
		t.Errorf("%.2f of the urgent jobs met their objective, %.2f with first come, first served; want at least 0.1 more", urgent, baselineUrgent)
	}
	if plans < 0.4 {
		t.Errorf("%.2f of the plans met their objective, want 0.4", plans)
	}
}
