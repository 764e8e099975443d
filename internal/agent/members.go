package agent

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// memberState is the state of a job's members at this agent.
type memberState uint8

const (
	stateArmed memberState = iota
	stateRefused
	stateStarting
	stateRunning
	stateStopping
	stateEnded
)

// member is the state of all members of one job at this agent.
type member struct {
	assignment attacher.Assignment
	state      memberState
	leaseEnd   timekeeper.Millis
	outcome    scheduler.Outcome
	saved      timekeeper.Millis // run time saved by the last checkpoint
	reason     string
}

func taskID(job string, attempt int) string { return fmt.Sprintf("%s#%d", job, attempt) }

func (m *member) task() string { return taskID(m.assignment.Job, m.assignment.Attempt) }

// holdsResources reports whether m occupies accelerators and cores.
func (m *member) holdsResources() bool { return m.state != stateRefused && m.state != stateEnded }

// actionKind is the kind of an operation at the platform.
type actionKind uint8

const (
	actionRun  actionKind = iota
	actionStop            // checkpoint if the job supports it, then stop
	actionKill            // stop without a checkpoint
)

type action struct {
	kind       actionKind
	task       string
	assignment attacher.Assignment
	lease      timekeeper.Millis
}

// members is the state machine of the job members at an agent. It does no I/O: it consumes assignments, grants and task
// events, and returns actions for the platform. It is not safe for concurrent use.
//
// Invariants: a task is run only if its member was armed here under the same attempt and its lease has not expired; the
// accelerators of members that hold resources never exceed the worker's.
type members struct {
	worker      placer.Worker
	leaseEnd    timekeeper.Millis // of the agent; the initial lease of a new member
	index       uint64            // log index of assignments
	assignments []attacher.Assignment
	byJob       map[string]*member
	changed     bool     // a status changed since the last call to statuses
	armed       []string // tasks armed since the last call to popArmed
}

func newMembers(w placer.Worker) *members {
	return &members{worker: w, byJob: map[string]*member{}}
}

// applyAssignments replaces the set of assignments. It ignores a set with a lower index than the current one.
func (s *members) applyAssignments(now timekeeper.Millis, assignments attacher.Assignments) []action {
	if assignments.Index < s.index {
		return nil
	}
	s.index, s.assignments = assignments.Index, assignments.Members
	actions := s.removeUnassigned()
	return append(actions, s.reconcile(now)...)
}

// removeUnassigned removes members that are no longer assigned to this agent.
func (s *members) removeUnassigned() []action {
	wanted := map[string]int{}
	for _, o := range s.assignments {
		wanted[o.Job] = o.Attempt
	}
	var actions []action
	for _, job := range slices.Sorted(maps.Keys(s.byJob)) {
		m := s.byJob[job]
		if attempt, ok := wanted[job]; ok && attempt == m.assignment.Attempt {
			continue
		}
		if m.state == stateStarting || m.state == stateRunning || m.state == stateStopping {
			actions = append(actions, action{kind: actionKill, task: m.task()})
		}
		delete(s.byJob, job)
		s.changed = true
	}
	return actions
}

// reconcile moves every member towards its assignment. It must be called again when leases change.
func (s *members) reconcile(now timekeeper.Millis) []action {
	var actions []action
	for _, o := range s.assignments {
		m := s.byJob[o.Job]
		if m == nil {
			s.addMember(now, o)
			m = s.byJob[o.Job]
		}
		if m != nil {
			actions = append(actions, s.advance(now, m, o)...)
		}
	}
	return actions
}

// addMember adds a member for a job that has none here.
func (s *members) addMember(now timekeeper.Millis, assignment attacher.Assignment) {
	m := &member{assignment: assignment, leaseEnd: s.leaseEnd}
	switch {
	case assignment.Phase != scheduler.PhaseArming:
		m.end(scheduler.OutcomeStopped, 0, "this agent does not hold the attempt")
	case now >= s.leaseEnd:
		return // members are armed only under a lease; the next grant retries
	case !s.fits(assignment):
		m.state, m.reason = stateRefused, "the accelerators are still in use"
	default:
		s.armed = append(s.armed, m.task())
	}
	s.byJob[assignment.Job] = m
	s.changed = true
}

func (s *members) fits(assignment attacher.Assignment) bool {
	accelerators, cores := assignment.Members*assignment.Demand.Accelerators, assignment.Members*assignment.Demand.Cores
	for _, m := range s.byJob {
		if m.holdsResources() {
			accelerators += m.assignment.Members * m.assignment.Demand.Accelerators
			cores += m.assignment.Members * m.assignment.Demand.Cores
		}
	}
	return accelerators <= s.worker.Accelerators && cores <= s.worker.Cores
}

