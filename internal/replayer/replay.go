package replayer

import (
	"container/heap"
	"fmt"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// How long agents and the platform take in a replay.
const (
	armTime        = 100 * timekeeper.Millis(1) // from a decision to the report that members are armed
	reportTime     = 50 * timekeeper.Millis(1)  // from an end to its report
	checkpointTime = 400 * timekeeper.Millis(1)
	// tail is how long a replay goes on after the last input.
	tail = 24 * timekeeper.Hour
)

// Sample is the state of the cluster from At until the next sample.
type Sample struct {
	At            timekeeper.Millis
	ByWorkspace   map[string]int // accelerators that jobs hold
	Usable        int
	Fragmentation float64
}

// JobResult is how one job went.
type JobResult struct {
	Spec       scheduler.JobSpec
	Submitted  timekeeper.Millis
	Started    timekeeper.Millis // first start, zero if it never ran
	Ended      timekeeper.Millis // zero if it had not ended
	End        scheduler.End
	Attempts   int
	Reclaimed  bool // others were stopped for its first start
	Guaranteed bool // a guaranteed shape of its workspace was free to hold it when it was submitted
}

// Result is what came of a replay.
type Result struct {
	Trace       *Trace
	Variant     Variant
	Jobs        []*JobResult // in order of submission
	Samples     []Sample
	Lost        int64 // accelerator-milliseconds that ran and were thrown away
	Horizon     timekeeper.Millis
	Quarantined map[string]bool
	Steps       int
	Stops       int // jobs stopped for others
}

// item is something that will happen in a replay.
type item struct {
	at     timekeeper.Millis
	serial int
	input  *Event
	report *scheduler.Event
	run    *attempt // with finish: the attempt's run time is over
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an item, for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

// Pop removes the last item, for container/heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// attempt is a gang that runs in the replay.
type attempt struct {
	job     string
	number  int
	started timekeeper.Millis
	ended   bool
}

type replay struct {
	result  *Result
	state   scheduler.State
	now     timekeeper.Millis
	queue   queue
	serial  int
	jobs    map[string]*JobResult
	truth   map[string]Event // submissions, by job
	running map[string]*attempt
	bad     map[string]bool
	down    map[string]bool
	workers map[string]placer.Worker
	largest placer.Demand
	changed bool // since the last sample
}

// Run replays a trace under a variant; check, which may be nil, sees the state after every step.
func Run(t *Trace, v Variant, check func(scheduler.State) error) (*Result, error) {
	r := &replay{
		result: &Result{Trace: t, Variant: v, Quarantined: map[string]bool{}},
		jobs:   map[string]*JobResult{}, truth: map[string]Event{}, running: map[string]*attempt{},
		bad: map[string]bool{}, down: map[string]bool{}, workers: map[string]placer.Worker{},
	}
	if err := r.prepare(); err != nil {
		return nil, err
	}
	for i := range t.Events {
		r.push(t.Events[i].At, item{input: &t.Events[i]})
	}
	if len(t.Events) > 0 {
		r.result.Horizon = t.Events[len(t.Events)-1].At + tail
	}
	for r.advance() {
		if err := r.happen(heap.Pop(&r.queue).(item)); err != nil {
			return nil, fmt.Errorf("at %v: %w", r.now, err)
		}
		if check != nil {
			if err := check(r.state); err != nil {
				return nil, fmt.Errorf("at %v: %w", r.now, err)
			}
		}
		r.sample()
	}
	r.finish()
	return r.result, nil
}

func (r *replay) prepare() error {
	t := r.result.Trace
	policy, ok := t.policies()[t.Settings.Preset]
	if !ok {
		return fmt.Errorf("settings: preset %q is not among the presets", t.Settings.Preset)
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
			r.noteLargest(s.Demand)
		}
	}
	return nil
}

// noteLargest keeps the largest adjacent gang that is guaranteed; fragmentation is measured against it.
func (r *replay) noteLargest(d placer.Demand) {
	if d.Total() > r.largest.Total() {
		r.largest = d
	}
}

func (r *replay) push(at timekeeper.Millis, i item) {
	r.serial++
	i.at, i.serial = at, r.serial
	heap.Push(&r.queue, i)
}

// advance moves to the next item, letting timers fire that are due before it; it reports whether there is one before
// the horizon.
func (r *replay) advance() bool {
	for {
		due, has := r.state.NextDue()
		if has && (len(r.queue) == 0 || due <= r.queue[0].at) {
			if due > r.result.Horizon || len(r.queue) == 0 && r.state.Queued() == 0 && len(r.running) == 0 {
				return false
			}
			r.now = max(r.now, due)
			_, _ = r.step(scheduler.Event{TimePassed: &scheduler.TimePassed{}})
			r.sample()
			continue
		}
		if len(r.queue) == 0 || r.queue[0].at > r.result.Horizon {
			return false
		}
		r.now = max(r.now, r.queue[0].at)
		return true
	}
}

func (r *replay) happen(i item) error {
	switch {
	case i.report != nil:
		_, err := r.step(*i.report)
		return err
	case i.run != nil:
		r.endRun(i.run)
		return nil
	}
	return r.takeInput(*i.input)
}

func (r *replay) takeInput(e Event) error {
	event := scheduler.Event{}
	switch {
	case e.Submit != nil:
		r.noteSubmission(e)
		event.JobSubmitted = e.Submit
	case e.Cancel != nil:
		event.JobsCancelled = &scheduler.JobsCancelled{Jobs: e.Cancel}
	case e.Lost != "":
		r.loseWorker(e.Lost)
		event.WorkerLost = &scheduler.WorkerLost{Worker: e.Lost}
	case e.Back != "":
		delete(r.down, e.Back)
		w := r.workers[e.Back]
		event.WorkerJoined = &w
	case e.Bad != "":
		r.bad[e.Bad] = true
		return nil
	case e.Good != "":
		delete(r.bad, e.Good)
		return nil
	case e.Drain != "":
		event.WorkerDrained = &scheduler.WorkerDrained{Worker: e.Drain, Drained: true, Evict: true}
	case e.Undrain != "":
		event.WorkerDrained = &scheduler.WorkerDrained{Worker: e.Undrain}
	case e.Preset != "":
		policy, ok := r.result.Trace.policies()[e.Preset]
		if !ok {
			return fmt.Errorf("preset %q is not among the presets", e.Preset)
		}
		policy = r.result.Variant.Change(policy)
		event.PolicySet = &policy
	default:
		return fmt.Errorf("empty event")
	}
	_, err := r.step(event)
	return err
}

func (r *replay) noteSubmission(e Event) {
	r.truth[e.Submit.ID] = e
	job := &JobResult{Spec: *e.Submit, Submitted: r.now, Guaranteed: r.guaranteeFree(*e.Submit)}
	r.jobs[e.Submit.ID] = job
	r.result.Jobs = append(r.result.Jobs, job)
}

// guaranteeFree reports whether a guaranteed gang of the job's workspace holds it and none of the workspace's jobs
// that it may not stop has a claim to that, as far as the workers that are up can serve all guarantees at all.
func (r *replay) guaranteeFree(spec scheduler.JobSpec) bool {
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
			free = free || fits && r.rivals(spec) < s.Count
		}
	}
	return free && guaranteed <= up
}

