package distributor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/liaison"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Hub holds the agents attached to an entry. mu guards the table and each attachment's fields; nothing on the path
// of a request takes it.
type Hub struct {
	client  proposer
	machine *registrar.Machine
	clock   timekeeper.Clock
	log     logger.Logger
	reports *reporter

	mu       sync.Mutex
	attached map[string]*attachment
	leaving  bool
}

// attachment is one agent's stream.
type attachment struct {
	agent    registrar.Agent
	beat     uint64            // serial of the last beat
	heard    timekeeper.Millis // when it came
	inRound  bool              // a beat came since the last round
	revision uint64            // that the agent knows
	members  map[string]liaison.MemberStatus
	mail     *mailbox
	end      context.CancelFunc
}

// NewHub returns a hub without agents.
func NewHub(client proposer, machine *registrar.Machine, log logger.Logger) *Hub {
	return &Hub{
		client: client, machine: machine, log: log, clock: timekeeper.Monotonic{},
		reports: newReporter(client, log), attached: map[string]*attachment{},
	}
}

// Register adds the service for agents to a gRPC server that uses encoder.Codec.
func (h *Hub) Register(server *grpc.Server) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: liaison.ServiceName,
		HandlerType: (*any)(nil),
		Streams:     []grpc.StreamDesc{encoder.Stream(liaison.MethodAttach, h.serve)},
	}, h)
}

