package tracker

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Apply returns the state after a command, and the command's answer.
func (s State) Apply(index uint64, c Command) (State, Answer) {
	s.Index = index
	answer := Answer{Code: Accepted}
	switch {
	case c.Configure != nil:
		s.configure(*c.Configure)
	case c.Submit != nil:
		s.submit(*c.Submit)
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
	case c.Forget != nil:
		s.forget(*c.Forget)
	default:
		answer.Code = Invalid
	}
	answer.Index = index
	return s, answer
}

// configure keeps the newest version; one that is not newer changes nothing.
func (s *State) configure(c modeler.Configuration) {
	if c.Version <= s.Configuration.Version {
		return
	}
	s.Configuration = c
	for it := s.runTimes.Iterator(); !it.Done(); {
		queue, _, _ := it.Next()
		if _, kept := c.Queue(queue); !kept {
			s.runTimes = s.runTimes.Delete(queue)
		}
	}
}

// submit adds a job; the same id sent again is the same job.
func (s *State) submit(j modeler.Job) {
	if _, known := s.jobs.Get(j.ID); !known {
		s.putJob(newJob(j))
	}
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
	if known && w.Life.ID == a.Life.ID && a.Life.Born < w.Life.Born {
		return Stale, 0
	}
	if known && w.Life == a.Life && w.Process == a.Process && !w.Gone {
		return Accepted, w.Epoch
	}
	if w.Life != a.Life {
		w.Recorded = 0
	}
	w.Name, w.Life, w.Process, w.Profile = a.Worker, a.Life, a.Process, a.Profile
	w.Gone, w.Draining = false, a.Draining
	w.Epoch++
	s.putWorker(w)
	return Accepted, w.Epoch
}

func (s *State) detach(d Detach) Code {
	w, ok := s.workers.Get(d.Worker)
	if !ok || w.Epoch != d.Epoch || w.Gone {
		return Stale
	}
	w = s.abandonRuns(w, d.Saved)
	w.Gone = true
	s.putWorker(w)
	return Accepted
}

func (s *State) drain(d Drain) Code {
	w, ok := s.workers.Get(d.Worker)
	if !ok || w.Epoch != d.Epoch || w.Gone {
		return Stale
	}
	w.Draining = true
	s.putWorker(w)
	return Accepted
}

func (s *State) report(r Report) Code {
	w, ok := s.workers.Get(r.Worker)
	if !ok || w.Epoch != r.Epoch || w.Gone {
		return Stale
	}
	for _, end := range r.Ends {
		s.recordEnd(r.Worker, end, r.At)
	}
	return Accepted
}

func (s *State) recordEnd(worker string, end End, at timekeeper.Millis) {
	w, _ := s.workers.Get(worker)
	w.Recorded = max(w.Recorded, end.Number)
	held := w.runIndex(end.Run)
	if held >= 0 {
		w = w.withoutRun(held)
	}
	s.putWorker(w)
	if held < 0 {
		return
	}
	s.endTask(end)
	s.endJobIfFinal(end.Run.Task.Job, at)
}

// endTask notes the end of a run on its task.
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
		s.recordRunTime(j.Queue, step, t, end.Took)
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

// withDone marks a task as done; one member's end is the end of its whole gang.
func withDone(j Job, key TaskKey, step modeler.Step) Job {
	done := func(t Task) Task {
		t.Phase = TaskDone
		return t
	}
	if step.Gang {
		return j.withInstance(j.Instance(key), done)
	}
	return j.WithTask(key, done(j.Tasks[j.Instance(key)][key.Index]))
}

// withFailure counts a failed run, for a gang once however many members failed in the same attempt.
func withFailure(j Job, key TaskKey, step modeler.Step, attempt int, worker string) Job {
	count := func(t Task) Task {
		if t.FailedAttempt < attempt {
			t.Failures, t.FailedAttempt, t.FailedOn = t.Failures+1, attempt, worker
		}
		return t
	}
	if step.Gang {
		return j.withInstance(j.Instance(key), count)
	}
	return j.WithTask(key, count(j.Tasks[j.Instance(key)][key.Index]))
}

// withCheckpoint keeps a checkpoint; any member's is good for the whole gang.
func withCheckpoint(j Job, key TaskKey, step modeler.Step, value string) Job {
	keep := func(t Task) Task {
		t.Checkpoint = value
		return t
	}
	if step.Gang {
		return j.withInstance(j.Instance(key), keep)
	}
	return j.WithTask(key, keep(j.Tasks[j.Instance(key)][key.Index]))
}

// endJobIfFinal ends a job that has nothing left to do, or of which a task has failed too often.
func (s *State) endJobIfFinal(id modeler.JobID, at timekeeper.Millis) {
	j, ok := s.jobs.Get(id)
	if !ok || j.Phase.Ended() {
		return
	}
	if j.allDone() {
		s.endJob(j, JobDone, at)
		return
	}
	queue, known := s.Configuration.Queue(j.Queue)
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

// assign applies the stops, then the starts; the starts of one gang stand together in the command.
func (s *State) assign(a Assign) {
	for _, key := range a.Stops {
		if j, ok := s.jobs.Get(key.Task.Job); ok {
			if t, ok := j.Task(key.Task); ok && t.Phase == TaskAssigned && t.Attempt == key.Attempt {
				s.stopRun(t.Worker, key)
			}
		}
	}
	for len(a.Starts) > 0 {
		n := s.gangLen(a.Starts)
		s.startGang(a.Starts[:n])
		a.Starts = a.Starts[n:]
	}
}

// gangLen returns how many of the first starts take effect together.
func (s *State) gangLen(starts []Start) int {
	first := starts[0].Run.Task
	j, ok := s.jobs.Get(first.Job)
	if !ok || first.Step < 0 || first.Step >= len(j.Steps) || !j.Steps[first.Step].Gang {
		return 1
	}
	other := slices.IndexFunc(starts, func(o Start) bool {
		t := o.Run.Task
		return t.Job != first.Job || t.Occurrence != first.Occurrence || t.Step != first.Step
	})
	if other < 0 {
		return len(starts)
	}
	return other
}

// startGang starts all of a group or, if any start no longer fits the state, none.
func (s *State) startGang(group []Start) {
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

func (s *State) startRun(order Start) bool {
	key := order.Run.Task
	j, ok := s.jobs.Get(key.Job)
	if !ok || j.Phase.Ended() {
		return false
	}
	t, ok := j.Task(key)
	if !ok || t.Phase != TaskWaiting || order.Run.Attempt <= t.Attempt || !j.Ready(j.Instance(key)) {
		return false
	}
	w, ok := s.workers.Get(order.Worker)
	need := j.Steps[key.Step].Need
	if !ok || !w.Usable() || w.Epoch != order.Epoch || !need.Fits(w.Free()) {
		return false
	}
	t.Phase, t.Worker, t.Attempt, t.Checkpoint = TaskAssigned, order.Worker, order.Run.Attempt, order.Checkpoint
	j.Phase = JobRunning
	s.putJob(j.WithTask(key, t))
	s.putWorker(w.withRun(Run{Key: order.Run, Need: need, Epoch: order.Epoch}))
	return true
}

func (s *State) forget(f Forget) {
	var old []modeler.JobID
	s.Jobs(func(j Job) {
		if j.Phase.Ended() && j.Ended < f.Before && !s.hasRuns(j) {
			old = append(old, j.ID)
		}
	})
	for _, id := range old {
		s.jobs = s.jobs.Delete(id)
	}
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
