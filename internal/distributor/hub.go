package distributor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Hub serves the streams of the agents that are attached to this entry process. mu guards attachments, the fields of
// each attachment, and draining. It is never locked while a caller's request is served.
type Hub struct {
	client   proposer
	machine  *registrar.Machine
	clock    timekeeper.Clock
	log      logger.Logger
	reporter *reporter

	mu          sync.Mutex
	attachments map[string]*attachment // by agent id
	draining    bool                   // the next heartbeats report to the leader that this entry is stopping
}

// attachment is one agent's stream.
type attachment struct {
	agent           registrar.Agent
	heartbeatSerial uint64            // of the last heartbeat
	lastHeartbeat   timekeeper.Millis // time of the last heartbeat, at first of the attachment
	sentHeartbeat   bool              // a heartbeat arrived since the entry's last request to the leader
	revision        uint64            // configuration revision that the agent has
	members         map[string]attacher.MemberStatus
	mailbox         *mailbox
	cancel          context.CancelFunc
}

// NewHub returns a hub without agents. It reads the state from machine and proposes commands through client.
func NewHub(client proposer, machine *registrar.Machine, log logger.Logger) *Hub {
	return &Hub{
		client: client, machine: machine, log: log, clock: timekeeper.Monotonic{},
		reporter: newReporter(client, log), attachments: map[string]*attachment{},
	}
}

// Register adds the service for agents to server, which must use encoder.Codec.
func (h *Hub) Register(server *grpc.Server) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: attacher.ServiceName,
		HandlerType: (*any)(nil),
		Streams:     []grpc.StreamDesc{encoder.Stream(attacher.MethodAttach, h.serve)},
	}, h)
}