// rivals counts the workspace's jobs that have not ended and may not be stopped for this one.
func (r *replay) rivals(spec scheduler.JobSpec) int {
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
			r.dropRun(a, 0)
		}
	}
}

// dropRun ends an attempt that did not finish; what no checkpoint kept is lost work.
func (r *replay) dropRun(a *attempt, saved timekeeper.Millis) {
	a.ended = true
	delete(r.running, a.job)
	total := int64(r.truth[a.job].Submit.Demand.Total())
	r.result.Lost += int64(r.now-a.started-saved) * total
}

// step feeds an event to the scheduler and lets agents and platform obey what it decides.
func (r *replay) step(e scheduler.Event) (scheduler.Output, error) {
	next, out := r.state.Step(r.now, e)
	if out.Err != nil {
		return out, out.Err
	}
	r.state = next
	r.result.Steps++
	r.changed = r.changed || len(out.Touched) > 0 || len(out.Decisions) > 0
	for _, d := range out.Decisions {
		r.obey(d)
	}
	return out, nil
}

func (r *replay) obey(d scheduler.Decision) {
	job := r.jobs[d.Job.Spec.ID]
	switch d.Kind {
	case scheduler.DecideRefuse, scheduler.DecideEnd:
		job.Ended, job.End, job.Attempts = r.now, d.Job.End, d.Job.Attempt
	case scheduler.DecidePlace:
		job.Reclaimed = job.Reclaimed || d.Reclaim && job.Started == 0
	case scheduler.DecideArm:
		r.eachPart(d.Job, armTime, func(m *scheduler.MemberReport) scheduler.Event { return scheduler.Event{MemberArmed: m} })
	case scheduler.DecideStart:
		r.startRun(job, d.Job)
	case scheduler.DecideStop:
		r.stopRun(d.Job)
	}
}

