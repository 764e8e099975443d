package agent

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/liaison"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// memberState is how far a job's members are at this agent.
type memberState uint8

const (
	stateArmed memberState = iota
	stateRefused
	stateStarting
	stateRunning
	stateStopping
	stateEnded
)

// member is what this agent holds of one job.
type member struct {
	order    liaison.Order
	state    memberState
	leaseEnd timekeeper.Millis
	outcome  scheduler.Outcome
	saved    timekeeper.Millis
	reason   string
}

func taskID(job string, attempt int) string { return fmt.Sprintf("%s#%d", job, attempt) }

func (m *member) task() string { return taskID(m.order.Job, m.order.Attempt) }

// holds reports whether the member occupies accelerators.
func (m *member) holds() bool { return m.state != stateRefused && m.state != stateEnded }

// actionKind is something to do at the platform.
type actionKind uint8

const (
	actionRun  actionKind = iota
	actionStop            // checkpoint where possible, then stop
	actionKill            // stop at once
)

type action struct {
	kind  actionKind
	task  string
	order liaison.Order
	lease timekeeper.Millis
}

// members is what an agent holds, without I/O: orders, grants and the platform's news go in, actions come out.
//
// Invariants: a task is run only for a member that was armed here under the same attempt and whose lease holds; the
// accelerators of members that hold never exceed the worker's. It belongs to one goroutine.
type members struct {
	worker   placer.Worker
	leaseEnd timekeeper.Millis // of the agent: what a new member's lease starts with
	index    uint64            // of the newest orders
	orders   []liaison.Order
	held     map[string]*member // by job
	changed  bool               // a status changed since the last call of statuses
	armed    []string           // tasks armed since the last call of takeArmed
}

func newMembers(w placer.Worker) *members {
	return &members{worker: w, held: map[string]*member{}}
}

// obey takes the whole set of orders; an older set than the last is ignored.
func (s *members) obey(now timekeeper.Millis, o liaison.Orders) []action {
	if o.Index < s.index {
		return nil
	}
	s.index, s.orders = o.Index, o.Members
	actions := s.dropUnordered()
	return append(actions, s.pursue(now)...)
}

// dropUnordered lets go of members that are no longer wanted here.
func (s *members) dropUnordered() []action {
	wanted := map[string]int{}
	for _, o := range s.orders {
		wanted[o.Job] = o.Attempt
	}
	var actions []action
	for _, job := range slices.Sorted(maps.Keys(s.held)) {
		m := s.held[job]
		if attempt, ok := wanted[job]; ok && attempt == m.order.Attempt {
			continue
		}
		if m.state == stateStarting || m.state == stateRunning || m.state == stateStopping {
			actions = append(actions, action{kind: actionKill, task: m.task()})
		}
		delete(s.held, job)
		s.changed = true
	}
	return actions
}

// pursue brings every member closer to its order. It is called again when time or leases move on.
func (s *members) pursue(now timekeeper.Millis) []action {
	var actions []action
	for _, o := range s.orders {
		m := s.held[o.Job]
		if m == nil {
			s.begin(now, o)
			m = s.held[o.Job]
		}
		if m != nil {
			actions = append(actions, s.advance(now, m, o)...)
		}
	}
	return actions
}

// begin takes up an order for a job of which nothing is held.
func (s *members) begin(now timekeeper.Millis, o liaison.Order) {
	m := &member{order: o, leaseEnd: s.leaseEnd}
	switch {
	case o.Phase != scheduler.PhaseArming:
		m.end(scheduler.OutcomeStopped, 0, "this agent does not hold the attempt")
	case now >= s.leaseEnd:
		return // without a lease nothing is armed; the next grant brings it up again
	case !s.fits(o):
		m.state, m.reason = stateRefused, "the accelerators are still in use"
	default:
		s.armed = append(s.armed, m.task())
	}
	s.held[o.Job] = m
	s.changed = true
}

func (s *members) fits(o liaison.Order) bool {
	accelerators, cores := o.Members*o.Demand.Accelerators, o.Members*o.Demand.Cores
	for _, m := range s.held {
		if m.holds() {
			accelerators += m.order.Members * m.order.Demand.Accelerators
			cores += m.order.Members * m.order.Demand.Cores
		}
	}
	return accelerators <= s.worker.Accelerators && cores <= s.worker.Cores
}

