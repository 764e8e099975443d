package distributor

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// recordingProposer is a proposer that records the proposed commands.
type recordingProposer struct {
	commands []registrar.Command
	machine  *registrar.Machine
}

func (l *recordingProposer) Propose(_ context.Context, c registrar.Command) (registrar.Answer, error) {
	l.commands = append(l.commands, c)
	return registrar.Answer{}, nil
}

// TestEachAnnouncementIsProposed checks that the hub proposes every announcement, also one that equals an earlier one.
// A hub that skips announcements that its state already has loses some if that state is stale: when a backend server
// starts to leave and then returns, the return is not proposed, and the backend server stays marked as draining.
func TestEachAnnouncementIsProposed(t *testing.T) {
	client := &recordingProposer{}
	h := NewHub(client, registrar.NewMachine(nil), logger.Logger{})
	a := registrar.Agent{ID: "w", Incarnation: "1", Runner: &registrar.Runner{Service: "app", Slots: 8}}
	leaving := a
	leaving.Runner = &registrar.Runner{Service: "app", Slots: 8, Draining: true}
	var want []bool
	for _, next := range []registrar.Agent{a, leaving, a} {
		if err := h.proposeAttach(context.Background(), next); err != nil {
			t.Fatal(err)
		}
		want = append(want, next.Runner.Draining)
	}
	var got []bool
	for _, c := range client.commands {
		got = append(got, c.Attach.Runner.Draining)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("announcements proposed (-want +got):\n%s", diff)
	}
}

// TestAssignmentsAndReportsOfOneJob follows one job from its submission until it runs. It checks the assignments that
// the state gives, and that a status is reported only if it is of the current attempt and not yet in the state. An
// agent process that the state does not have gets no assignments.
func TestAssignmentsAndReportsOfOneJob(t *testing.T) {
	machine := registrar.NewMachine(nil)
	client := &recordingProposer{machine: machine}
	h := NewHub(client, machine, logger.Logger{})
	state := registrar.New()
	index := uint64(0)
	apply := func(c registrar.Command) {
		index++
		state, _ = state.Apply(index, c)
	}
	agent := registrar.Agent{ID: "w", Incarnation: "1", Worker: &placer.Worker{ID: "w", Accelerators: 8, Cores: 8}}
	apply(registrar.Command{Attach: &agent})
	apply(registrar.Command{Change: &registrar.Change{BaseRevision: 1, Workspace: &scheduler.Workspace{Name: "ws"}}})
	spec := scheduler.JobSpec{ID: "ws/j", Workspace: "ws", Repeatable: true, Demand: placer.Demand{Members: 2, Accelerators: 4}}
	apply(registrar.Command{Events: []scheduler.Event{{JobSubmitted: &spec}}})

	a := &attachment{agent: agent, members: map[string]attacher.MemberStatus{}, mailbox: newMailbox()}
	assignments := h.assignmentsFor(state, a)
	if len(assignments.Members) != 1 || assignments.Members[0].Phase != scheduler.PhaseArming || assignments.Members[0].Members != 2 {
		t.Fatalf("assignments %+v, want two members arming", assignments)
	}
	status := attacher.MemberStatus{Job: "ws/j", Attempt: 1, State: attacher.MembersArmed}
	e, needed := eventFor(state.Scheduler, "w", status)
	if !needed || e.MemberArmed == nil {
		t.Fatalf("no report for armed members: %+v", e)
	}
	apply(registrar.Command{Events: []scheduler.Event{e}})
	if _, needed := eventFor(state.Scheduler, "w", status); needed {
		t.Error("a status that the state already has is reported again")
	}
	if assignments := h.assignmentsFor(state, a); assignments.Members[0].Phase != scheduler.PhaseRunning {
		t.Errorf("assigned phase is %v, want running", assignments.Members[0].Phase)
	}
	old := attacher.MemberStatus{Job: "ws/j", Attempt: 0, State: attacher.MembersEnded}
	if _, needed := eventFor(state.Scheduler, "w", old); needed {
		t.Error("a status of an earlier attempt is reported")
	}
	other := *a
	other.agent.Incarnation = "2"
	if assignments := h.assignmentsFor(state, &other); len(assignments.Members) != 0 {
		t.Errorf("an agent process unknown to the state is assigned %+v", assignments.Members)
	}
}

// TestMailboxKeepsNewest checks that a mailbox that is read late gives the latest message of each kind.
func TestMailboxKeepsNewest(t *testing.T) {
	m := newMailbox()
	for i := range uint64(5) {
		m.set(&attacher.Assignments{Index: i}, &attacher.Config{Revision: i})
	}
	m.setGrant(&attacher.Grant{Serial: 9})
	got := m.drain()
	if got.Assignments.Index != 4 || got.Config.Revision != 4 || got.Grant.Serial != 9 {
		t.Errorf("drained %+v, want the newest of each", got)
	}
}
