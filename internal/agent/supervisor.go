package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/liaison"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/worker"
)

const (
	leaseCheck   = 100 * time.Millisecond
	idleCheck    = 2 * time.Second
	platformCall = 2 * time.Second
	taskWait     = 2 * timekeeper.Second
	taskPause    = 200 * time.Millisecond
	// overuse is the share of its declared cores that a task may use before it is throttled to them, seen in
	// two reports in a row since usage lags.
	overuse = 1.5
)

// platform is the worker interface as the supervisor uses it.
type platform interface {
	Run(context.Context, worker.Task) error
	Renew(context.Context, worker.Renewal) error
	Checkpoint(context.Context, string) (timekeeper.Millis, error)
	Throttle(context.Context, string, int) error
	Stop(context.Context, string) error
	Tasks(context.Context, uint64, timekeeper.Millis) (worker.Tasks, error)
}

// news is what a call at the platform brought.
type news struct {
	task    string
	started bool
	ended   bool
	stopped bool // by the platform itself, or by a call that tells the end on its own
	outcome scheduler.Outcome
	saved   timekeeper.Millis
	reason  string
	listed  map[string]bool // every task that the platform knows
}

// supervisor owns the members at one worker and does their actions at the platform. Its goroutine is the only one
// that touches members; calls run beside it and tell what came of them on the news channel.
type supervisor struct {
	platform platform
	clock    timekeeper.Clock
	log      logger.Logger
	members  *members

	orders chan liaison.Orders
	grants chan sentGrant
	asks   chan ask
	news   chan news
	ended  chan struct{} // closed when run returns
	wake   chan struct{} // a task may run: watch the platform
	over   map[string]int
	missed map[string]int // running tasks that the platform did not list, with how often
}

// sentGrant is a grant with the time at which the beat it answers was sent.
type sentGrant struct {
	grant liaison.Grant
	sent  timekeeper.Millis
}

func newSupervisor(p platform, w placer.Worker, clock timekeeper.Clock, log logger.Logger) *supervisor {
	return &supervisor{
		platform: p, clock: clock, log: log, members: newMembers(w),
		orders: make(chan liaison.Orders), grants: make(chan sentGrant),
		asks: make(chan ask), news: make(chan news), wake: make(chan struct{}, 1),
		over: map[string]int{}, missed: map[string]int{}, ended: make(chan struct{}),
	}
}

// run supervises until ctx ends.
func (s *supervisor) run(ctx context.Context) error {
	defer close(s.ended)
	watched := make(chan error, 1)
	go func() { watched <- s.watch(ctx) }()
	check := time.NewTimer(idleCheck)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-watched
		case o := <-s.orders:
			s.do(ctx, s.members.obey(s.clock.Now(), o))
			check.Reset(leaseCheck)
		case g := <-s.grants:
			s.takeGrant(ctx, g)
			check.Reset(s.pauseBetweenChecks())
		case n := <-s.news:
			s.takeNews(n)
		case q := <-s.asks:
			s.reply(q)
		case <-check.C:
			s.fence(ctx)
			check.Reset(s.pauseBetweenChecks())
		}
	}
}

// pauseBetweenChecks is long while nothing is held whose lease could end.
func (s *supervisor) pauseBetweenChecks() time.Duration {
	if len(s.members.held) == 0 {
		return idleCheck
	}
	return leaseCheck
}

// ask is a question for the statuses of members; without all it is answered by nil when none has changed since the
// last such question.
type ask struct {
	all    bool
	answer chan []liaison.MemberStatus
}

// statuses asks the supervisor's goroutine; it returns nil when that has ended.
func (s *supervisor) statuses(all bool) []liaison.MemberStatus {
	q := ask{all, make(chan []liaison.MemberStatus, 1)}
	select {
	case s.asks <- q:
		return <-q.answer
	case <-s.ended:
		return nil
	}
}

func (s *supervisor) reply(q ask) {
	if !q.all && !s.members.changed {
		q.answer <- nil
		return
	}
	changed := s.members.changed
	list := s.members.statuses()
	s.members.changed = changed && q.all // only a beat counts as told
	q.answer <- list
}

func (s *supervisor) takeGrant(ctx context.Context, g sentGrant) {
	now := s.clock.Now()
	renewals := s.members.grant(now, g.sent, g.grant)
	s.do(ctx, s.members.pursue(now))
	if len(renewals) == 0 {
		return
	}
	go func() {
		call, cancel := context.WithTimeout(ctx, platformCall)
		defer cancel()
		if err := s.platform.Renew(call, worker.Renewal{Leases: renewals}); err != nil {
			s.log.Log(logger.WorkerCallFailed, logger.F("call", "renew"), logger.F("error", err))
		}
	}()
}

func (s *supervisor) fence(ctx context.Context) {
	actions := s.members.expire(s.clock.Now())
	for _, a := range actions {
		s.log.Log(logger.MembersFenced, logger.F("task", a.task))
	}
	s.do(ctx, actions)
}

func (s *supervisor) takeNews(n news) {
	if n.started {
		s.members.taskStarted(n.task)
	}
	if n.listed != nil {
		s.noteMissing(n.listed)
	}
	if n.stopped {
		s.members.taskStopped(n.task, n.reason)
	}
	if n.ended {
		s.members.taskEnded(n.task, n.outcome, n.saved, n.reason)
		s.log.Log(logger.MembersEnded, logger.F("task", n.task), logger.F("outcome", int(n.outcome)), logger.F("reason", n.reason))
	}
}

