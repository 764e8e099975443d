package tracker

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/lagoonmill/lagoonmill/internal/estimator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// State is everything that the log has decided; it is immutable and may be shared without locks.
type State struct {
	Index         uint64 // of the last command applied
	Configuration modeler.Configuration
	jobs          *immutable.SortedMap[modeler.JobID, Job]
	unfinished    *immutable.SortedMap[modeler.JobID, Job] // those that have not ended
	workers       *immutable.SortedMap[string, Worker]
	runTimes      *immutable.SortedMap[string, estimator.Record] // by queue
}

// New returns the state of a new cluster.
func New() State {
	return State{
		jobs:       immutable.NewSortedMap[modeler.JobID, Job](nil),
		unfinished: immutable.NewSortedMap[modeler.JobID, Job](nil),
		workers:    immutable.NewSortedMap[string, Worker](nil),
		runTimes:   immutable.NewSortedMap[string, estimator.Record](nil),
	}
}

// Job returns the job with the given id.
func (s State) Job(id modeler.JobID) (Job, bool) { return s.jobs.Get(id) }

// Jobs calls visit with every job, by id.
func (s State) Jobs(visit func(Job)) {
	for it := s.jobs.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		visit(j)
	}
}

// Open returns the jobs that have not ended, by id.
func (s State) Open() []Job {
	jobs := make([]Job, 0, s.unfinished.Len())
	for it := s.unfinished.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		jobs = append(jobs, j)
	}
	return jobs
}

// Pending returns the number of jobs of a queue, those at times left out, of which nothing has been started.
func (s State) Pending(queue string) int {
	n := 0
	for _, j := range s.Open() {
		if j.Queue == queue && j.Phase == JobQueued && j.Repeat == 0 {
			n++
		}
	}
	return n
}

// Worker returns the worker with the given name.
func (s State) Worker(name string) (Worker, bool) { return s.workers.Get(name) }

// Workers returns all workers, by name, those that are gone included.
func (s State) Workers() []Worker {
	workers := make([]Worker, 0, s.workers.Len())
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		workers = append(workers, w)
	}
	return workers
}

// Record returns what ended tasks of a queue took.
func (s State) Record(queue string) estimator.Record {
	r, _ := s.runTimes.Get(queue)
	return r
}

// recordRunTime notes how long a task took from its beginning to its end; one that resumed tells nothing, nor one whose agent
// did not see it begin.
func (s *State) recordRunTime(queue string, step modeler.Step, t Task, took timekeeper.Millis) {
	if took > 0 && t.Checkpoint == "" {
		s.runTimes = s.runTimes.Set(queue, s.Record(queue).WithObservation(took, step.Estimate))
	}
}

// Room returns what the workers of a service have together, those that are gone left out.
func (s State) Room(service string) modeler.Resources {
	var sum modeler.Resources
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if !w.Gone && w.Profile.Service == service {
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
	w.Changed = s.Index
	s.workers = s.workers.Set(w.Name, w)
}

// stopRuns marks every run of a job as to be stopped.
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
	if at := w.runIndex(key); at >= 0 && !w.Runs[at].Stopping {
		s.putWorker(w.withStopping(at))
	}
}

// abandonRuns returns every run of a worker to its task as ended without a result.
func (s *State) abandonRuns(w Worker, saved []Checkpoint) Worker {
	runs := w.Runs
	w.Runs = nil
	s.putWorker(w)
	for _, r := range runs {
		end := End{Run: r.Key, Kind: EndLapsed}
		if i := slices.IndexFunc(saved, func(c Checkpoint) bool { return c.Run == r.Key }); i >= 0 {
			end.Checkpoint = saved[i].Value
		}
		s.endTask(end)
	}
	return w
}
