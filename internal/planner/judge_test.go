package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// valueTally is the value earned by some jobs and the value that was possible.
type valueTally struct{ earned, possible float64 }

func (t valueTally) share() float64 {
	if t.possible == 0 {
		return 1
	}
	return t.earned / t.possible
}

// outcome holds the results of a day by the users' measures, as shares of the possible value if not stated otherwise.
// score is their weighted sum less the price of lost work, worstWindows the mean of the two worst windows of 2 s by
// time of submission, and late the number of jobs below their full value. kinds and late are by queue.
type outcome struct {
	score        float64
	total        float64
	worstWindows float64
	kinds        map[string]float64
	late         map[string]int
	largestJobs  float64 // lowest share of a kind's largest tenth, relative to that of the whole kind
	lostWork     int     // core-seconds
}

// evaluate computes the outcome of a simulated day with the users' weights.
func (s site) evaluate(sim *simulation, subs []submission) outcome {
	o := outcome{kinds: map[string]float64{}, late: map[string]int{}, lostWork: sim.lostWork / 1_000_000, largestJobs: 1}
	var all valueTally
	windows, workspaces := map[timekeeper.Millis]valueTally{}, map[string]valueTally{}
	for _, k := range s.kinds {
		var jobs []submission
		mean := 0.0
		for _, sub := range subs {
			if sub.job.Queue == k.queue {
				jobs = append(jobs, sub)
				mean += sub.work()
			}
		}
		mean /= float64(len(jobs))
		slices.SortFunc(jobs, func(a, b submission) int { return cmp.Compare(b.work(), a.work()) })
		var total, largest valueTally
		for i, sub := range jobs {
			value := min(0.3+0.7*sub.work()/mean, 4) * k.valueOnTime
			earned := value * k.valueOf(sim, sub) / k.valueOnTime
			if earned < value {
				o.late[k.queue]++
			}
			add := func(t valueTally) valueTally { return valueTally{t.earned + earned, t.possible + value} }
			all, total = add(all), add(total)
			if i < max(len(jobs)/10, 1) {
				largest = add(largest)
			}
			windows[sub.at/2000] = add(windows[sub.at/2000])
			workspaces[sub.job.Workspace] = add(workspaces[sub.job.Workspace])
		}
		o.kinds[k.queue] = total.share()
		if total.share() > 0 {
			o.largestJobs = min(o.largestJobs, largest.share()/total.share())
		}
	}
	o.total = all.share()
	o.worstWindows = meanOfWorst(windows, 2)
	worstKind := 1.0
	for _, share := range o.kinds {
		worstKind = min(worstKind, share)
	}
	o.score = s.totalWeight*o.total + s.windowWeight*o.worstWindows + s.worstKindWeight*worstKind + s.workspaceWeight*meanOfWorst(workspaces, 1) - s.lostWorkPrice*float64(o.lostWork)/float64(len(subs))
	return o
}

// meanOfWorst returns the mean of the n lowest shares.
func meanOfWorst[K comparable](all map[K]valueTally, n int) float64 {
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

// work returns the core-seconds that the job's tasks actually take. An accelerator counts as eight cores.
func (s submission) work() float64 {
	sum := 0.0
	for key, duration := range s.taskDurations {
		sum += float64(s.job.Steps[key.Step].Need.Weight()) * float64(duration) / 1_000_000
	}
	return sum
}

// valueOf returns the value of a job by when it finished, with the objective for its actual durations.
func (k jobKind) valueOf(sim *simulation, s submission) float64 {
	at, done := sim.doneAt[s.job.ID]
	if !done {
		return 0
	}
	actual := s.job
	actual.Steps = slices.Clone(s.job.Steps)
	for i := range actual.Steps {
		actual.Steps[i].Estimate = s.stepDurations[i]
	}
	objective := timekeeper.Millis(k.stretch*float64(actual.CriticalPath(sim.state.TotalCapacity("app")))) + k.target
	switch took := at - s.at; {
	case took <= objective:
		return k.valueOnTime
	case took <= expiryObjectives*objective:
		return k.valueLate
	}
	return 0
}
