package tracker

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Apply returns the state after applying a command at the given log index, and the answer to the command.
func (s State) Apply(index uint64, c Command) (State, Answer) {
	s.Index = index
	answer := Answer{Code: Accepted}
	switch {
	case c.Configure != nil:
		s.configure(*c.Configure)
	case c.Submit != nil:
		answer.Code = s.submit(*c.Submit)
	case c.Cancel != nil:
		answer.Code = s.cancel(*c.Cancel)
	case c.Attach != nil:
		answer.Code, answer.Epoch = s.attach(*c.Attach)
	case c.Detach != nil:
		answer.Code = s.detach(*c.Detach)
	case c.Drain != nil:
		answer.Code = s.drain(*c.Drain)
	case c.Report != nil:
		answer.Code = s.report(*c.Report)
	case c.Assign != nil:
		s.assign(*c.Assign)
	case c.Prune != nil:
		s.prune(*c.Prune)
	default:
		answer.Code = Invalid
	}
	answer.Index = index
	return s, answer
}

// configure replaces the configuration if c has a higher version.
func (s *State) configure(c modeler.Configuration) {
	if c.Version <= s.Configuration.Version {
		return
	}
	s.keepRemovedQueues(c)
	s.Configuration = c
}

// submit adds a job unless a job with its id exists, so that a repeated submission has no effect. It refuses a job that
// the state cannot hold, whatever process put it into the log.
func (s *State) submit(j modeler.Job) Code {
	if j.CheckShape() != nil {
		return Invalid
	}
	if _, known := s.jobs.Get(j.ID); !known {
		s.putJob(newJob(j))
	}
	return Accepted
}

func (s *State) cancel(c Cancel) Code {
	j, ok := s.jobs.Get(c.Job)
	if !ok {
		return NotFound
	}
	if !j.Phase.Ended() {
		s.endJob(j, JobCancelled, c.At)
	}
	return Accepted
}

func (s *State) endJob(j Job, phase JobPhase, at timekeeper.Millis) {
	j.Phase, j.Ended = phase, at
	s.putJob(j)
	if phase != JobDone {
		s.stopRuns(j)
	}
}

func (s *State) attach(a Attach) (Code, uint64) {
	w, known := s.workers.Get(a.Worker)
	if known && w.Incarnation.ID == a.Incarnation.ID && a.Incarnation.StartedAt < w.Incarnation.StartedAt && !a.Confirmed {
		return Stale, 0
	}
	drainRevoked := w.Draining && !a.Draining && a.Confirmed
	if known && w.Incarnation == a.Incarnation && w.AgentProcess == a.AgentProcess && !w.Detached && !drainRevoked {
		return Accepted, w.Epoch
	}
	if w.Incarnation != a.Incarnation {
		w.CommittedEnd = 0
	}
	w.Name, w.Incarnation, w.AgentProcess, w.Profile = a.Worker, a.Incarnation, a.AgentProcess, a.Profile
	w.Detached, w.Draining = false, a.Draining
	w.Epoch++
	s.putWorker(w)
	return Accepted, w.Epoch
}

func (s *State) detach(d Detach) Code {
	w, ok := s.workers.Get(d.Worker)
	if !ok || w.Epoch != d.Epoch || w.Detached {
		return Stale
	}
	w = s.abandonRuns(w, d.Checkpoints)
	w.Detached = true
	s.putWorker(w)
	return Accepted
}

func (s *State) drain(d Drain) Code {
	w, ok := s.workers.Get(d.Worker)
	if !ok || w.Epoch != d.Epoch || w.Detached {
		return Stale
	}
	w.Draining = true
	s.putWorker(w)
	return Accepted
}

func (s *State) report(r Report) Code {
	w, ok := s.workers.Get(r.Worker)
	if !ok || w.Epoch != r.Epoch || w.Detached {
		return Stale
	}
	for _, end := range r.Ends {
		s.recordEnd(r.Worker, end, r.At)
	}
	return Accepted
}

func (s *State) recordEnd(worker string, end End, at timekeeper.Millis) {
	w, _ := s.workers.Get(worker)
	w.CommittedEnd = max(w.CommittedEnd, end.Number)
	i := w.runIndex(end.Run)
	if i >= 0 {
		w = w.withoutRun(i)
	}
	s.putWorker(w)
	if i < 0 {
		return
	}
	s.endTask(end)
	s.endJobIfFinal(end.Run.Task.Job, at)
}

// endTask applies the end of a run to its task, or to all tasks of its gang. It ignores the end of a run that is not
// the latest one, and any end of a task that is done.
func (s *State) endTask(end End) {
	key := end.Run.Task
	j, ok := s.jobs.Get(key.Job)
	if !ok {
		return
	}
	t, ok := j.Task(key)
	if !ok || t.Attempt != end.Run.Attempt || t.Phase == TaskDone {
		return
	}
	step := j.Steps[key.Step]
	if end.Kind == EndDone && !step.LongRunning {
		s.recordRunTime(j.Queue, step, t, end.RunTime)
		s.putJob(withDone(j, key, step))
		return
	}
	if end.Kind == EndFailed && !step.LongRunning {
		j = withFailure(j, key, step, end.Run.Attempt, t.Worker)
	}
	t, _ = j.Task(key)
	t.Phase, t.Worker = TaskWaiting, ""
	j = j.WithTask(key, t)
	if end.Checkpoint != "" {
		j = withCheckpoint(j, key, step, end.Checkpoint)
	}
	s.putJob(j)
	if step.Gang {
		s.stopInstance(j, j.Instance(key))
	}
}

