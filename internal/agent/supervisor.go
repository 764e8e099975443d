package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/worker"
)

const (
	leaseCheckInterval  = 100 * time.Millisecond
	idleCheckInterval   = 2 * time.Second
	platformCallTimeout = 2 * time.Second
	taskPollTimeout     = 2 * timekeeper.Second
	taskRetryDelay      = 200 * time.Millisecond
	// throttleThreshold is the multiple of its declared cores that a task may use. A task above it in two reports in a
	// row is throttled to its declared cores; one report is not enough, since reported usage lags.
	throttleThreshold = 1.5
)

// platform is the subset of worker.Client that the supervisor uses.
type platform interface {
	Run(context.Context, worker.Task) error
	Renew(context.Context, worker.Renewal) error
	Checkpoint(context.Context, string) (timekeeper.Millis, error)
	Throttle(context.Context, string, int) error
	Stop(context.Context, string) error
	Tasks(context.Context, uint64, timekeeper.Millis) (worker.Tasks, error)
}

// taskEvent is the result of a platform call, or a state change that the platform reported.
type taskEvent struct {
	task    string
	started bool
	ended   bool
	stopped bool // by the platform itself, or by a call that reports the end separately
	outcome scheduler.Outcome
	saved   timekeeper.Millis
	reason  string
	listed  map[string]bool // all tasks known to the platform; nil in other events
}

// supervisor owns the members at one worker and executes their actions at the platform. Only the goroutine of run
// accesses members. Platform calls run in other goroutines, which report their results on taskEvents.
type supervisor struct {
	platform platform
	clock    timekeeper.Clock
	log      logger.Logger
	members  *members

	assignments    chan attacher.Assignments
	grants         chan sentGrant
	statusRequests chan statusRequest
	taskEvents     chan taskEvent
	done           chan struct{}  // closed when run returns
	tasksChanged   chan struct{}  // signals watchTasks that a task may be running
	overuseReports map[string]int // by task: reports in a row above throttleThreshold
	missingReports map[string]int // by running task: lists in a row without it
}

// sentGrant is a grant with the send time of the heartbeat that it answers.
type sentGrant struct {
	grant  attacher.Grant
	sentAt timekeeper.Millis
}

func newSupervisor(p platform, w placer.Worker, clock timekeeper.Clock, log logger.Logger) *supervisor {
	return &supervisor{
		platform: p, clock: clock, log: log, members: newMembers(w),
		assignments: make(chan attacher.Assignments), grants: make(chan sentGrant),
		statusRequests: make(chan statusRequest), taskEvents: make(chan taskEvent), tasksChanged: make(chan struct{}, 1),
		overuseReports: map[string]int{}, missingReports: map[string]int{}, done: make(chan struct{}),
	}
}

// run supervises the worker until ctx ends.
func (s *supervisor) run(ctx context.Context) error {
	defer close(s.done)
	watched := make(chan error, 1)
	go func() { watched <- s.watchTasks(ctx) }()
	check := time.NewTimer(idleCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-watched
		case o := <-s.assignments:
			s.execute(ctx, s.members.applyAssignments(s.clock.Now(), o))
			check.Reset(leaseCheckInterval)
		case g := <-s.grants:
			s.handleGrant(ctx, g)
			check.Reset(s.checkInterval())
		case e := <-s.taskEvents:
			s.handleTaskEvent(e)
		case q := <-s.statusRequests:
			s.reply(q)
		case <-check.C:
			s.expireLeases(ctx)
			check.Reset(s.checkInterval())
		}
	}
}

// checkInterval returns the time until the next check of leases. It is longer while there are no members.
func (s *supervisor) checkInterval() time.Duration {
	if len(s.members.byJob) == 0 {
		return idleCheckInterval
	}
	return leaseCheckInterval
}

// statusRequest asks for the statuses of members. Unless all is set, the reply is nil if none has changed since the
// last request without all.
type statusRequest struct {
	all   bool
	reply chan []attacher.MemberStatus
}

// statuses returns the statuses of members, as a statusRequest does, or nil if run has returned.
func (s *supervisor) statuses(all bool) []attacher.MemberStatus {
	q := statusRequest{all, make(chan []attacher.MemberStatus, 1)}
	select {
	case s.statusRequests <- q:
		return <-q.reply
	case <-s.done:
		return nil
	}
}