// serve handles one agent's stream until either side closes it.
func (h *Hub) serve(stream grpc.ServerStream) error {
	var first attacher.AgentMessage
	if err := stream.RecvMsg(&first); err != nil {
		return fmt.Errorf("read agent identity: %w", err)
	}
	if first.Attach == nil {
		return fmt.Errorf("agent stream does not begin with the identity of the agent")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	if err := h.proposeAttach(ctx, *first.Attach); err != nil {
		return err
	}
	a := h.attach(*first.Attach, cancel)
	defer h.detach(a)
	sent := make(chan error, 1)
	go func() { sent <- a.mailbox.run(ctx, stream) }()
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

// proposer proposes commands to the replicated log.
type proposer interface {
	Propose(context.Context, registrar.Command) (registrar.Answer, error)
}

// proposeAttach proposes an agent's announcement: its identity, its worker, and its backend server with the slots and
// whether it is draining. It does so even if the local state already has the same announcement, since that state may be
// stale and the agent may have announced something else in between.
func (h *Hub) proposeAttach(ctx context.Context, a registrar.Agent) error {
	if a.Worker != nil && a.Worker.ID != a.ID {
		return fmt.Errorf("agent %s declares worker %s: the IDs must be equal", a.ID, a.Worker.ID)
	}
	answer, err := h.client.Propose(ctx, registrar.Command{Attach: &a})
	if err != nil {
		return fmt.Errorf("propose attaching agent %s: %w", a.ID, err)
	}
	return answer.Err()
}

func (h *Hub) attach(agent registrar.Agent, cancel context.CancelFunc) *attachment {
	a := &attachment{
		agent: agent, lastHeartbeat: h.clock.Now(), members: map[string]attacher.MemberStatus{}, mailbox: newMailbox(), cancel: cancel,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.attachments[agent.ID]; old != nil {
		old.cancel()
	}
	h.attachments[agent.ID] = a
	state := h.machine.State()
	a.mailbox.set(h.assignmentsFor(state, a), configOf(state))
	h.log.Log(logger.AgentAttached, logger.F("agent", agent.ID), logger.F("incarnation", agent.Incarnation))
	return a
}

func (h *Hub) detach(a *attachment) {
	h.remove(a)
	h.log.Log(logger.AgentDetached, logger.F("agent", a.agent.ID))
}

func (h *Hub) remove(a *attachment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attachments[a.agent.ID] == a {
		delete(h.attachments, a.agent.ID)
	}
}

func (h *Hub) receive(ctx context.Context, stream grpc.ServerStream, a *attachment) error {
	for {
		var m attacher.AgentMessage
		if err := stream.RecvMsg(&m); err != nil {
			return fmt.Errorf("read from agent %s: %w", a.agent.ID, err)
		}
		if m.Detach {
			return h.proposeDetach(ctx, a)
		}
		if m.Heartbeat == nil {
			continue
		}
		h.handleHeartbeat(a, m.Heartbeat)
		if m.Heartbeat.Draining && a.agent.Worker != nil {
			h.reporter.add(scheduler.Event{WorkerDrained: &scheduler.WorkerDrained{Worker: a.agent.ID, Drained: true, Evict: true}})
		}
		if m.Heartbeat.Runner != nil {
			next := a.agent
			next.Runner = m.Heartbeat.Runner
			if err := h.proposeAttach(ctx, next); err != nil {
				return err
			}
			h.setAgent(a, next)
		}
	}
}

// proposeDetach detaches at once an agent that asks for it at a planned stop, after it has stopped its members. Whether
// it has is not checked here. A lost agent is detached by the leader, when its leases have expired.
func (h *Hub) proposeDetach(ctx context.Context, a *attachment) error {
	h.remove(a) // before the proposal, so that the next request to the leader does not reattach it
	_, err := h.client.Propose(ctx, registrar.Command{Detach: &registrar.Detach{Agent: a.agent.ID, Incarnation: a.agent.Incarnation}})
	if err != nil {
		return fmt.Errorf("propose detaching agent %s: %w", a.agent.ID, err)
	}
	return nil
}

func (h *Hub) setAgent(a *attachment, next registrar.Agent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.agent = next
}

func (h *Hub) handleHeartbeat(a *attachment, heartbeat *attacher.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.heartbeatSerial, a.lastHeartbeat, a.sentHeartbeat, a.revision = heartbeat.Serial, h.clock.Now(), true, heartbeat.Revision
	if heartbeat.Complete {
		clear(a.members)
	}
	for _, m := range heartbeat.Members {
		a.members[m.Job] = m
	}
	if heartbeat.Complete || len(heartbeat.Members) > 0 {
		h.reportChanges(h.machine.State(), a)
	}
}

// reportChanges queues reports of those member statuses of an agent that the state does not have yet. The caller holds
// mu.
func (h *Hub) reportChanges(state registrar.State, a *attachment) {
	for _, m := range a.members {
		if e, needed := eventFor(state.Scheduler, a.agent.ID, m); needed {
			h.reporter.add(e)
		}
	}
}

// eventFor returns the event that records a member's status in the state. The bool is false if the state already has
// the status, or if it is not of the job's current attempt on this worker.
func eventFor(s scheduler.State, worker string, m attacher.MemberStatus) (scheduler.Event, bool) {
	j, ok := s.Job(m.Job)
	if !ok || j.Attempt != m.Attempt || !j.Holds(worker) {
		return scheduler.Event{}, false
	}
	r := &scheduler.MemberReport{
		Job: m.Job, Attempt: m.Attempt, Worker: worker, Outcome: m.Outcome, SavedRunTime: m.SavedRunTime, Reason: m.Reason,
	}
	switch m.State {
	case attacher.MembersArmed:
		return scheduler.Event{MemberArmed: r}, j.Phase == scheduler.PhaseArming && !j.ArmedOn(worker)
	case attacher.MembersRefused:
		return scheduler.Event{MemberRefused: r}, true
	case attacher.MembersEnded:
		return scheduler.Event{MemberEnded: r}, true
	}
	return scheduler.Event{}, false
}

// assignmentsFor returns all members that an agent's worker is to arm, run or stop. The caller holds mu.
func (h *Hub) assignmentsFor(state registrar.State, a *attachment) *attacher.Assignments {
	assignments := &attacher.Assignments{Index: state.Index}
	known, ok := state.Agent(a.agent.ID)
	if !ok || known.Incarnation != a.agent.Incarnation {
		return assignments // the state does not have this agent process, or no longer
	}
	for _, j := range state.Scheduler.JobsOn(a.agent.ID) {
		if j.Phase == scheduler.PhaseWaiting {
			continue // the job's accelerators are not free yet
		}
		assignments.Members = append(assignments.Members, assignmentOf(j, a.agent.ID, state.Scheduler.Policy().Grace))
	}
	return assignments
}

func assignmentOf(j *scheduler.Job, worker string, grace timekeeper.Millis) attacher.Assignment {
	return attacher.Assignment{
		Job: j.Spec.ID, Attempt: j.Attempt, Phase: j.Phase, Members: j.Placement.On(worker), Demand: j.Spec.Demand,
		Payload: j.Spec.Payload, Checkpoint: j.Spec.CanCheckpoint, Resume: j.SavedRunTime, Grace: grace,
	}
}

func configOf(state registrar.State) *attacher.Config {
	return &attacher.Config{Revision: state.Revision, InForce: state.InForce}
}

// StateChanged sends assignments to the agents of e.Workers, or to all agents if e.Agents is true, and reports those
// statuses of their members that the state does not have. It sends the configuration to all agents if e.Config is true.
// If all is true, as after a snapshot, it does both for all agents.
func (h *Hub) StateChanged(state registrar.State, e registrar.Effect, all bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	workers := e.Workers
	if all || e.Agents {
		workers = slices.Collect(maps.Keys(h.attachments))
	}
	for _, id := range workers {
		if a := h.attachments[id]; a != nil {
			a.mailbox.set(h.assignmentsFor(state, a), nil)
			h.reportChanges(state, a)
		}
	}
	if !e.Config && !all {
		return
	}
	for _, a := range h.attachments {
		a.mailbox.set(nil, configOf(state))
	}
}

// ReattachLost proposes to attach again the agents whose process the state does not have although their stream is open,
// as after the leader detached them as lost. It does not distinguish this from a newer process of the same agent.
func (h *Hub) ReattachLost(ctx context.Context) {
	state := h.machine.State()
	for _, a := range h.agents() {
		if known, ok := state.Agent(a.ID); ok && known.Incarnation == a.Incarnation {
			continue
		}
		if err := h.proposeAttach(ctx, a); err != nil {
			h.log.Log(logger.ReportFailed, logger.F("agent", a.ID), logger.F("error", err))
		}
	}
}

func (h *Hub) agents() []registrar.Agent {
	h.mu.Lock()
	defer h.mu.Unlock()
	agents := make([]registrar.Agent, 0, len(h.attachments))
	for _, a := range h.attachments {
		agents = append(agents, a.agent)
	}
	return agents
}

// ReattachAgents asks every attached agent to attach to another entry. From then on, the lease renewer reports to the
// leader that this entry is stopping.
func (h *Hub) ReattachAgents() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	for _, a := range h.attachments {
		a.mailbox.setReattach()
	}
}

// RunReporter proposes the queued reports of members and draining workers to the replicated log until ctx ends.
func (h *Hub) RunReporter(ctx context.Context) error { return h.reporter.run(ctx) }
