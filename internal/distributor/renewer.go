package distributor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
	"github.com/lagoonmill/lagoonmill/internal/controller"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const catchUpTimeout = 400 * time.Millisecond

// LeaseRenewer reports the attached agents to the leader every controller.HeartbeatInterval, renews the entry's
// configuration lease and passes lease grants to the agents. One goroutine may call Run; HasLease is safe for
// concurrent use.
type LeaseRenewer struct {
	hub         *Hub
	follower    *Follower
	client      *controller.Client
	machine     *registrar.Machine
	clock       timekeeper.Clock
	entry       string
	incarnation string

	leaseEnd      atomic.Int64 // expiry of the entry's configuration lease, on clock
	ackedRevision func() uint64

	serial       uint64
	sendComplete bool // the next report must list all agents
	term         uint64
	reported     map[string]string // agents reported to the leader as attached: ID to incarnation
}

// NewLeaseRenewer returns the LeaseRenewer of one entry process. ackedRevision returns the configuration revision that
// the entry itself uses.
func NewLeaseRenewer(hub *Hub, follower *Follower, client *controller.Client, machine *registrar.Machine, entry, incarnation string, ackedRevision func() uint64) *LeaseRenewer {
	return &LeaseRenewer{
		hub: hub, follower: follower, client: client, machine: machine, clock: timekeeper.Monotonic{},
		entry: entry, incarnation: incarnation, ackedRevision: ackedRevision, sendComplete: true, reported: map[string]string{},
	}
}

// HasLease reports whether the entry's configuration lease is valid now.
func (r *LeaseRenewer) HasLease() bool { return r.clock.Now() < timekeeper.Millis(r.leaseEnd.Load()) }

// Run sends heartbeats to the leader until ctx ends, then a last one that reports the planned stop.
func (r *LeaseRenewer) Run(ctx context.Context) error {
	timekeeper.Repeat(ctx, controller.HeartbeatInterval.Duration(), func() { r.renew(ctx) })
	r.reportStopping()
	return nil
}

func (r *LeaseRenewer) reportStopping() {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	request, _ := r.buildRequest()
	request.Stopping = true
	_, _ = r.client.Heartbeat(ctx, request) // if this is lost, the lease expires instead
}

// activeAgent is an agent that sent a heartbeat since the entry's last request, with the heartbeat from which a
// grant counts.
type activeAgent struct {
	attachment      *attachment
	heartbeatSerial uint64
}

func (r *LeaseRenewer) renew(ctx context.Context) {
	started := r.clock.Now()
	request, active := r.buildRequest()
	response, err := r.client.Heartbeat(ctx, request)
	if err != nil {
		r.sendComplete = true // the leader may or may not have applied the report
		return
	}
	r.term = max(r.term, response.Leadership.Term)
	if response.NeedComplete {
		r.sendComplete = true
		return
	}
	r.sendComplete = false
	if !r.waitForCommit(ctx, response.CommitIndex) {
		r.follower.SwitchReplica()
		return
	}
	r.leaseEnd.Store(int64(started + controller.EntryLease))
	r.sendGrants(active, response.Suspects)
	r.hub.ReattachLost(ctx)
}

// buildRequest returns the next request and the agents that sent a heartbeat since the last one.
func (r *LeaseRenewer) buildRequest() (*controller.HeartbeatRequest, []activeAgent) {
	r.serial++
	request := &controller.HeartbeatRequest{
		Entry: r.entry, Incarnation: r.incarnation, Serial: r.serial, Term: r.term, Complete: r.sendComplete, AckedRevision: r.ackedRevision(),
	}
	if r.sendComplete {
		clear(r.reported)
	}
	h := r.hub
	h.mu.Lock()
	defer h.mu.Unlock()
	request.Stopping = h.draining
	var active []activeAgent
	for id, a := range h.attachments {
		if h.clock.Now()-a.lastHeartbeat > attacher.StreamTimeout {
			a.cancel()
			delete(h.attachments, id)
			continue
		}
		if r.reported[id] != a.agent.Incarnation {
			request.Joined = append(request.Joined, controller.AttachedAgent{ID: id, Incarnation: a.agent.Incarnation})
			r.reported[id] = a.agent.Incarnation
		}
		if !a.sentHeartbeat {
			request.Silent = append(request.Silent, id)
			continue
		}
		a.sentHeartbeat = false
		active = append(active, activeAgent{a, a.heartbeatSerial})
		request.AckedRevision = min(request.AckedRevision, max(a.revision, 1))
	}
	for id := range r.reported {
		if h.attachments[id] == nil {
			request.Left = append(request.Left, id)
			delete(r.reported, id)
		}
	}
	return request, active
}

// waitForCommit waits up to catchUpTimeout until the state includes the log up to commit, and reports whether it does.
// On an older state, the entry might renew the leases of a gang without knowing all its members.
func (r *LeaseRenewer) waitForCommit(ctx context.Context, commit uint64) bool {
	deadline := time.NewTimer(catchUpTimeout)
	defer deadline.Stop()
	for r.machine.State().Index < commit {
		select {
		case <-r.follower.Changed():
		case <-deadline.C:
			return r.machine.State().Index >= commit
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// sendGrants renews the leases of active agents. It denies them for jobs with a member on the worker of a suspect, and
// sends nothing to suspects.
func (r *LeaseRenewer) sendGrants(active []activeAgent, suspects []string) {
	state := r.machine.State()
	denied := map[string]bool{}
	for _, id := range suspects {
		for _, j := range state.Scheduler.JobsOn(id) {
			denied[j.Spec.ID] = true
		}
	}
	for _, a := range active {
		if slices.Contains(suspects, a.attachment.agent.ID) {
			continue
		}
		if a.attachment.agent.Worker == nil && r.serial%2 == 0 {
			continue // it holds no members; a grant with every second heartbeat shows it that the entry is alive
		}
		g := &attacher.Grant{Serial: a.heartbeatSerial, Lease: controller.AgentLease}
		if len(denied) > 0 {
			for _, j := range state.Scheduler.JobsOn(a.attachment.agent.ID) {
				if denied[j.Spec.ID] {
					g.Denied = append(g.Denied, j.Spec.ID)
				}
			}
		}
		a.attachment.mailbox.setGrant(g)
	}
}