// serve handles one agent's stream until either side ends it.
func (h *Hub) serve(stream grpc.ServerStream) error {
	var hello liaison.AgentMessage
	if err := stream.RecvMsg(&hello); err != nil {
		return fmt.Errorf("read hello: %w", err)
	}
	if hello.Hello == nil {
		return fmt.Errorf("agent stream does not begin with a hello")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	if err := h.announce(ctx, *hello.Hello); err != nil {
		return err
	}
	a := h.attach(*hello.Hello, cancel)
	defer h.detach(a)
	sent := make(chan error, 1)
	go func() { sent <- a.mail.run(ctx, stream) }()
	received := make(chan error, 1)
	go func() { received <- h.receive(ctx, stream, a) }()
	select {
	case err := <-sent:
		return err
	case err := <-received:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// proposer puts commands on the log.
type proposer interface {
	Propose(context.Context, registrar.Command) (registrar.Answer, error)
}

// announce puts what an agent says of itself on the log. It does not look whether the state says so already: the
// state here may be of before another change of the same agent.
func (h *Hub) announce(ctx context.Context, a registrar.Agent) error {
	if a.Worker != nil && a.Worker.ID != a.ID {
		return fmt.Errorf("agent %s declares worker %s: the names must be equal", a.ID, a.Worker.ID)
	}
	answer, err := h.client.Propose(ctx, registrar.Command{Attach: &a})
	if err != nil {
		return fmt.Errorf("announce agent %s: %w", a.ID, err)
	}
	return answer.Err()
}

func (h *Hub) attach(agent registrar.Agent, end context.CancelFunc) *attachment {
	a := &attachment{
		agent: agent, heard: h.clock.Now(), members: map[string]liaison.MemberStatus{}, mail: newMailbox(), end: end,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.attached[agent.ID]; old != nil {
		old.end()
	}
	h.attached[agent.ID] = a
	state := h.machine.State()
	a.mail.put(h.ordersFor(state, a), configOf(state))
	h.log.Log(logger.AgentAttached, logger.F("agent", agent.ID), logger.F("incarnation", agent.Incarnation))
	return a
}

func (h *Hub) detach(a *attachment) {
	h.forget(a)
	h.log.Log(logger.AgentDetached, logger.F("agent", a.agent.ID))
}

func (h *Hub) forget(a *attachment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attached[a.agent.ID] == a {
		delete(h.attached, a.agent.ID)
	}
}

func (h *Hub) receive(ctx context.Context, stream grpc.ServerStream, a *attachment) error {
	for {
		var m liaison.AgentMessage
		if err := stream.RecvMsg(&m); err != nil {
			return fmt.Errorf("read from agent %s: %w", a.agent.ID, err)
		}
		if m.Bye {
			return h.farewell(ctx, a)
		}
		if m.Beat == nil {
			continue
		}
		h.takeBeat(a, m.Beat)
		if m.Beat.Leaving && a.agent.Worker != nil {
			h.reports.add(scheduler.Event{WorkerDrained: &scheduler.WorkerDrained{Worker: a.agent.ID, Drained: true, Evict: true}})
		}
		if m.Beat.Runner != nil {
			next := a.agent
			next.Runner = m.Beat.Runner
			if err := h.announce(ctx, next); err != nil {
				return err
			}
			h.setAgent(a, next)
		}
	}
}

// farewell takes an agent off at once that ended in order and holds nothing; one that is only lost is taken off when
// its leases have ended.
func (h *Hub) farewell(ctx context.Context, a *attachment) error {
	h.forget(a) // first, so that the next round does not announce it anew
	_, err := h.client.Propose(ctx, registrar.Command{Detach: &registrar.Detach{Agent: a.agent.ID, Incarnation: a.agent.Incarnation}})
	if err != nil {
		return fmt.Errorf("take off agent %s: %w", a.agent.ID, err)
	}
	return nil
}

func (h *Hub) setAgent(a *attachment, next registrar.Agent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.agent = next
}

func (h *Hub) takeBeat(a *attachment, b *liaison.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.beat, a.heard, a.inRound, a.revision = b.Serial, h.clock.Now(), true, b.Revision
	if b.Whole {
		clear(a.members)
	}
	for _, m := range b.Members {
		a.members[m.Job] = m
	}
	if b.Whole || len(b.Members) > 0 {
		h.reconcile(h.machine.State(), a)
	}
}

// reconcile reports what the state does not know yet of an agent's members. The caller holds mu.
func (h *Hub) reconcile(state registrar.State, a *attachment) {
	for _, m := range a.members {
		if e, news := newsOf(state.Scheduler, a.agent.ID, m); news {
			h.reports.add(e)
		}
	}
}

// newsOf returns the event that brings a member's status into the state, if the state lacks it.
func newsOf(s scheduler.State, worker string, m liaison.MemberStatus) (scheduler.Event, bool) {
	j, ok := s.Job(m.Job)
	if !ok || j.Attempt != m.Attempt || !j.Holds(worker) {
		return scheduler.Event{}, false
	}
	r := &scheduler.MemberReport{
		Job: m.Job, Attempt: m.Attempt, Worker: worker, Outcome: m.Outcome, Saved: m.Saved, Reason: m.Reason,
	}
	switch m.State {
	case liaison.MembersArmed:
		return scheduler.Event{MemberArmed: r}, j.Phase == scheduler.PhaseArming && !j.ArmedOn(worker)
	case liaison.MembersRefused:
		return scheduler.Event{MemberRefused: r}, true
	case liaison.MembersEnded:
		return scheduler.Event{MemberEnded: r}, true
	}
	return scheduler.Event{}, false
}

// ordersFor returns all that an agent's worker is to hold. The caller holds mu.
func (h *Hub) ordersFor(state registrar.State, a *attachment) *liaison.Orders {
	orders := &liaison.Orders{Index: state.Index}
	known, ok := state.Agent(a.agent.ID)
	if !ok || known.Incarnation != a.agent.Incarnation {
		return orders // the state is of before the agent was announced
	}
	for _, j := range state.Scheduler.JobsOn(a.agent.ID) {
		if j.Phase == scheduler.PhaseWaiting {
			continue
		}
		orders.Members = append(orders.Members, orderOf(j, a.agent.ID, state.Scheduler.Policy().Grace))
	}
	return orders
}

func orderOf(j *scheduler.Job, worker string, grace timekeeper.Millis) liaison.Order {
	return liaison.Order{
		Job: j.Spec.ID, Attempt: j.Attempt, Phase: j.Phase, Members: j.Placement.On(worker), Demand: j.Spec.Demand,
		Payload: j.Spec.Payload, Checkpoint: j.Spec.Checkpoint, Resume: j.Saved, Grace: grace,
	}
}

func configOf(state registrar.State) *liaison.Config {
	return &liaison.Config{Revision: state.Revision, InForce: state.InForce}
}

// StateChanged tells the agents on the given workers their orders, and all agents the configuration when it changed.
func (h *Hub) StateChanged(state registrar.State, e registrar.Effect, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	workers := e.Workers
	if whole || e.Agents {
		workers = slices.Collect(maps.Keys(h.attached))
	}
	for _, id := range workers {
		if a := h.attached[id]; a != nil {
			a.mail.put(h.ordersFor(state, a), nil)
			h.reconcile(state, a)
		}
	}
	if !e.Config && !whole {
		return
	}
	for _, a := range h.attached {
		a.mail.put(nil, configOf(state))
	}
}

// Reannounce announces again the agents that the state has lost, because the leader took them for lost while their
// stream lived.
func (h *Hub) Reannounce(ctx context.Context) {
	state := h.machine.State()
	for _, a := range h.snapshotAgents() {
		if known, ok := state.Agent(a.ID); ok && known.Incarnation == a.Incarnation {
			continue
		}
		if err := h.announce(ctx, a); err != nil {
			h.log.Log(logger.ReportFailed, logger.F("agent", a.ID), logger.F("error", err))
		}
	}
}

func (h *Hub) snapshotAgents() []registrar.Agent {
	h.mu.Lock()
	defer h.mu.Unlock()
	agents := make([]registrar.Agent, 0, len(h.attached))
	for _, a := range h.attached {
		agents = append(agents, a.agent)
	}
	return agents
}

// Leave tells every agent to attach to another entry.
func (h *Hub) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	for _, a := range h.attached {
		a.mail.leave()
	}
}

// Report runs the sender of members' reports until ctx ends.
func (h *Hub) Report(ctx context.Context) error { return h.reports.run(ctx) }