func (s *members) advance(now timekeeper.Millis, m *member, assignment attacher.Assignment) []action {
	switch {
	case assignment.Phase == scheduler.PhaseRunning && m.state == stateArmed:
		if now >= m.leaseEnd {
			s.finish(m, scheduler.OutcomeStopped, 0, "the lease ended before the start")
			return nil
		}
		m.state, m.assignment.Phase = stateStarting, assignment.Phase
		s.changed = true
		return []action{{kind: actionRun, task: m.task(), assignment: m.assignment, lease: m.leaseEnd - now}}
	case assignment.Phase == scheduler.PhaseStopping && m.state == stateArmed:
		s.finish(m, scheduler.OutcomeStopped, 0, "")
	case assignment.Phase == scheduler.PhaseStopping && (m.state == stateRunning || m.state == stateStarting):
		m.state, m.assignment.Phase = stateStopping, assignment.Phase
		m.assignment.Grace = assignment.Grace
		s.changed = true
		return []action{{kind: actionStop, task: m.task(), assignment: m.assignment}}
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

// renewLeases extends leases, counted from sent, the time at which the granted heartbeat was sent. It returns the tasks
// to renew at the platform, with the time left to each.
func (s *members) renewLeases(now, sent timekeeper.Millis, g attacher.Grant) map[string]timekeeper.Millis {
	end := sent + g.Lease
	s.leaseEnd = max(s.leaseEnd, end)
	renewals := map[string]timekeeper.Millis{}
	for job, m := range s.byJob {
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

// expireLeases ends members whose lease has expired and returns the tasks to kill. The platform's own lease on them
// expires at the same time.
func (s *members) expireLeases(now timekeeper.Millis) []action {
	var actions []action
	for _, job := range slices.Sorted(maps.Keys(s.byJob)) {
		m := s.byJob[job]
		if now < m.leaseEnd || !m.holdsResources() {
			continue
		}
		if m.state != stateArmed {
			actions = append(actions, action{kind: actionKill, task: m.task(), assignment: m.assignment})
		}
		s.finish(m, scheduler.OutcomeStopped, 0, "the lease ended")
	}
	return actions
}

// taskEnded records that a task ended at the platform.
func (s *members) taskEnded(task string, outcome scheduler.Outcome, saved timekeeper.Millis, reason string) {
	for _, m := range s.byJob {
		if m.task() == task && m.holdsResources() {
			s.finish(m, outcome, saved, reason)
		}
	}
}

// taskStopped records that the platform reported a task as stopped. It ignores tasks that this agent is stopping: for
// these, taskEnded also gives the run time saved by the checkpoint.
func (s *members) taskStopped(task, reason string) {
	for _, m := range s.byJob {
		if m.task() == task && m.state == stateRunning {
			s.finish(m, scheduler.OutcomeStopped, 0, reason)
		}
	}
}

// taskStarted records that the platform runs a task.
func (s *members) taskStarted(task string) {
	for _, m := range s.byJob {
		if m.task() == task && m.state == stateStarting {
			m.state = stateRunning
			s.changed = true
		}
	}
}

// popArmed returns the tasks armed since its last call.
func (s *members) popArmed() []string {
	armed := s.armed
	s.armed = nil
	return armed
}

func (s *members) runningTasks() []string {
	var tasks []string
	for _, m := range s.byJob {
		if m.state == stateRunning {
			tasks = append(tasks, m.task())
		}
	}
	return tasks
}

// statuses returns the status of every member, sorted by job, and clears changed.
func (s *members) statuses() []attacher.MemberStatus {
	s.changed = false
	list := make([]attacher.MemberStatus, 0, len(s.byJob))
	for _, job := range slices.Sorted(maps.Keys(s.byJob)) {
		list = append(list, s.byJob[job].status())
	}
	return list
}

func (m *member) status() attacher.MemberStatus {
	states := [...]attacher.MemberState{
		stateArmed: attacher.MembersArmed, stateRefused: attacher.MembersRefused, stateStarting: attacher.MembersRunning,
		stateRunning: attacher.MembersRunning, stateStopping: attacher.MembersRunning, stateEnded: attacher.MembersEnded,
	}
	return attacher.MemberStatus{
		Job: m.assignment.Job, Attempt: m.assignment.Attempt, State: states[m.state], Outcome: m.outcome, SavedRunTime: m.saved, Reason: m.reason,
	}
}
