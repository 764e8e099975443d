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

// firstCome is the plain policy that Plan is measured against: jobs in the order of their submission, wherever there is
// room, and nothing is ever stopped.
func firstCome(in Input) tracker.Assign {
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
		c.rank = rankExpired // may not stop anything
		for instance := range c.job.Tasks {
			b.planInstance(&plan, c, instance)
		}
	}
	return plan
}

// heavyDay hands in what a heavy day brings, 1.7 times what 88 accelerators can do in 34 s: urgent gangs and wide
// steps, plans and checks, with estimates off by half.
func heavyDay(p *play, seed uint64) {
	const day = 34_000
	rng := rand.New(rand.NewPCG(seed, 0))
	n := 0
	p.run(day+14_000, func(now timekeeper.Millis) {
		if now >= day || rng.IntN(7) > 0 {
			return
		}
		n++
		id := fmt.Sprintf("j%03d", n)
		accelerators := []int{1, 2, 4, 8, 8}[rng.IntN(5)]
		workspace := []string{"sure", "other"}[rng.IntN(2)]
		estimate := func(truth timekeeper.Millis) timekeeper.Millis {
			return truth * timekeeper.Millis(50+rng.IntN(100)) / 100
		}
		switch kind := rng.IntN(10); {
		case kind < 5:
			truth := timekeeper.Millis(1000 + rng.IntN(3000))
			step := tasks(1+rng.IntN(5), accelerators, estimate(truth))
			step.Gang = step.Count > 1 && step.Count*accelerators <= 24 && rng.IntN(2) == 0
			step.OneRack = step.Gang
			p.submit(id, "urgent", workspace, truth, step)
		case kind < 8:
			truth := timekeeper.Millis(6000 + rng.IntN(5000))
			p.submit(id, "plans", workspace, truth, tasks(1+rng.IntN(2), accelerators, estimate(truth)))
		default:
			truth := timekeeper.Millis(4000 + rng.IntN(4000))
			p.submit(id, "checks", workspace, truth, tasks(1+rng.IntN(17), 1, estimate(truth)))
		}
	})
}

// served is the share of a queue's jobs that met the objective, by true durations.
func served(p *play, queue string) float64 {
	met, all := 0, 0
	p.state.Jobs(func(j tracker.Job) {
		if j.Queue != queue {
			return
		}
		all++
		q, _ := p.state.Configuration.Queue(queue)
		real := j.Job
		real.Steps = append([]modeler.Step(nil), j.Steps...)
		for i := range real.Steps {
			real.Steps[i].Estimate = p.truth[j.ID]
		}
		if at, done := p.done[j.ID]; done && at-j.Submitted <= q.Objective(real.Chain(p.state.Room("app"))) {
			met++
		}
	})
	return float64(met) / float64(max(all, 1))
}

// servedLarge is the share of the plans whose tasks need a whole worker that have ended at all.
func servedLarge(p *play) float64 {
	done, all := 0, 0
	p.state.Jobs(func(j tracker.Job) {
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

// worths are what a job of a queue is worth in time and late, as the users state them.
var worths = map[string][2]float64{"urgent": {4, 0.8}, "plans": {3, 0.9}, "checks": {1, 0.3}}

// worth is the share of all that could be earned that was, less what the users charge for work thrown away.
func worth(p *play) float64 {
	const lostPrice = 0.0023 // a core-second
	earned, owed := 0.0, 0.0
	work, count := map[string]float64{}, map[string]float64{}
	size := func(j tracker.Job) float64 {
		return float64(j.Steps[0].Count*j.Steps[0].Need.Weight()) * float64(p.truth[j.ID])
	}
	p.state.Jobs(func(j tracker.Job) {
		work[j.Queue] += size(j)
		count[j.Queue]++
	})
	p.state.Jobs(func(j tracker.Job) {
		q, _ := p.state.Configuration.Queue(j.Queue)
		value := 0.3 + 0.7*min(size(j)*count[j.Queue]/work[j.Queue], 5.3)
		owed += value * worths[j.Queue][0]
		real := j.Job
		real.Steps = append([]modeler.Step(nil), j.Steps...)
		real.Steps[0].Estimate = p.truth[j.ID]
		objective := q.Objective(real.Chain(p.state.Room("app")))
		at, done := p.done[j.ID]
		switch took := at - j.Submitted; {
		case done && took <= objective:
			earned += value * worths[j.Queue][0]
		case done && took <= 3*objective:
			earned += value * worths[j.Queue][1]
		}
	})
	return (earned - lostPrice*float64(p.lost)/1_000_000) / owed
}

// TestHeavyDayServesUrgentJobs plays heavy days against the plain policy: urgent jobs are served far more often, and
// the others are not left out.
func TestHeavyDayServesUrgentJobs(t *testing.T) {
	const days = 4
	var urgent, plainUrgent, plans float64
	for seed := range uint64(days) {
		ours, plain := newPlay(t, Plan, 11), newPlay(t, firstCome, 11)
		heavyDay(ours, seed)
		heavyDay(plain, seed)
		urgent += served(ours, "urgent") / days
		plainUrgent += served(plain, "urgent") / days
		plans += served(ours, "plans") / days
		t.Logf("day %d: urgent %.2f (first come %.2f), plans %.2f (%.2f), checks %.2f (%.2f), lost %d (%d) core-seconds", seed,
			served(ours, "urgent"), served(plain, "urgent"), served(ours, "plans"), served(plain, "plans"),
			served(ours, "checks"), served(plain, "checks"), ours.lost/1_000_000, plain.lost/1_000_000)
		t.Logf("day %d: worth %.3f (%.3f), large plans %.2f (%.2f)", seed, worth(ours), worth(plain), servedLarge(ours), servedLarge(plain))
	}
	if urgent < 0.9 {
		t.Errorf("%.2f of the urgent jobs met their objective, want 0.9", urgent)
	}
	if urgent < plainUrgent+0.1 {
		t.Errorf("urgent jobs are served as by the plain policy: %.2f against %.2f", urgent, plainUrgent)
	}
	if plans < 0.4 {
		t.Errorf("%.2f of the plans met their objective, want 0.4", plans)
	}
}
