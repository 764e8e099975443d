package coordinator

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// minObservedTime is how long a run is observed before its duration is projected.
	minObservedTime timekeeper.Millis = 2500
	// peerSlowdown is how many times as long as its peers a task may take before it counts as slow. Tasks of one step
	// differ by about a third.
	peerSlowdown = 2.5
	// queueSlowdown is the same limit against the expected duration of the queue's runs, which differ more.
	queueSlowdown = 4.5
	// minPeers is the number of peers that a comparison needs.
	minPeers = 2
)

// projection is the duration of a run, extrapolated from its progress. total and remaining are zero if unknown.
type projection struct {
	run       tracker.RunKey
	worker    string
	expected  timekeeper.Millis // from the queue's past runs and the declared estimate, as far as it is reliable; zero if unknown
	total     timekeeper.Millis
	remaining timekeeper.Millis
}

func (r *runStats) project(key tracker.RunKey, worker string, expected timekeeper.Millis) projection {
	p := projection{run: key, worker: worker, expected: expected}
	if ran := r.lastReport - r.firstReport; r.firstReport > 0 && r.percent > r.initialPercent && ran > minObservedTime {
		p.total = ran * complete / timekeeper.Millis(r.percent-r.initialPercent)
		p.remaining = p.total * timekeeper.Millis(complete-r.percent) / complete
	}
	return p
}

// expectedDuration returns how long a run should take, or zero if too little is known of its queue.
func expectedDuration(s tracker.State, j tracker.Job, key tracker.RunKey) timekeeper.Millis {
	record := s.RunTimes(j.Queue)
	if record.Typical() == 0 {
		return 0
	}
	return record.Estimate(j.Steps[key.Task.Step].Estimate)
}

// slow reports whether the run is so far behind comparable runs that it is better restarted on another worker.
func (p projection) slow(all []projection) bool {
	if p.total == 0 {
		return false
	}
	if peers := p.peers(all); len(peers) >= minPeers {
		typical := median(peers)
		return p.remaining > typical && float64(p.total) > peerSlowdown*float64(typical)
	}
	if p.run.Attempt > 1 {
		return false // an earlier attempt was as slow elsewhere: the task itself is long
	}
	return p.expected > 0 && p.remaining > p.expected && float64(p.total) > queueSlowdown*float64(p.expected)
}

// peers returns the projected durations of tasks of the same step on other workers.
func (p projection) peers(all []projection) []timekeeper.Millis {
	var list []timekeeper.Millis
	for _, o := range all {
		same := o.run.Task.Job == p.run.Task.Job && o.run.Task.Step == p.run.Task.Step
		if same && o.worker != p.worker && o.total > 0 {
			list = append(list, o.total)
		}
	}
	return list
}

func median(list []timekeeper.Millis) timekeeper.Millis {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