// noteMissing ends running members whose task the platform has twice not listed: it was started anew.
func (s *supervisor) noteMissing(listed map[string]bool) {
	for _, task := range s.members.runningTasks() {
		if listed[task] {
			delete(s.missed, task)
			continue
		}
		s.missed[task]++
		if s.missed[task] > 1 {
			delete(s.missed, task)
			s.members.taskStopped(task, "the platform does not know the task")
		}
	}
}

func (s *supervisor) do(ctx context.Context, actions []action) {
	for _, task := range s.members.takeArmed() {
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
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *supervisor) tell(ctx context.Context, n news) {
	select {
	case s.news <- n:
	case <-ctx.Done():
	}
}

// start runs a task. Where the call's outcome is not known the task is stopped before the attempt is given up, so
// that nothing runs that is told as stopped; its lease bounds it in any case.
func (s *supervisor) start(ctx context.Context, a action) {
	call, cancel := context.WithTimeout(ctx, platformCall)
	defer cancel()
	err := s.platform.Run(call, worker.Task{
		ID: a.task, Members: a.order.Members, Accelerators: a.order.Demand.Accelerators, Cores: a.order.Demand.Cores,
		Payload: a.order.Payload, Resume: a.order.Resume, Lease: a.lease,
	})
	if err == nil {
		s.tell(ctx, news{task: a.task, started: true})
		return
	}
	s.log.Log(logger.WorkerCallFailed, logger.F("call", "run"), logger.F("task", a.task), logger.F("error", err))
	s.kill(ctx, a.task)
	s.tell(ctx, news{task: a.task, ended: true, outcome: scheduler.OutcomeFailed, reason: err.Error()})
}

// stop checkpoints within the grace where the job can, then stops.
func (s *supervisor) stop(ctx context.Context, a action) {
	var saved timekeeper.Millis
	if a.order.Checkpoint && a.order.Grace > 0 {
		call, cancel := context.WithTimeout(ctx, a.order.Grace.Duration())
		kept, err := s.platform.Checkpoint(call, a.task)
		cancel()
		if err == nil {
			saved = kept
		} else {
			s.log.Log(logger.WorkerCallFailed, logger.F("call", "checkpoint"), logger.F("task", a.task), logger.F("error", err))
		}
	}
	s.kill(ctx, a.task)
	if ctx.Err() == nil {
		s.tell(ctx, news{task: a.task, ended: true, outcome: scheduler.OutcomeStopped, saved: saved})
	}
}

// kill stops a task, trying until the platform answers; a task that the platform does not know has stopped.
func (s *supervisor) kill(ctx context.Context, task string) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, platformCall)
		err := s.platform.Stop(call, task)
		cancel()
		var status *worker.StatusError
		if err == nil || errors.As(err, &status) {
			return
		}
		s.log.Log(logger.WorkerCallFailed, logger.F("call", "stop"), logger.F("task", task), logger.F("error", err))
		sleep(ctx, taskPause)
	}
}

// watch follows the states of tasks while any may run.
func (s *supervisor) watch(ctx context.Context) error {
	var version uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for idle := 0; idle < 2 && ctx.Err() == nil; idle++ {
			tasks, err := s.platform.Tasks(ctx, version, taskWait)
			if err != nil {
				sleep(ctx, taskPause)
				continue
			}
			if tasks.Version < version {
				version = 0 // the platform was started anew
				continue
			}
			version = tasks.Version
			if s.takeTasks(ctx, tasks) {
				idle = -1
			}
		}
	}
}

// takeTasks tells what ended and reports whether any task runs.
func (s *supervisor) takeTasks(ctx context.Context, tasks worker.Tasks) bool {
	running := false
	listed := make(map[string]bool, len(tasks.Tasks))
	for _, t := range tasks.Tasks {
		listed[t.ID] = true
		switch t.State {
		case worker.StateRunning:
			running = true
			s.watchUse(ctx, t)
		case worker.StateFinished:
			s.tell(ctx, news{task: t.ID, ended: true, outcome: scheduler.OutcomeFinished})
		case worker.StateFailed:
			s.tell(ctx, news{task: t.ID, ended: true, outcome: scheduler.OutcomeFailed, reason: t.Reason})
		case worker.StateStopped:
			s.tell(ctx, news{task: t.ID, stopped: true, reason: t.Reason})
		}
	}
	s.tell(ctx, news{listed: listed})
	return running
}

// watchUse throttles a task that uses more than its declared cores in two reports in a row: one alone may be old.
func (s *supervisor) watchUse(ctx context.Context, t worker.TaskState) {
	if t.DeclaredCores == 0 || t.UsedCores <= overuse*float64(t.DeclaredCores) {
		delete(s.over, t.ID)
		return
	}
	s.over[t.ID]++
	if s.over[t.ID] < 2 {
		return
	}
	call, cancel := context.WithTimeout(ctx, platformCall)
	defer cancel()
	if err := s.platform.Throttle(call, t.ID, t.DeclaredCores); err != nil {
		s.log.Log(logger.WorkerCallFailed, logger.F("call", "throttle"), logger.F("task", t.ID), logger.F("error", err))
	}
}

// idle reports whether no member is held; an agent without a worker is always idle.
func (s *supervisor) idle() bool {
	if s == nil {
		return true
	}
	return !slices.ContainsFunc(s.statuses(true), func(m liaison.MemberStatus) bool { return m.State != liaison.MembersEnded })
}

// stopAll stops whatever still runs.
func (s *supervisor) stopAll(ctx context.Context) {
	if s == nil {
		return
	}
	for _, m := range s.statuses(true) {
		if m.State == liaison.MembersRunning {
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