func (s *members) advance(now timekeeper.Millis, m *member, o liaison.Order) []action {
	switch {
	case o.Phase == scheduler.PhaseRunning && m.state == stateArmed:
		if now >= m.leaseEnd {
			s.finish(m, scheduler.OutcomeStopped, 0, "the lease ended before the start")
			return nil
		}
		m.state, m.order.Phase = stateStarting, o.Phase
		s.changed = true
		return []action{{kind: actionRun, task: m.task(), order: m.order, lease: m.leaseEnd - now}}
	case o.Phase == scheduler.PhaseStopping && m.state == stateArmed:
		s.finish(m, scheduler.OutcomeStopped, 0, "")
	case o.Phase == scheduler.PhaseStopping && (m.state == stateRunning || m.state == stateStarting):
		m.state, m.order.Phase = stateStopping, o.Phase
		m.order.Grace = o.Grace
		s.changed = true
		return []action{{kind: actionStop, task: m.task(), order: m.order}}
	}
	return nil
}

func (m *member) end(outcome scheduler.Outcome, saved timekeeper.Millis, reason string) {
	m.state, m.outcome, m.saved, m.reason = stateEnded, outcome, saved, reason
}

func (s *members) finish(m *member, outcome scheduler.Outcome, saved timekeeper.Millis, reason string) {
	m.end(outcome, saved, reason)
	s.changed = true
}

// grant renews leases from the time the granted beat was sent, and returns the tasks to renew at the platform.
func (s *members) grant(now, sent timekeeper.Millis, g liaison.Grant) map[string]timekeeper.Millis {
	end := sent + g.Lease
	s.leaseEnd = max(s.leaseEnd, end)
	renewals := map[string]timekeeper.Millis{}
	for job, m := range s.held {
		if slices.Contains(g.Denied, job) || m.leaseEnd <= now {
			continue
		}
		m.leaseEnd = max(m.leaseEnd, end)
		if m.state == stateRunning || m.state == stateStarting || m.state == stateStopping {
			renewals[m.task()] = m.leaseEnd - now
		}
	}
	return renewals
}

// expire ends members whose lease has ended, and returns what to kill. The platform's own lease on them ends at the
// same time.
func (s *members) expire(now timekeeper.Millis) []action {
	var actions []action
	for _, job := range slices.Sorted(maps.Keys(s.held)) {
		m := s.held[job]
		if now < m.leaseEnd || !m.holds() {
			continue
		}
		if m.state != stateArmed {
			actions = append(actions, action{kind: actionKill, task: m.task(), order: m.order})
		}
		s.finish(m, scheduler.OutcomeStopped, 0, "the lease ended")
	}
	return actions
}

// taskEnded takes the end of a task at the platform.
func (s *members) taskEnded(task string, outcome scheduler.Outcome, saved timekeeper.Millis, reason string) {
	for _, m := range s.held {
		if m.task() == task && m.holds() {
			s.finish(m, outcome, saved, reason)
		}
	}
}

// taskStopped takes the platform's word that a task stopped. While this agent itself stops it, the end comes with
// what the checkpoint saved.
func (s *members) taskStopped(task, reason string) {
	for _, m := range s.held {
		if m.task() == task && m.state == stateRunning {
			s.finish(m, scheduler.OutcomeStopped, 0, reason)
		}
	}
}

// taskStarted takes the platform's word that a task runs.
func (s *members) taskStarted(task string) {
	for _, m := range s.held {
		if m.task() == task && m.state == stateStarting {
			m.state = stateRunning
			s.changed = true
		}
	}
}

func (s *members) takeArmed() []string {
	armed := s.armed
	s.armed = nil
	return armed
}

func (s *members) runningTasks() []string {
	var tasks []string
	for _, m := range s.held {
		if m.state == stateRunning {
			tasks = append(tasks, m.task())
		}
	}
	return tasks
}

func (s *members) statuses() []liaison.MemberStatus {
	s.changed = false
	list := make([]liaison.MemberStatus, 0, len(s.held))
	for _, job := range slices.Sorted(maps.Keys(s.held)) {
		list = append(list, s.held[job].status())
	}
	return list
}

func (m *member) status() liaison.MemberStatus {
	states := [...]liaison.MemberState{
		stateArmed: liaison.MembersArmed, stateRefused: liaison.MembersRefused, stateStarting: liaison.MembersRunning,
		stateRunning: liaison.MembersRunning, stateStopping: liaison.MembersRunning, stateEnded: liaison.MembersEnded,
	}
	return liaison.MemberStatus{
		Job: m.order.Job, Attempt: m.order.Attempt, State: states[m.state], Outcome: m.outcome, Saved: m.saved, Reason: m.reason,
	}
}
