package coordinator

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/planner"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// stallTime is how long a run's percentage may stay the same before the run counts as stalled.
	stallTime timekeeper.Millis = 3000
	// stallShare is the share of the task's estimate that is added to stallTime: one percent of a long task takes
	// longer.
	stallShare = 0.05
	// maxStallDoublings bounds how often the time until a run counts as stalled is doubled: up to several minutes.
	maxStallDoublings = 6
)

// runStats is what the leader has observed of a run.
type runStats struct {
	firstSeen      timekeeper.Millis // in the replicated state
	percent        int
	initialPercent int               // percent in the first report
	progressedAt   timekeeper.Millis // when percent last rose
	firstReport    timekeeper.Millis // when the runner first listed the run; zero if it has not
	lastReport     timekeeper.Millis // when the runner last listed the run
	checkpoint     string
}

// observer keeps the leader's observations of runs and workers, which are not replicated. It is safe for concurrent
// use; mu guards its maps.
type observer struct {
	mu      sync.Mutex
	runs    map[tracker.RunKey]*runStats
	workers map[string]*health
	leaveAt map[string]timekeeper.Millis // by worker: when it may leave
	begun   map[modeler.JobID]bool       // the unfinished jobs of which something has started
	stalls  map[tracker.TaskKey]int      // number of runs that were stopped as stalled, of tasks of unfinished jobs
}

func newObserver() *observer {
	return &observer{
		runs: map[tracker.RunKey]*runStats{}, workers: map[string]*health{}, leaveAt: map[string]timekeeper.Millis{},
		begun: map[modeler.JobID]bool{}, stalls: map[tracker.TaskKey]int{},
	}
}

// recordReports updates the runs that a worker's runner lists.
func (o *observer) recordReports(now timekeeper.Millis, reports []RunReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range reports {
		run := o.statsFor(r.Run, now)
		if run.firstReport == 0 {
			run.firstReport, run.progressedAt, run.initialPercent = now, now, r.Percent
		}
		run.lastReport = now
		if r.Percent > run.percent {
			run.percent, run.progressedAt = r.Percent, now
		}
		if r.Checkpoint != "" {
			run.checkpoint = r.Checkpoint
		}
	}
}

// recordBegun records the jobs of which the worker's runner executes a run or has confirmed a start.
func (o *observer) recordBegun(r *WatchRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, running := range r.Running {
		o.begun[running.Run.Task.Job] = true
	}
	for _, start := range r.Starts {
		if start.Confirmed {
			o.begun[start.Run.Task.Job] = true
		}
	}
}

// pending returns the number of a queue's jobs of which nothing has started. Scheduled jobs do not count. A new leader has
// observed nothing yet, so that it counts too many until the agents have called.
func (o *observer) pending(s tracker.State, queue string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, j := range s.UnfinishedJobs() {
		if j.Queue == queue && j.Repeat == 0 && !o.begun[j.ID] && !j.HasBegun() {
			n++
		}
	}
	return n
}

// recordStall records that a run is stopped as stalled. The next run of its task gets twice the time until it counts as
// stalled, since the task may just be long: one percent of it may take longer than that time.
func (o *observer) recordStall(key tracker.RunKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stalls[key.Task]++
}

// forgetEnded drops the observations of jobs that have ended. The caller holds mu.
func (o *observer) forgetEnded(s tracker.State) {
	for id := range o.begun {
		if j, ok := s.Job(id); !ok || j.Phase.Ended() {
			delete(o.begun, id)
		}
	}
	for key := range o.stalls {
		if j, ok := s.Job(key.Job); !ok || j.Phase.Ended() {
			delete(o.stalls, key)
		}
	}
}

func (o *observer) statsFor(key tracker.RunKey, now timekeeper.Millis) *runStats {
	run := o.runs[key]
	if run == nil {
		run = &runStats{firstSeen: now}
		o.runs[key] = run
	}
	return run
}

// setLeaveTime records that a worker drains and will not leave before at.
func (o *observer) setLeaveTime(worker string, at timekeeper.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaveAt[worker] = at
}

// checkpoints returns the last known checkpoints of a worker's runs.
func (o *observer) checkpoints(w tracker.Worker) []tracker.Checkpoint {
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

// fillCheckpoints sets the last listed checkpoint in ends of lost runs, which the runner no longer knows.
func (o *observer) fillCheckpoints(ends []tracker.End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, end := range ends {
		if run := o.runs[end.Run]; run != nil && end.Kind == tracker.EndLost && end.Checkpoint == "" {
			ends[i].Checkpoint = run.checkpoint
		}
	}
}

// plannerInput returns the planner's input, all but Now and Unresponsive, and drops the stats of runs that have ended.
func (o *observer) plannerInput(s tracker.State, now timekeeper.Millis) planner.Input {
	o.mu.Lock()
	defer o.mu.Unlock()
	progress, drainTimeLeft := map[tracker.RunKey]planner.Progress{}, map[string]timekeeper.Millis{}
	kept := make(map[tracker.RunKey]*runStats, len(o.runs))
	var projections []projection
	for _, w := range s.Workers() {
		for _, r := range w.Runs {
			run := o.statsFor(r.Key, now)
			kept[r.Key] = run
			if j, ok := s.Job(r.Key.Task.Job); ok && !r.Stopping && j.IsCurrent(w.Name, r.Key) {
				progress[r.Key] = run.progress(j.Steps[r.Key.Task.Step], o.stalls[r.Key.Task], now)
				projections = append(projections, run.project(r.Key, w.Name, expectedDuration(s, j, r.Key)))
			}
		}
		if at, ok := o.leaveAt[w.Name]; ok {
			drainTimeLeft[w.Name] = max(at-now, 0)
		}
	}
	o.runs = kept
	o.forgetEnded(s)
	for _, p := range projections {
		if p.slow(projections) {
			entry := progress[p.run]
			entry.Slow = true
			progress[p.run] = entry
		}
	}
	avoided, suspect := o.unhealthyWorkers(s, now)
	return planner.Input{State: s, Progress: progress, Avoided: avoided, Suspect: suspect, DrainTimeLeft: drainTimeLeft}
}

// progress returns the progress of a run of a step, earlier runs of whose task were stopped as stalled a number of times.
func (r *runStats) progress(step modeler.Step, stalls int, now timekeeper.Millis) planner.Progress {
	p := planner.Progress{Percent: r.percent, Checkpoint: r.checkpoint, Elapsed: now - r.firstSeen}
	if r.firstReport == 0 || step.LongRunning {
		return p
	}
	// While a worker is silent, lastReport stays the same and its runs do not count as stalled. Neither does a gang
	// member that has done its part and waits for the others.
	unchanged := r.lastReport - r.progressedAt
	patience := (stallTime + timekeeper.Millis(stallShare*float64(step.Estimate))) << min(stalls, maxStallDoublings)
	p.Stalled = r.percent < complete && unchanged > patience
	return p
}

// complete is the percentage of a run that has done all its work.
const complete = 100