func (s *supervisor) reply(q statusRequest) {
	if !q.all && !s.members.changed {
		q.reply <- nil
		return
	}
	changed := s.members.changed
	list := s.members.statuses()
	s.members.changed = changed && q.all // a request for all does not count as reporting the changes
	q.reply <- list
}

func (s *supervisor) handleGrant(ctx context.Context, g sentGrant) {
	now := s.clock.Now()
	renewals := s.members.renewLeases(now, g.sentAt, g.grant)
	s.execute(ctx, s.members.reconcile(now))
	if len(renewals) == 0 {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		if err := s.platform.Renew(callCtx, worker.Renewal{Leases: renewals}); err != nil {
			s.log.Log(logger.WorkerCallFailed, logger.F("call", "renew"), logger.F("error", err))
		}
	}()
}

func (s *supervisor) expireLeases(ctx context.Context) {
	actions := s.members.expireLeases(s.clock.Now())
	for _, a := range actions {
		s.log.Log(logger.MembersFenced, logger.F("task", a.task))
	}
	s.execute(ctx, actions)
}

func (s *supervisor) handleTaskEvent(e taskEvent) {
	if e.started {
		s.members.taskStarted(e.task)
	}
	if e.listed != nil {
		s.updateMissing(e.listed)
	}
	if e.stopped {
		s.members.taskStopped(e.task, e.reason)
	}
	if e.ended {
		s.members.taskEnded(e.task, e.outcome, e.saved, e.reason)
		s.log.Log(logger.MembersEnded, logger.F("task", e.task), logger.F("outcome", int(e.outcome)), logger.F("reason", e.reason))
	}
}

// updateMissing ends running members whose task was missing from two lists in a row, as after a restart of the
// platform.
func (s *supervisor) updateMissing(listed map[string]bool) {
	for _, task := range s.members.runningTasks() {
		if listed[task] {
			delete(s.missingReports, task)
			continue
		}
		s.missingReports[task]++
		if s.missingReports[task] > 1 {
			delete(s.missingReports, task)
			s.members.taskStopped(task, "the platform does not know the task")
		}
	}
}

func (s *supervisor) execute(ctx context.Context, actions []action) {
	for _, task := range s.members.popArmed() {
		s.log.Log(logger.MembersArmed, logger.F("task", task))
	}
	for _, a := range actions {
		switch a.kind {
		case actionRun:
			s.log.Log(logger.MembersStarted, logger.F("task", a.task))
			go s.start(ctx, a)
		case actionStop:
			go s.stop(ctx, a)
		case actionKill:
			go s.kill(ctx, a.task)
		}
	}
	if len(actions) > 0 {
		select {
		case s.tasksChanged <- struct{}{}:
		default:
		}
	}
}

func (s *supervisor) sendTaskEvent(ctx context.Context, e taskEvent) {
	select {
	case s.taskEvents <- e:
	case <-ctx.Done():
	}
}

// start runs a task. If the call fails, its outcome may be unknown, so start stops the task before it reports failure:
// a task that is reported as ended must not run. Its lease bounds it in any case.
func (s *supervisor) start(ctx context.Context, a action) {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	err := s.platform.Run(callCtx, worker.Task{
		ID: a.task, Members: a.assignment.Members, Accelerators: a.assignment.Demand.Accelerators, Cores: a.assignment.Demand.Cores,
		Payload: a.assignment.Payload, Resume: a.assignment.Resume, Lease: a.lease,
	})
	if err == nil {
		s.sendTaskEvent(ctx, taskEvent{task: a.task, started: true})
		return
	}
	s.log.Log(logger.WorkerCallFailed, logger.F("call", "run"), logger.F("task", a.task), logger.F("error", err))
	s.kill(ctx, a.task)
	s.sendTaskEvent(ctx, taskEvent{task: a.task, ended: true, outcome: scheduler.OutcomeFailed, reason: err.Error()})
}

