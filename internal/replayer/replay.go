package replayer

import (
	"container/heap"
	"fmt"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Simulated delays of agents and of the platform, and the length of a replay.
const (
	armDelay           = 100 * timekeeper.Millis(1) // from the arm decision to the report that a member is armed
	reportDelay        = 50 * timekeeper.Millis(1)  // from the end of a member to its report
	checkpointDuration = 400 * timekeeper.Millis(1)
	// horizonMargin is how long a replay continues after the last input.
	horizonMargin = 24 * timekeeper.Hour
)

// Sample is the use of the cluster from At until the next sample.
type Sample struct {
	At            timekeeper.Millis
	ByWorkspace   map[string]int // accelerators in use
	Usable        int            // accelerators of the usable workers
	Fragmentation float64        // 0 to 1
}

// JobResult is the outcome of one job.
type JobResult struct {
	Spec       scheduler.JobSpec
	Submitted  timekeeper.Millis
	Started    timekeeper.Millis // first start, zero if it never ran
	Ended      timekeeper.Millis // zero if it did not end before the horizon
	End        scheduler.End
	Attempts   int
	Reclaimed  bool // other jobs were stopped for its first start
	Guaranteed bool // on submission, a guaranteed gang of its workspace was free and large enough for it
}

// Result is the outcome of a replay.
type Result struct {
	Trace       *Trace
	Variant     Variant
	Jobs        []*JobResult // in order of submission
	Samples     []Sample
	LostWork    int64             // accelerator-milliseconds of run time that no checkpoint kept
	Horizon     timekeeper.Millis // end of the replay
	Quarantined map[string]bool   // workers that were quarantined at some time
	Steps       int               // events that the scheduler processed
	Stops       int               // running attempts that the scheduler stopped
}

// timedEvent is an event of the simulation. Exactly one of input, report and runEnd is set. seq orders events of equal
// time by when they were scheduled.
type timedEvent struct {
	at     timekeeper.Millis
	seq    int
	input  *Event
	report *scheduler.Event
	runEnd *attempt // attempt whose run time is over
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an item, for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }

// Pop removes the last item, for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// attempt is a running attempt of a job.
type attempt struct {
	job     string
	number  int
	started timekeeper.Millis
	ended   bool
}

type replay struct {
	result           *Result
	state            scheduler.State
	now              timekeeper.Millis
	queue            eventQueue
	lastSeq          int
	jobs             map[string]*JobResult
	submissions      map[string]Event // by job
	running          map[string]*attempt
	faulty           map[string]bool
	down             map[string]bool // lost workers
	workers          map[string]placer.Worker
	largestGuarantee placer.Demand
	changed          bool // the state has changed since the last sample
}

// Run replays a trace under a variant. If check is not nil, Run calls it with the state after each event of the trace
// and each simulated report, and returns its first error.
func Run(t *Trace, v Variant, check func(scheduler.State) error) (*Result, error) {
	r := &replay{
		result: &Result{Trace: t, Variant: v, Quarantined: map[string]bool{}},
		jobs:   map[string]*JobResult{}, submissions: map[string]Event{}, running: map[string]*attempt{},
		faulty: map[string]bool{}, down: map[string]bool{}, workers: map[string]placer.Worker{},
	}
	if err := r.prepare(); err != nil {
		return nil, err
	}
	for i := range t.Events {
		r.schedule(t.Events[i].At, timedEvent{input: &t.Events[i]})
	}
	if len(t.Events) > 0 {
		r.result.Horizon = t.Events[len(t.Events)-1].At + horizonMargin
	}
	for r.advance() {
		if err := r.process(heap.Pop(&r.queue).(timedEvent)); err != nil {
			return nil, fmt.Errorf("at %v: %w", r.now, err)
		}
		if check != nil {
			if err := check(r.state); err != nil {
				return nil, fmt.Errorf("at %v: %w", r.now, err)
			}
		}
		r.recordSample()
	}
	r.recordAttempts()
	return r.result, nil
}

func (r *replay) prepare() error {
	t := r.result.Trace
	policy, ok := t.policies()[t.Settings.Preset]
	if !ok {
		return fmt.Errorf("settings: preset %q is not defined", t.Settings.Preset)
	}
	r.state = scheduler.NewState(r.result.Variant.Change(policy))
	for _, w := range t.Topology {
		r.workers[w.ID] = w
		if _, err := r.step(scheduler.Event{WorkerJoined: &w}); err != nil {
			return fmt.Errorf("topology: %w", err)
		}
	}
	for _, w := range t.Settings.Workspaces {
		if _, err := r.step(scheduler.Event{WorkspaceSet: &w}); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		for _, s := range w.Guarantee {
			r.recordGuarantee(s.Demand)
		}
	}
	return nil
}

// recordGuarantee keeps the largest guaranteed demand. Fragmentation is measured against it.
func (r *replay) recordGuarantee(d placer.Demand) {
	if d.Total() > r.largestGuarantee.Total() {
		r.largestGuarantee = d
	}
}

func (r *replay) schedule(at timekeeper.Millis, e timedEvent) {
	r.lastSeq++
	e.at, e.seq = at, r.lastSeq
	heap.Push(&r.queue, e)
}

// advance sets the time to that of the next event and fires the scheduler's timers that are due before it. It reports
// false if no event is left before the horizon.
func (r *replay) advance() bool {
	for {
		due, ok := r.state.NextTimer()
		if ok && (len(r.queue) == 0 || due <= r.queue[0].at) {
			if due > r.result.Horizon || len(r.queue) == 0 && r.state.Queued() == 0 && len(r.running) == 0 {
				return false
			}
			r.now = max(r.now, due)
			_, _ = r.step(scheduler.Event{TimePassed: &scheduler.TimePassed{}})
			r.recordSample()
			continue
		}
		if len(r.queue) == 0 || r.queue[0].at > r.result.Horizon {
			return false
		}
		r.now = max(r.now, r.queue[0].at)
		return true
	}
}

func (r *replay) process(e timedEvent) error {
	switch {
	case e.report != nil:
		_, err := r.step(*e.report)
		return err
	case e.runEnd != nil:
		r.completeAttempt(e.runEnd)
		return nil
	}
	return r.applyInput(*e.input)
}

func (r *replay) applyInput(e Event) error {
	event := scheduler.Event{}
	switch {
	case e.Submit != nil:
		r.recordSubmission(e)
		event.JobSubmitted = e.Submit
	case e.Cancel != nil:
		event.JobsCancelled = &scheduler.JobsCancelled{Jobs: e.Cancel}
	case e.LostWorker != "":
		r.loseWorker(e.LostWorker)
		event.WorkerLost = &scheduler.WorkerLost{Worker: e.LostWorker}
	case e.RejoinedWorker != "":
		delete(r.down, e.RejoinedWorker)
		w := r.workers[e.RejoinedWorker]
		event.WorkerJoined = &w
	case e.FaultyWorker != "":
		r.faulty[e.FaultyWorker] = true
		return nil
	case e.RepairedWorker != "":
		delete(r.faulty, e.RepairedWorker)
		return nil
	case e.DrainedWorker != "":
		event.WorkerDrained = &scheduler.WorkerDrained{Worker: e.DrainedWorker, Drained: true, Evict: true}
	case e.UndrainedWorker != "":
		event.WorkerDrained = &scheduler.WorkerDrained{Worker: e.UndrainedWorker}
	case e.Preset != "":
		policy, ok := r.result.Trace.policies()[e.Preset]
		if !ok {
			return fmt.Errorf("preset %q is not defined in the settings", e.Preset)
		}
		policy = r.result.Variant.Change(policy)
		event.PolicySet = &policy
	default:
		return fmt.Errorf("trace event sets no input")
	}
	_, err := r.step(event)
	return err
}

func (r *replay) recordSubmission(e Event) {
	r.submissions[e.Submit.ID] = e
	job := &JobResult{Spec: *e.Submit, Submitted: r.now, Guaranteed: r.hasFreeGuarantee(*e.Submit)}
	r.jobs[e.Submit.ID] = job
	r.result.Jobs = append(r.result.Jobs, job)
}

// hasFreeGuarantee reports whether a guaranteed gang of the job's workspace is large enough for the job and not needed
// by jobs of the workspace that the job may not preempt. It reports false if the workers that are up have too few
// accelerators for all guarantees.
func (r *replay) hasFreeGuarantee(spec scheduler.JobSpec) bool {
	guaranteed, up := 0, 0
	for id, w := range r.workers {
		if !r.down[id] {
			up += w.Accelerators
		}
	}
	free := false
	for _, w := range r.result.Trace.Settings.Workspaces {
		guaranteed += w.Accelerators()
		if w.Name != spec.Workspace {
			continue
		}
		for _, s := range w.Guarantee {
			fits := s.Demand.Accelerators >= spec.Demand.Accelerators && s.Demand.Members >= spec.Demand.Members &&
				s.Demand.Within <= spec.Demand.Within
			free = free || fits && r.competingJobs(spec) < s.Count
		}
	}
	return free && guaranteed <= up
}

// competingJobs counts the unfinished jobs of the workspace that may not be stopped for this one.
func (r *replay) competingJobs(spec scheduler.JobSpec) int {
	n := 0
	for _, j := range r.result.Jobs {
		stoppable := j.Spec.Class > spec.Class && j.Spec.Repeatable
		if j.Spec.Workspace == spec.Workspace && j.End == scheduler.EndNone && !stoppable {
			n++
		}
	}
	return n
}

func (r *replay) loseWorker(worker string) {
	r.down[worker] = true
	for _, j := range r.state.JobsOn(worker) {
		if a := r.running[j.Spec.ID]; a != nil {
			r.abortAttempt(a, 0)
		}
	}
}

// abortAttempt ends an attempt that did not finish. Run time beyond saved counts as lost work.
func (r *replay) abortAttempt(a *attempt, saved timekeeper.Millis) {
	a.ended = true
	delete(r.running, a.job)
	total := int64(r.submissions[a.job].Submit.Demand.Total())
	r.result.LostWork += int64(r.now-a.started-saved) * total
}

// step applies an event to the scheduler and simulates how agents and the platform execute its decisions.
func (r *replay) step(e scheduler.Event) (scheduler.Output, error) {
	next, out := r.state.Step(r.now, e)
	if out.Err != nil {
		return out, out.Err
	}
	r.state = next
	r.result.Steps++
	r.changed = r.changed || len(out.ChangedWorkers) > 0 || len(out.Decisions) > 0
	for _, d := range out.Decisions {
		r.execute(d)
	}
	return out, nil
}

func (r *replay) execute(d scheduler.Decision) {
	job := r.jobs[d.Job.Spec.ID]
	switch d.Kind {
	case scheduler.DecideRefuse, scheduler.DecideEnd:
		job.Ended, job.End, job.Attempts = r.now, d.Job.End, d.Job.Attempt
	case scheduler.DecidePlace:
		job.Reclaimed = job.Reclaimed || d.Reclaim && job.Started == 0
	case scheduler.DecideArm:
		r.scheduleReports(d.Job, armDelay, func(m *scheduler.MemberReport) scheduler.Event { return scheduler.Event{MemberArmed: m} })
	case scheduler.DecideStart:
		r.startAttempt(job, d.Job)
	case scheduler.DecideStop:
		r.stopAttempt(d.Job)
	}
}

// scheduleReports schedules, after the given delay, a report from each worker on which the job still holds
// accelerators.
func (r *replay) scheduleReports(j *scheduler.Job, after timekeeper.Millis, event func(*scheduler.MemberReport) scheduler.Event) {
	for _, p := range j.Placement {
		if !j.Holds(p.Worker) {
			continue
		}
		e := event(&scheduler.MemberReport{Job: j.Spec.ID, Attempt: j.Attempt, Worker: p.Worker})
		r.schedule(r.now+after, timedEvent{report: &e})
	}
}

func (r *replay) startAttempt(job *JobResult, j *scheduler.Job) {
	if job.Started == 0 {
		job.Started = r.now
	}
	a := &attempt{job: j.Spec.ID, number: j.Attempt, started: r.now}
	r.running[j.Spec.ID] = a
	remaining := max(r.submissions[j.Spec.ID].RunTime-j.SavedRunTime, 1)
	if r.usesFaultyWorker(j) {
		remaining = min(remaining, timekeeper.Second)
	}
	r.schedule(r.now+remaining, timedEvent{runEnd: a})
}

func (r *replay) usesFaultyWorker(j *scheduler.Job) bool {
	return slices.ContainsFunc(j.Placement, func(p placer.Part) bool { return r.faulty[p.Worker] })
}

// completeAttempt handles the end of an attempt's run time. It schedules reports that all members finished, or that one
// failed if the job always fails or runs on a faulty worker.
func (r *replay) completeAttempt(a *attempt) {
	j, ok := r.state.Job(a.job)
	if a.ended || !ok || j.Attempt != a.number {
		return
	}
	fails := r.submissions[a.job].Fails
	for _, p := range j.Placement {
		if fails || r.faulty[p.Worker] {
			r.abortAttempt(a, 0)
			e := scheduler.Event{MemberEnded: &scheduler.MemberReport{
				Job: a.job, Attempt: a.number, Worker: p.Worker, Outcome: scheduler.OutcomeFailed,
			}}
			r.schedule(r.now+reportDelay, timedEvent{report: &e})
			return
		}
	}
	a.ended = true
	delete(r.running, a.job)
	r.scheduleReports(j, reportDelay, func(m *scheduler.MemberReport) scheduler.Event { return scheduler.Event{MemberEnded: m} })
}

// stopAttempt schedules the reports of stopped members. The attempt's run time is saved if the job can checkpoint and
// the checkpoint ends within the grace period.
func (r *replay) stopAttempt(j *scheduler.Job) {
	after, saved := reportDelay, timekeeper.Millis(0)
	a := r.running[j.Spec.ID]
	if a != nil {
		if j.Spec.CanCheckpoint && checkpointDuration <= j.StopDeadline-r.now {
			after, saved = checkpointDuration, r.now-a.started
		}
		r.result.Stops++
		r.abortAttempt(a, saved)
	}
	r.scheduleReports(j, after, func(m *scheduler.MemberReport) scheduler.Event {
		m.Outcome, m.SavedRunTime = scheduler.OutcomeStopped, saved
		return scheduler.Event{MemberEnded: m}
	})
}

// recordSample appends a sample of the accelerators in use if the state has changed since the last one. A sample of the
// same time is replaced.
func (r *replay) recordSample() {
	if !r.changed {
		return
	}
	r.changed = false
	for _, w := range r.state.Quarantined() {
		r.result.Quarantined[w] = true
	}
	s := Sample{At: r.now, ByWorkspace: map[string]int{}}
	for _, share := range r.state.Shares() {
		if n := share.InUse + share.Borrowed; n > 0 {
			s.ByWorkspace[share.Workspace.Name] = n
		}
	}
	r.state.WaitingJobs(func(j *scheduler.Job) { s.ByWorkspace[j.Spec.Workspace] -= j.Spec.Demand.Total() })
	cells := r.state.Cells()
	s.Usable = cells.Total(placer.ByDeclared)
	s.Fragmentation = cells.Fragmentation(r.largestGang())
	if n := len(r.result.Samples); n > 0 && r.result.Samples[n-1].At == r.now {
		r.result.Samples[n-1] = s
		return
	}
	r.result.Samples = append(r.result.Samples, s)
}

// largestGang returns the largest demand among the guarantees and the queued jobs whose members must be adjacent.
func (r *replay) largestGang() placer.Demand {
	largest := r.largestGuarantee
	r.state.QueuedJobs(func(j *scheduler.Job) {
		if d := j.Spec.Demand; d.Total() > largest.Total() && d.Within < placer.LevelCluster {
			largest = d
		}
	})
	return largest
}

func (r *replay) recordAttempts() {
	for _, job := range r.result.Jobs {
		if j, ok := r.state.Job(job.Spec.ID); ok {
			job.Attempts = j.Attempt
		}
	}
}
