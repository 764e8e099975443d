package coordinator

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/planner"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// stallTime is how long a run's percentage may stand still.
	stallTime timekeeper.Millis = 3000
	// stallShare adds to stallTime for long tasks, of which one percent takes longer, as a share of the estimate.
	stallShare = 0.05
)

// observed is what the leader has seen of a run.
type observed struct {
	since      timekeeper.Millis // first seen in the state
	percent    int
	resumed    int               // the percentage when the runner first listed it
	moved      timekeeper.Millis // when the percentage last rose
	first      timekeeper.Millis // when the runner first listed it
	last       timekeeper.Millis // when the runner last listed it
	checkpoint string
}

// observer keeps what is known of running work beyond the log. It is safe for concurrent use; mu guards its maps.
type observer struct {
	mu      sync.Mutex
	runs    map[tracker.RunKey]*observed
	workers map[string]*health
	leaving map[string]timekeeper.Millis // by worker, when it may be gone
}

func newObserver() *observer {
	return &observer{
		runs: map[tracker.RunKey]*observed{}, workers: map[string]*health{}, leaving: map[string]timekeeper.Millis{},
	}
}

// see takes a worker's list of runs.
func (o *observer) see(now timekeeper.Millis, reports []RunReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range reports {
		run := o.run(r.Run, now)
		if run.first == 0 {
			run.first, run.moved, run.resumed = now, now, r.Percent
		}
		run.last = now
		if r.Percent > run.percent {
			run.percent, run.moved = r.Percent, now
		}
		if r.Checkpoint != "" {
			run.checkpoint = r.Checkpoint
		}
	}
}

func (o *observer) run(key tracker.RunKey, now timekeeper.Millis) *observed {
	run := o.runs[key]
	if run == nil {
		run = &observed{since: now}
		o.runs[key] = run
	}
	return run
}

// leave notes that a worker drains and what is left to it at least.
func (o *observer) leave(worker string, at timekeeper.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[worker] = at
}

// saved returns the last known checkpoints of a worker's runs.
func (o *observer) saved(w tracker.Worker) []tracker.Checkpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []tracker.Checkpoint
	for _, r := range w.Runs {
		if run := o.runs[r.Key]; run != nil && run.checkpoint != "" {
			list = append(list, tracker.Checkpoint{Run: r.Key, Value: run.checkpoint})
		}
	}
	return list
}

// fillCheckpoints gives ends of runs that the runner knows no more the last checkpoint that it had listed.
func (o *observer) fillCheckpoints(ends []tracker.End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, end := range ends {
		if run := o.runs[end.Run]; run != nil && end.Kind == tracker.EndLapsed && end.Checkpoint == "" {
			ends[i].Checkpoint = run.checkpoint
		}
	}
}

// input returns what the planner needs, with the observations, and forgets runs that have ended.
func (o *observer) input(s tracker.State, now timekeeper.Millis) planner.Input {
	o.mu.Lock()
	defer o.mu.Unlock()
	progress, leaving := map[tracker.RunKey]planner.Progress{}, map[string]timekeeper.Millis{}
	kept := make(map[tracker.RunKey]*observed, len(o.runs))
	var paces []pace
	for _, w := range s.Workers() {
		for _, r := range w.Runs {
			run := o.run(r.Key, now)
			kept[r.Key] = run
			if j, ok := s.Job(r.Key.Task.Job); ok && !r.Stopping {
				progress[r.Key] = run.progress(j.Steps[r.Key.Task.Step], now)
				paces = append(paces, run.pace(r.Key, w.Name, expected(s, j, r.Key)))
			}
		}
		if at, ok := o.leaving[w.Name]; ok {
			leaving[w.Name] = max(at-now, 0)
		}
	}
	o.runs = kept
	for _, p := range paces {
		if p.slow(paces) {
			judged := progress[p.run]
			judged.Slow = true
			progress[p.run] = judged
		}
	}
	avoid, suspect := o.bad(s, now)
	return planner.Input{State: s, Progress: progress, Avoid: avoid, Suspect: suspect, Leaving: leaving}
}

func (r *observed) progress(step modeler.Step, now timekeeper.Millis) planner.Progress {
	p := planner.Progress{Percent: r.percent, Checkpoint: r.checkpoint, Running: now - r.since}
	if r.first == 0 || step.LongRunning {
		return p
	}
	// Nothing is known of a run whose worker is not heard, and a member of a gang that has done its part waits for the
	// others.
	stood := r.last - r.moved
	p.Stalled = r.percent < whole && stood > stallTime+timekeeper.Millis(stallShare*float64(step.Estimate))
	return p
}

// whole is the percentage of a run that has done all its work.
const whole = 100