// stop checkpoints the task within its grace period if the job supports it, then stops it.
func (s *supervisor) stop(ctx context.Context, a action) {
	var saved timekeeper.Millis
	if a.assignment.Checkpoint && a.assignment.Grace > 0 {
		callCtx, cancel := context.WithTimeout(ctx, a.assignment.Grace.Duration())
		kept, err := s.platform.Checkpoint(callCtx, a.task)
		cancel()
		if err == nil {
			saved = kept
		} else {
			s.log.Log(logger.WorkerCallFailed, logger.F("call", "checkpoint"), logger.F("task", a.task), logger.F("error", err))
		}
	}
	s.kill(ctx, a.task)
	if ctx.Err() == nil {
		s.sendTaskEvent(ctx, taskEvent{task: a.task, ended: true, outcome: scheduler.OutcomeStopped, saved: saved})
	}
}

// kill stops a task. It retries until the platform responds. An error status counts as success: a task that the
// platform does not know has stopped.
func (s *supervisor) kill(ctx context.Context, task string) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		err := s.platform.Stop(callCtx, task)
		cancel()
		var status *worker.StatusError
		if err == nil || errors.As(err, &status) {
			return
		}
		s.log.Log(logger.WorkerCallFailed, logger.F("call", "stop"), logger.F("task", task), logger.F("error", err))
		sleep(ctx, taskRetryDelay)
	}
}

// watchTasks polls the states of tasks while any may be running.
func (s *supervisor) watchTasks(ctx context.Context) error {
	var version uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.tasksChanged:
		}
		for idle := 0; idle < 2 && ctx.Err() == nil; idle++ {
			tasks, err := s.platform.Tasks(ctx, version, taskPollTimeout)
			if err != nil {
				sleep(ctx, taskRetryDelay)
				continue
			}
			if tasks.Version < version {
				version = 0 // the platform restarted
				continue
			}
			version = tasks.Version
			if s.handleTasks(ctx, tasks) {
				idle = -1
			}
		}
	}
}

// handleTasks sends an event for every ended task and reports whether any task is running.
func (s *supervisor) handleTasks(ctx context.Context, tasks worker.Tasks) bool {
	running := false
	listed := make(map[string]bool, len(tasks.Tasks))
	for _, t := range tasks.Tasks {
		listed[t.ID] = true
		switch t.State {
		case worker.StateRunning:
			running = true
			s.throttleOveruse(ctx, t)
		case worker.StateFinished:
			s.sendTaskEvent(ctx, taskEvent{task: t.ID, ended: true, outcome: scheduler.OutcomeFinished})
		case worker.StateFailed:
			s.sendTaskEvent(ctx, taskEvent{task: t.ID, ended: true, outcome: scheduler.OutcomeFailed, reason: t.Reason})
		case worker.StateStopped:
			s.sendTaskEvent(ctx, taskEvent{task: t.ID, stopped: true, reason: t.Reason})
		}
	}
	s.sendTaskEvent(ctx, taskEvent{listed: listed})
	return running
}

// throttleOveruse throttles a task to its declared cores if it exceeded throttleThreshold in two reports in a row.
func (s *supervisor) throttleOveruse(ctx context.Context, t worker.TaskState) {
	if t.DeclaredCores == 0 || t.UsedCores <= throttleThreshold*float64(t.DeclaredCores) {
		delete(s.overuseReports, t.ID)
		return
	}
	s.overuseReports[t.ID]++
	if s.overuseReports[t.ID] < 2 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	if err := s.platform.Throttle(callCtx, t.ID, t.DeclaredCores); err != nil {
		s.log.Log(logger.WorkerCallFailed, logger.F("call", "throttle"), logger.F("task", t.ID), logger.F("error", err))
	}
}

// idle reports whether all members have ended. A nil supervisor, of an agent without a worker, is idle.
func (s *supervisor) idle() bool {
	if s == nil {
		return true
	}
	return !slices.ContainsFunc(s.statuses(true), func(m attacher.MemberStatus) bool { return m.State != attacher.MembersEnded })
}

// stopAll stops all running members without a checkpoint. It does nothing on a nil supervisor.
func (s *supervisor) stopAll(ctx context.Context) {
	if s == nil {
		return
	}
	for _, m := range s.statuses(true) {
		if m.State == attacher.MembersRunning {
			s.kill(ctx, taskID(m.Job, m.Attempt))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
