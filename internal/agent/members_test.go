package agent

import (
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/liaison"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/seeder"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

func TestMain(m *testing.M) {
	seeder.Fix(1, 1000)
	os.Exit(m.Run())
}

// fakeTasks is the platform: it keeps what runs and until when.
type fakeTasks map[string]timekeeper.Millis

func (f fakeTasks) do(t *rapid.T, now timekeeper.Millis, actions []action) {
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

func drawOrders(t *rapid.T, index uint64) liaison.Orders {
	o := liaison.Orders{Index: index}
	for i := range rapid.IntRange(0, 3).Draw(t, "orders") {
		o.Members = append(o.Members, liaison.Order{
			Job: fmt.Sprint("j", i), Attempt: rapid.IntRange(1, 2).Draw(t, "attempt"),
			Phase:   rapid.SampledFrom([]scheduler.Phase{scheduler.PhaseArming, scheduler.PhaseRunning, scheduler.PhaseStopping}).Draw(t, "phase"),
			Members: rapid.IntRange(1, 4).Draw(t, "members"), Demand: placer.Demand{Accelerators: 2, Cores: 1},
		})
	}
	return o
}

// TestNothingRunsWithoutArmingAndLease drives an agent's members with random orders (old and new), grants (with
// denials) and silences, and checks that a task is only run under an attempt that was armed here before, never beyond
// its lease, and that the accelerators suffice for all that is held.
func TestNothingRunsWithoutArmingAndLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMembers(placer.Worker{Accelerators: 8, Cores: 8})
		tasks := fakeTasks{}
		armed := map[string]bool{}
		now, beat := timekeeper.Millis(0), timekeeper.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += timekeeper.Millis(rapid.SampledFrom([]int{0, 100, 500, 3500}).Draw(t, "pause"))
			var actions []action
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				actions = s.obey(now, drawOrders(t, rapid.Uint64Range(0, 20).Draw(t, "index")))
			case 2:
				beat = now
			case 3:
				denied := []string{fmt.Sprint("j", rapid.IntRange(0, 5).Draw(t, "denied"))}
				for task, left := range s.grant(now, beat, liaison.Grant{Lease: 3000, Denied: denied}) {
					if _, runs := tasks[task]; runs {
						tasks[task] = now + left
					}
				}
				actions = s.pursue(now)
			case 4:
				actions = s.expire(now)
			}
			for _, a := range actions {
				if a.kind == actionRun && !armed[a.task] {
					t.Fatalf("%s is run and was not armed here", a.task)
				}
			}
			tasks.do(t, now, actions)
			s.checkHeld(t, now, armed)
			for task, until := range tasks {
				if until > beat+3000 {
					t.Fatalf("%s may run until %v, %v after the last beat that was granted", task, until, until-beat)
				}
			}
		}
	})
}

func (s *members) checkHeld(t *rapid.T, now timekeeper.Millis, armed map[string]bool) {
	used := 0
	for _, m := range s.held {
		if m.state == stateArmed {
			armed[m.task()] = true
		}
		if m.holds() {
			used += m.order.Members * m.order.Demand.Accelerators
		}
	}
	if used > s.worker.Accelerators {
		t.Fatalf("%d accelerators held of %d at %v", used, s.worker.Accelerators, now)
	}
}

// TestLateStartIsRefused gives the order to start after the lease of the armed members has ended.
func TestLateStartIsRefused(t *testing.T) {
	s := newMembers(placer.Worker{Accelerators: 8, Cores: 8})
	s.grant(0, 0, liaison.Grant{Lease: 3000})
	order := liaison.Order{Job: "j", Attempt: 1, Phase: scheduler.PhaseArming, Members: 1, Demand: placer.Demand{Accelerators: 8}}
	s.obey(100, liaison.Orders{Index: 1, Members: []liaison.Order{order}})
	order.Phase = scheduler.PhaseRunning
	if actions := s.obey(3000, liaison.Orders{Index: 2, Members: []liaison.Order{order}}); len(actions) != 0 {
		t.Errorf("a start after the lease gave %+v", actions)
	}
	if got := s.statuses()[0]; got.State != liaison.MembersEnded || got.Outcome != scheduler.OutcomeStopped {
		t.Errorf("status %+v, want ended as stopped", got)
	}
}
