package coordinator

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// slowAfter is the time that a run's pace is watched before it is judged.
	slowAfter timekeeper.Millis = 2500
	// slowAgainstPeers is how many times as long as the other tasks of its step a task may take: these differ by a
	// third or so.
	slowAgainstPeers = 2.5
	// slowAgainstQueue is likewise against what is expected of a run of its queue, whose work differs more.
	slowAgainstQueue = 4.5
	// fewestPeers is the number of others that a comparison needs.
	fewestPeers = 2
)

// pace is how long a run would take as a whole, by what it has done so far; zero where that is not known.
type pace struct {
	run      tracker.RunKey
	worker   string
	expected timekeeper.Millis // by what its queue's runs took and by its declaration, as far as that can be trusted
	whole    timekeeper.Millis
	left     timekeeper.Millis
}

func (r *observed) pace(key tracker.RunKey, worker string, expected timekeeper.Millis) pace {
	p := pace{run: key, worker: worker, expected: expected}
	if ran := r.last - r.first; r.first > 0 && r.percent > r.resumed && ran > slowAfter {
		p.whole = ran * whole / timekeeper.Millis(r.percent-r.resumed)
		p.left = p.whole * timekeeper.Millis(whole-r.percent) / whole
	}
	return p
}

// expected returns how long a run should take, or zero where too little is known of its queue.
func expected(s tracker.State, j tracker.Job, key tracker.RunKey) timekeeper.Millis {
	record := s.Record(j.Queue)
	if record.Usual() == 0 {
		return 0
	}
	return record.Estimate(j.Steps[key.Task.Step].Estimate)
}

// slow reports whether the run is so far behind others like it that it is better begun elsewhere.
func (p pace) slow(all []pace) bool {
	if p.whole == 0 {
		return false
	}
	if peers := p.peers(all); len(peers) >= fewestPeers {
		typical := median(peers)
		return p.left > typical && float64(p.whole) > slowAgainstPeers*float64(typical)
	}
	if p.run.Attempt > 1 {
		return false // it was as slow elsewhere: its work is long
	}
	return p.expected > 0 && p.left > p.expected && float64(p.whole) > slowAgainstQueue*float64(p.expected)
}

// peers returns the paces of tasks of the same step on other workers.
func (p pace) peers(all []pace) []timekeeper.Millis {
	var list []timekeeper.Millis
	for _, o := range all {
		same := o.run.Task.Job == p.run.Task.Job && o.run.Task.Step == p.run.Task.Step
		if same && o.worker != p.worker && o.whole > 0 {
			list = append(list, o.whole)
		}
	}
	return list
}

func median(list []timekeeper.Millis) timekeeper.Millis {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