// withDone marks a task as done. In a gang it marks all members, since the gang is done once one of them is.
func withDone(j Job, key TaskKey, step modeler.Step) Job {
	markDone := func(t Task) Task {
		t.Phase = TaskDone
		return t
	}
	if step.Gang {
		return j.withInstance(j.Instance(key), markDone)
	}
	return j.WithTask(key, markDone(j.Tasks[j.Instance(key)][key.Index]))
}

// withFailure counts a failed run. A gang's attempt counts once, no matter how many members failed in it.
func withFailure(j Job, key TaskKey, step modeler.Step, attempt int, worker string) Job {
	addFailure := func(t Task) Task {
		if t.FailedAttempt < attempt {
			t.Failures, t.FailedAttempt, t.FailedOn = t.Failures+1, attempt, worker
		}
		return t
	}
	if step.Gang {
		return j.withInstance(j.Instance(key), addFailure)
	}
	return j.WithTask(key, addFailure(j.Tasks[j.Instance(key)][key.Index]))
}

// withCheckpoint sets the checkpoint of a task. A checkpoint of any member applies to the whole gang.
func withCheckpoint(j Job, key TaskKey, step modeler.Step, value string) Job {
	setCheckpoint := func(t Task) Task {
		t.Checkpoint = value
		return t
	}
	if step.Gang {
		return j.withInstance(j.Instance(key), setCheckpoint)
	}
	return j.WithTask(key, setCheckpoint(j.Tasks[j.Instance(key)][key.Index]))
}

// endJobIfFinal ends a job if all of its tasks are done, or if an unfinished task has failed as often as its queue
// allows.
func (s *State) endJobIfFinal(id modeler.JobID, at timekeeper.Millis) {
	j, ok := s.jobs.Get(id)
	if !ok || j.Phase.Ended() {
		return
	}
	if j.allDone() {
		s.endJob(j, JobDone, at)
		return
	}
	queue, known := s.Queue(j.Queue)
	if known && queue.MaxAttempts > 0 && j.maxTaskFailures() >= queue.MaxAttempts {
		s.endJob(j, JobFailed, at)
	}
}

func (j Job) maxTaskFailures() int {
	most := 0
	for _, tasks := range j.Tasks {
		for _, t := range tasks {
			if t.Phase != TaskDone {
				most = max(most, t.Failures)
			}
		}
	}
	return most
}

// assign applies the stops, then the starts. The starts of one gang must be consecutive in the command.
func (s *State) assign(a Assign) {
	for _, key := range a.Stops {
		if j, ok := s.jobs.Get(key.Task.Job); ok {
			if t, ok := j.Task(key.Task); ok && t.Phase == TaskAssigned && t.Attempt == key.Attempt {
				s.stopRun(t.Worker, key)
			}
		}
	}
	for len(a.Starts) > 0 {
		n := s.atomicGroupLen(a.Starts)
		s.startAtomicGroup(a.Starts[:n])
		a.Starts = a.Starts[n:]
	}
}

// atomicGroupLen returns the number of leading starts that are applied atomically: those of one gang, or a single one.
func (s *State) atomicGroupLen(starts []Start) int {
	first := starts[0].Run.Task
	j, ok := s.jobs.Get(first.Job)
	if !ok || first.Step < 0 || first.Step >= len(j.Steps) || !j.Steps[first.Step].Gang {
		return 1
	}
	end := slices.IndexFunc(starts, func(o Start) bool {
		t := o.Run.Task
		return t.Job != first.Job || t.Occurrence != first.Occurrence || t.Step != first.Step
	})
	if end < 0 {
		return len(starts)
	}
	return end
}

// startAtomicGroup applies all starts of a group, or none if any is no longer valid or a member of the gang is missing.
func (s *State) startAtomicGroup(group []Start) {
	next := *s
	for _, start := range group {
		if !next.startRun(start) {
			return
		}
	}
	first := group[0].Run.Task
	j, _ := next.jobs.Get(first.Job)
	if j.Steps[first.Step].Gang && len(group) != j.Steps[first.Step].Count {
		return
	}
	*s = next
}

func (s *State) startRun(start Start) bool {
	key := start.Run.Task
	j, ok := s.jobs.Get(key.Job)
	if !ok || j.Phase.Ended() {
		return false
	}
	t, ok := j.Task(key)
	if !ok || t.Phase != TaskWaiting || start.Run.Attempt <= t.Attempt || !j.InstanceReady(j.Instance(key)) {
		return false
	}
	w, ok := s.workers.Get(start.Worker)
	need := j.Steps[key.Step].Need
	if !ok || !w.Usable() || w.Epoch != start.Epoch || !need.Fits(w.Free()) {
		return false
	}
	t.Phase, t.Worker, t.Attempt, t.Checkpoint = TaskAssigned, start.Worker, start.Run.Attempt, start.Checkpoint
	j.Phase = JobRunning
	s.putJob(j.WithTask(key, t))
	s.putWorker(w.withRun(Run{Key: start.Run, Need: need, Epoch: start.Epoch}))
	return true
}

func (s *State) prune(p Prune) {
	var expired []modeler.JobID
	s.Jobs(func(j Job) {
		if j.Phase.Ended() && j.Ended < p.Before && !s.hasRuns(j) {
			expired = append(expired, j.ID)
		}
	})
	for _, id := range expired {
		s.jobs = s.jobs.Delete(id)
	}
	s.pruneRemovedQueues()
	s.pruneRunTimes()
}

func (s *State) hasRuns(j Job) bool {
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if slices.ContainsFunc(w.Runs, func(r Run) bool { return r.Key.Task.Job == j.ID }) {
			return true
		}
	}
	return false
}
