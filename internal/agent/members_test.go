package agent

import (
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/testseeder"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

func TestMain(m *testing.M) {
	testseeder.SetDefaults(1, 1000)
	os.Exit(m.Run())
}

// fakeTasks is a fake platform: the running tasks, with the times at which their leases expire.
type fakeTasks map[string]timekeeper.Millis

func (f fakeTasks) execute(t *rapid.T, now timekeeper.Millis, actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actionRun:
			if a.lease <= 0 {
				t.Fatalf("%s is run without a lease", a.task)
			}
			f[a.task] = now + a.lease
		default:
			delete(f, a.task)
		}
	}
}

func drawAssignments(t *rapid.T, index uint64) attacher.Assignments {
	assignments := attacher.Assignments{Index: index}
	for i := range rapid.IntRange(0, 3).Draw(t, "assignments") {
		assignments.Members = append(assignments.Members, attacher.Assignment{
			Job: fmt.Sprint("j", i), Attempt: rapid.IntRange(1, 2).Draw(t, "attempt"),
			Phase:   rapid.SampledFrom([]scheduler.Phase{scheduler.PhaseArming, scheduler.PhaseRunning, scheduler.PhaseStopping}).Draw(t, "phase"),
			Members: rapid.IntRange(1, 4).Draw(t, "members"), Demand: placer.Demand{Accelerators: 2, Cores: 1},
		})
	}
	return assignments
}

// TestTasksRunOnlyWhenArmedAndLeased drives members with random assignments (stale and new), grants (with denials) and
// gaps in time. It checks that a task is run only under an attempt that was armed here before, that no task's lease
// outlasts the last heartbeat by more than the granted lease, and that held members fit the worker's accelerators.
func TestTasksRunOnlyWhenArmedAndLeased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMembers(placer.Worker{Accelerators: 8, Cores: 8})
		tasks := fakeTasks{}
		armed := map[string]bool{}
		now, heartbeat := timekeeper.Millis(0), timekeeper.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += timekeeper.Millis(rapid.SampledFrom([]int{0, 100, 500, 3500}).Draw(t, "pause"))
			var actions []action
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				actions = s.applyAssignments(now, drawAssignments(t, rapid.Uint64Range(0, 20).Draw(t, "index")))
			case 2:
				heartbeat = now
			case 3:
				denied := []string{fmt.Sprint("j", rapid.IntRange(0, 5).Draw(t, "denied"))}
				for task, left := range s.renewLeases(now, heartbeat, attacher.Grant{Lease: 3000, Denied: denied}) {
					if _, runs := tasks[task]; runs {
						tasks[task] = now + left
					}
				}
				actions = s.reconcile(now)
			case 4:
				actions = s.expireLeases(now)
			}
			for _, a := range actions {
				if a.kind == actionRun && !armed[a.task] {
					t.Fatalf("%s is run but was not armed here", a.task)
				}
			}
			tasks.execute(t, now, actions)
			s.checkCapacity(t, now, armed)
			for task, until := range tasks {
				if until > heartbeat+3000 {
					t.Fatalf("%s may run until %v, %v after the last heartbeat, want at most 3000ms", task, until, until-heartbeat)
				}
			}
		}
	})
}

// checkCapacity checks that held members fit the worker, and adds the armed ones to armed.
func (s *members) checkCapacity(t *rapid.T, now timekeeper.Millis, armed map[string]bool) {
	used := 0
	for _, m := range s.byJob {
		if m.state == stateArmed {
			armed[m.task()] = true
		}
		if m.holdsResources() {
			used += m.assignment.Members * m.assignment.Demand.Accelerators
		}
	}
	if used > s.worker.Accelerators {
		t.Fatalf("%d accelerators held of %d at %v", used, s.worker.Accelerators, now)
	}
}

// TestStartAfterLeaseExpiryIsRefused assigns the start of a job after the lease of its armed members has expired.
func TestStartAfterLeaseExpiryIsRefused(t *testing.T) {
	s := newMembers(placer.Worker{Accelerators: 8, Cores: 8})
	s.renewLeases(0, 0, attacher.Grant{Lease: 3000})
	assignment := attacher.Assignment{Job: "j", Attempt: 1, Phase: scheduler.PhaseArming, Members: 1, Demand: placer.Demand{Accelerators: 8}}
	s.applyAssignments(100, attacher.Assignments{Index: 1, Members: []attacher.Assignment{assignment}})
	assignment.Phase = scheduler.PhaseRunning
	if actions := s.applyAssignments(3000, attacher.Assignments{Index: 2, Members: []attacher.Assignment{assignment}}); len(actions) != 0 {
		t.Errorf("start after the lease expired gave actions %+v, want none", actions)
	}
	if got := s.statuses()[0]; got.State != attacher.MembersEnded || got.Outcome != scheduler.OutcomeStopped {
		t.Errorf("status %+v, want ended as stopped", got)
	}
}