// eachPart schedules a report of every part that has not left.
func (r *replay) eachPart(j *scheduler.Job, after timekeeper.Millis, event func(*scheduler.MemberReport) scheduler.Event) {
	for _, p := range j.Placement {
		if !j.Holds(p.Worker) {
			continue
		}
		e := event(&scheduler.MemberReport{Job: j.Spec.ID, Attempt: j.Attempt, Worker: p.Worker})
		r.push(r.now+after, item{report: &e})
	}
}

func (r *replay) startRun(job *JobResult, j *scheduler.Job) {
	if job.Started == 0 {
		job.Started = r.now
	}
	a := &attempt{job: j.Spec.ID, number: j.Attempt, started: r.now}
	r.running[j.Spec.ID] = a
	remaining := max(r.truth[j.Spec.ID].Run-j.Saved, 1)
	if r.onBadWorker(j) {
		remaining = min(remaining, timekeeper.Second)
	}
	r.push(r.now+remaining, item{run: a})
}

func (r *replay) onBadWorker(j *scheduler.Job) bool {
	return slices.ContainsFunc(j.Placement, func(p placer.Part) bool { return r.bad[p.Worker] })
}

// endRun reports that an attempt's run time is over: finished, or failed on one worker.
func (r *replay) endRun(a *attempt) {
	j, ok := r.state.Job(a.job)
	if a.ended || !ok || j.Attempt != a.number {
		return
	}
	fails := r.truth[a.job].Fails
	for _, p := range j.Placement {
		if fails || r.bad[p.Worker] {
			r.dropRun(a, 0)
			e := scheduler.Event{MemberEnded: &scheduler.MemberReport{
				Job: a.job, Attempt: a.number, Worker: p.Worker, Outcome: scheduler.OutcomeFailed,
			}}
			r.push(r.now+reportTime, item{report: &e})
			return
		}
	}
	a.ended = true
	delete(r.running, a.job)
	r.eachPart(j, reportTime, func(m *scheduler.MemberReport) scheduler.Event { return scheduler.Event{MemberEnded: m} })
}

// stopRun lets members checkpoint where they can within the grace, and stop.
func (r *replay) stopRun(j *scheduler.Job) {
	after, saved := reportTime, timekeeper.Millis(0)
	a := r.running[j.Spec.ID]
	if a != nil {
		if j.Spec.Checkpoint && checkpointTime <= j.StopBy-r.now {
			after, saved = checkpointTime, r.now-a.started
		}
		r.result.Stops++
		r.dropRun(a, saved)
	}
	r.eachPart(j, after, func(m *scheduler.MemberReport) scheduler.Event {
		m.Outcome, m.Saved = scheduler.OutcomeStopped, saved
		return scheduler.Event{MemberEnded: m}
	})
}

// sample notes how the accelerators are used, when that has changed.
func (r *replay) sample() {
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
	s.Fragmentation = cells.Fragmentation(r.wanted())
	if n := len(r.result.Samples); n > 0 && r.result.Samples[n-1].At == r.now {
		r.result.Samples[n-1] = s
		return
	}
	r.result.Samples = append(r.result.Samples, s)
}

// wanted returns the largest adjacent gang that is guaranteed or queued.
func (r *replay) wanted() placer.Demand {
	largest := r.largest
	r.state.QueuedJobs(func(j *scheduler.Job) {
		if d := j.Spec.Demand; d.Total() > largest.Total() && d.Within < placer.LevelCluster {
			largest = d
		}
	})
	return largest
}

func (r *replay) finish() {
	for _, job := range r.result.Jobs {
		if j, ok := r.state.Job(job.Spec.ID); ok {
			job.Attempts = j.Attempt
		}
	}
}
