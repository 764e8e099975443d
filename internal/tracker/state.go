package tracker

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/lagoonmill/lagoonmill/internal/estimator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// State is the result of applying the log. It is immutable and may be shared without locks.
type State struct {
	Index         uint64 // index of the last applied command
	Configuration modeler.Configuration
	jobs          *immutable.SortedMap[modeler.JobID, Job]
	unfinished    *immutable.SortedMap[modeler.JobID, Job] // jobs that have not ended
	workers       *immutable.SortedMap[string, Worker]
	runTimes      *immutable.SortedMap[string, estimator.Record] // by queue
	removedQueues *immutable.SortedMap[string, removedQueue]     // by name
}

// New returns the empty state of a new cluster.
func New() State {
	return State{
		jobs:          immutable.NewSortedMap[modeler.JobID, Job](nil),
		unfinished:    immutable.NewSortedMap[modeler.JobID, Job](nil),
		workers:       immutable.NewSortedMap[string, Worker](nil),
		runTimes:      immutable.NewSortedMap[string, estimator.Record](nil),
		removedQueues: newRemovedQueues(nil),
	}
}

// Job returns the job with the given id.
func (s State) Job(id modeler.JobID) (Job, bool) { return s.jobs.Get(id) }

// Jobs calls visit for every job, in order of id.
func (s State) Jobs(visit func(Job)) {
	for it := s.jobs.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		visit(j)
	}
}

// UnfinishedJobs returns the jobs that have not ended, in order of id.
func (s State) UnfinishedJobs() []Job {
	jobs := make([]Job, 0, s.unfinished.Len())
	for it := s.unfinished.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		jobs = append(jobs, j)
	}
	return jobs
}

// Worker returns the worker with the given name.
func (s State) Worker(name string) (Worker, bool) { return s.workers.Get(name) }

// Workers returns all workers in order of name, including detached ones.
func (s State) Workers() []Worker {
	workers := make([]Worker, 0, s.workers.Len())
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		workers = append(workers, w)
	}
	return workers
}

// Holds reports whether a worker holds a run (see Worker.Holds).
func (s State) Holds(worker string, run RunKey) bool {
	w, ok := s.workers.Get(worker)
	return ok && w.Holds(run)
}

// IsCurrent reports whether a run is the one that its task is assigned to on the worker. A worker may hold runs that are
// not, which have nothing left to do but end (see Run).
func (s State) IsCurrent(worker string, run RunKey) bool {
	j, ok := s.jobs.Get(run.Task.Job)
	return ok && j.IsCurrent(worker, run)
}

// RunTimes returns the statistics of observed run times of a queue's tasks.
func (s State) RunTimes(queue string) estimator.Record {
	r, _ := s.runTimes.Get(queue)
	return r
}

// recordRunTime adds the run time of a completed task to the statistics of its queue. It ignores runs that resumed from
// a checkpoint, which do not show the run time of the whole task, and runs whose start the agent did not observe.
func (s *State) recordRunTime(queue string, step modeler.Step, t Task, runTime timekeeper.Millis) {
	if runTime > 0 && t.Checkpoint == "" {
		s.runTimes = s.runTimes.Set(queue, s.RunTimes(queue).WithObservation(runTime, step.Estimate))
	}
}

// TotalCapacity returns the total capacity of a service's workers, excluding detached ones.
func (s State) TotalCapacity(service string) modeler.Resources {
	var sum modeler.Resources
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if !w.Detached && w.Profile.Service == service {
			sum = sum.Plus(w.Profile.Capacity)
		}
	}
	return sum
}

func (s *State) putJob(j Job) {
	s.jobs = s.jobs.Set(j.ID, j)
	if j.Phase.Ended() {
		s.unfinished = s.unfinished.Delete(j.ID)
		return
	}
	s.unfinished = s.unfinished.Set(j.ID, j)
}

func (s *State) putWorker(w Worker) {
	w.ModifiedIndex = s.Index
	s.workers = s.workers.Set(w.Name, w)
}

// stopRuns marks every run of a job to be stopped.
func (s *State) stopRuns(j Job) {
	for instance := range j.Tasks {
		s.stopInstance(j, instance)
	}
}

func (s *State) stopInstance(j Job, instance int) {
	for index, t := range j.Tasks[instance] {
		if t.Phase == TaskAssigned {
			s.stopRun(t.Worker, RunKey{j.Key(instance, index), t.Attempt})
		}
	}
}

func (s *State) stopRun(worker string, key RunKey) {
	w, ok := s.workers.Get(worker)
	if !ok {
		return
	}
	if i := w.runIndex(key); i >= 0 && !w.Runs[i].Stopping {
		s.putWorker(w.withStopping(i))
	}
}

// abandonRuns removes all runs from a worker and ends each of them as lost. It returns the worker without runs.
func (s *State) abandonRuns(w Worker, checkpoints []Checkpoint) Worker {
	runs := w.Runs
	w.Runs = nil
	s.putWorker(w)
	for _, r := range runs {
		end := End{Run: r.Key, Kind: EndLost}
		if i := slices.IndexFunc(checkpoints, func(c Checkpoint) bool { return c.Run == r.Key }); i >= 0 {
			end.Checkpoint = checkpoints[i].Value
		}
		s.endTask(end)
	}
	return w
}
