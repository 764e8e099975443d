package distributor

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/liaison"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// recordingLog keeps what is proposed; with a machine it applies it too, as a follower that does not lag.
type recordingLog struct {
	commands []registrar.Command
	machine  *registrar.Machine
}

func (l *recordingLog) Propose(_ context.Context, c registrar.Command) (registrar.Answer, error) {
	l.commands = append(l.commands, c)
	return registrar.Answer{}, nil
}

// TestAnnouncementsAreProposedOnAStaleState lets a backend server leave and come back while the entry's state lags.
// The fault was seen in the rolling restarts of package prover: the return was taken for known, and the backend server
// stayed leaving for good. This test was not run against the code of then, whose hub took no other log.
func TestAnnouncementsAreProposedOnAStaleState(t *testing.T) {
	log := &recordingLog{}
	h := NewHub(log, registrar.NewMachine(nil), logger.Logger{})
	a := registrar.Agent{ID: "w", Incarnation: "1", Runner: &registrar.Runner{Service: "app", Slots: 8}}
	gone := a
	gone.Runner = &registrar.Runner{Service: "app", Slots: 8, Leaving: true}
	var want []bool
	for _, next := range []registrar.Agent{a, gone, a} {
		if err := h.announce(context.Background(), next); err != nil {
			t.Fatal(err)
		}
		want = append(want, next.Runner.Leaving)
	}
	var got []bool
	for _, c := range log.commands {
		got = append(got, c.Attach.Runner.Leaving)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("announcements proposed (-want +got):\n%s", diff)
	}
}

// TestOrdersAndReports follows one job from arming to its end between an entry's state and an agent's statuses.
func TestOrdersAndReports(t *testing.T) {
	machine := registrar.NewMachine(nil)
	log := &recordingLog{machine: machine}
	h := NewHub(log, machine, logger.Logger{})
	state := registrar.New()
	index := uint64(0)
	apply := func(c registrar.Command) {
		index++
		state, _ = state.Apply(index, c)
	}
	agent := registrar.Agent{ID: "w", Incarnation: "1", Worker: &placer.Worker{ID: "w", Accelerators: 8, Cores: 8}}
	apply(registrar.Command{Attach: &agent})
	apply(registrar.Command{Change: &registrar.Change{Seen: 1, Workspace: &scheduler.Workspace{Name: "ws"}}})
	spec := scheduler.JobSpec{ID: "ws/j", Workspace: "ws", Repeatable: true, Demand: placer.Demand{Members: 2, Accelerators: 4}}
	apply(registrar.Command{Events: []scheduler.Event{{JobSubmitted: &spec}}})

	a := &attachment{agent: agent, members: map[string]liaison.MemberStatus{}, mail: newMailbox()}
	orders := h.ordersFor(state, a)
	if len(orders.Members) != 1 || orders.Members[0].Phase != scheduler.PhaseArming || orders.Members[0].Members != 2 {
		t.Fatalf("orders %+v, want two members arming", orders)
	}
	status := liaison.MemberStatus{Job: "ws/j", Attempt: 1, State: liaison.MembersArmed}
	e, news := newsOf(state.Scheduler, "w", status)
	if !news || e.MemberArmed == nil {
		t.Fatalf("armed members are no news: %+v", e)
	}
	apply(registrar.Command{Events: []scheduler.Event{e}})
	if _, news := newsOf(state.Scheduler, "w", status); news {
		t.Error("what the state knows is reported again")
	}
	if orders := h.ordersFor(state, a); orders.Members[0].Phase != scheduler.PhaseRunning {
		t.Errorf("order is %v, want running", orders.Members[0].Phase)
	}
	old := liaison.MemberStatus{Job: "ws/j", Attempt: 0, State: liaison.MembersEnded}
	if _, news := newsOf(state.Scheduler, "w", old); news {
		t.Error("a report of another attempt is passed on")
	}
	other := *a
	other.agent.Incarnation = "2"
	if orders := h.ordersFor(state, &other); len(orders.Members) != 0 {
		t.Errorf("an agent process that the state does not know is ordered %+v", orders.Members)
	}
}

// TestMailboxKeepsTheNewest checks that a slow agent gets the present orders, and grants beside them.
func TestMailboxKeepsTheNewest(t *testing.T) {
	m := newMailbox()
	for i := range uint64(5) {
		m.put(&liaison.Orders{Index: i}, &liaison.Config{Revision: i})
	}
	m.grant(&liaison.Grant{Serial: 9})
	got := m.take()
	if got.Orders.Index != 4 || got.Config.Revision != 4 || got.Grant.Serial != 9 {
		t.Errorf("took %+v, want the newest of each", got)
	}
}
