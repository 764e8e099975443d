package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// tally is a share of what could be earned that was.
type tally struct{ earned, owed float64 }

func (t tally) share() float64 {
	if t.owed == 0 {
		return 1
	}
	return t.earned / t.owed
}

// outcome is what callers got of a day.
type outcome struct {
	worth   float64
	whole   float64
	windows float64
	kinds   map[string]float64
	late    map[string]int
	largest float64 // the worst kind's largest tenth, against the whole kind
	lost    int     // core-seconds
}

// judge works out what a played day was worth, as the users weigh it.
func (s site) judge(p *play, subs []submission) outcome {
	o := outcome{kinds: map[string]float64{}, late: map[string]int{}, lost: p.lost / 1_000_000, largest: 1}
	var all tally
	windows, spaces := map[timekeeper.Millis]tally{}, map[string]tally{}
	for _, k := range s.kinds {
		var mine []submission
		mean := 0.0
		for _, sub := range subs {
			if sub.job.Queue == k.queue {
				mine = append(mine, sub)
				mean += sub.work()
			}
		}
		mean /= float64(len(mine))
		slices.SortFunc(mine, func(a, b submission) int { return cmp.Compare(b.work(), a.work()) })
		var total, largest tally
		for i, sub := range mine {
			value := min(0.3+0.7*sub.work()/mean, 4) * k.worth
			got := value * k.earned(p, sub) / k.worth
			if got < value {
				o.late[k.queue]++
			}
			add := func(t tally) tally { return tally{t.earned + got, t.owed + value} }
			all, total = add(all), add(total)
			if i < max(len(mine)/10, 1) {
				largest = add(largest)
			}
			windows[sub.at/2000] = add(windows[sub.at/2000])
			spaces[sub.job.Workspace] = add(spaces[sub.job.Workspace])
		}
		o.kinds[k.queue] = total.share()
		if total.share() > 0 {
			o.largest = min(o.largest, largest.share()/total.share())
		}
	}
	o.whole = all.share()
	o.windows = worst(windows, 2)
	worstKind := 1.0
	for _, share := range o.kinds {
		worstKind = min(worstKind, share)
	}
	o.worth = s.whole*o.whole + s.windows*o.windows + s.worstKind*worstKind + s.workspaces*worst(spaces, 1) - s.lostPrice*float64(o.lost)/float64(len(subs))
	return o
}

// worst returns the mean share of the n worst.
func worst[K comparable](all map[K]tally, n int) float64 {
	var shares []float64
	for _, t := range all {
		shares = append(shares, t.share())
	}
	slices.Sort(shares)
	n = min(n, len(shares))
	sum := 0.0
	for _, s := range shares[:n] {
		sum += s / float64(n)
	}
	return sum
}

// work returns the core-seconds that the job's tasks really take, an accelerator counting as eight cores.
func (s submission) work() float64 {
	sum := 0.0
	for key, work := range s.tasks {
		sum += float64(s.job.Steps[key.Step].Need.Weight()) * float64(work) / 1_000_000
	}
	return sum
}

// earned returns what the job brought, by the time of its end against the objective of its true work.
func (k kind) earned(p *play, s submission) float64 {
	at, done := p.done[s.job.ID]
	if !done {
		return 0
	}
	real := s.job
	real.Steps = slices.Clone(s.job.Steps)
	for i := range real.Steps {
		real.Steps[i].Estimate = s.works[i]
	}
	objective := timekeeper.Millis(k.stretch*float64(real.Chain(p.state.Room("app")))) + k.target
	switch took := at - s.at; {
	case took <= objective:
		return k.worth
	case took <= expiryObjectives*objective:
		return k.late
	}
	return 0
}
