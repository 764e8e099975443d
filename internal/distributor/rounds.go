package distributor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/controller"
	"github.com/lagoonmill/lagoonmill/internal/liaison"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const catchUpBound = 400 * time.Millisecond

// Rounds reports to the leader at every interval and passes on what it grants. One goroutine runs it; any may ask
// for the lease.
type Rounds struct {
	hub         *Hub
	follower    *Follower
	client      *controller.Client
	machine     *registrar.Machine
	clock       timekeeper.Clock
	entry       string
	incarnation string

	leaseEnd atomic.Int64 // of the entry's configuration lease, by clock
	acked    func() uint64

	serial uint64
	whole  bool
	term   uint64
	known  map[string]string // agents as the leader knows them
}

// NewRounds returns the rounds of one entry process; acked tells the revision that the entry itself works on.
func NewRounds(hub *Hub, follower *Follower, client *controller.Client, machine *registrar.Machine, entry, incarnation string, acked func() uint64) *Rounds {
	return &Rounds{
		hub: hub, follower: follower, client: client, machine: machine, clock: timekeeper.Monotonic{},
		entry: entry, incarnation: incarnation, acked: acked, whole: true, known: map[string]string{},
	}
}

// Leased reports whether the entry's configuration lease holds now.
func (r *Rounds) Leased() bool { return r.clock.Now() < timekeeper.Millis(r.leaseEnd.Load()) }

// Run makes rounds until ctx ends, then a last one that tells the leader of the planned stop.
func (r *Rounds) Run(ctx context.Context) error {
	ticker := time.NewTicker(controller.RoundInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.farewell()
			return nil
		case <-ticker.C:
			r.round(ctx)
		}
	}
}

func (r *Rounds) farewell() {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpBound)
	defer cancel()
	request, _ := r.collect()
	request.Leaving = true
	_, _ = r.client.Round(ctx, request) // the lease ends by itself where this is lost
}

// heardAgent is an agent that was heard in a round, with the beat that a grant counts from.
type heardAgent struct {
	attachment *attachment
	serial     uint64
}

func (r *Rounds) round(ctx context.Context) {
	asked := r.clock.Now()
	request, heard := r.collect()
	response, err := r.client.Round(ctx, request)
	if err != nil {
		r.whole = true // it is not known what the leader took
		return
	}
	r.term = max(r.term, response.Standing.Term)
	if response.NeedWhole {
		r.whole = true
		return
	}
	r.whole = false
	if !r.caughtUp(ctx, response.Commit) {
		r.follower.GoElsewhere()
		return
	}
	r.leaseEnd.Store(int64(asked + controller.EntryLease))
	r.grant(heard, response.Suspects)
	r.hub.Reannounce(ctx)
}

// collect returns the report of this round and the agents heard in it.
func (r *Rounds) collect() (*controller.RoundRequest, []heardAgent) {
	r.serial++
	request := &controller.RoundRequest{
		Entry: r.entry, Incarnation: r.incarnation, Serial: r.serial, Term: r.term, Whole: r.whole, Acked: r.acked(),
	}
	if r.whole {
		clear(r.known)
	}
	h := r.hub
	h.mu.Lock()
	defer h.mu.Unlock()
	request.Leaving = h.leaving
	var heard []heardAgent
	for id, a := range h.attached {
		if h.clock.Now()-a.heard > liaison.SilenceBound {
			a.end()
			delete(h.attached, id)
			continue
		}
		if r.known[id] != a.agent.Incarnation {
			request.Joined = append(request.Joined, controller.AttachedAgent{ID: id, Incarnation: a.agent.Incarnation})
			r.known[id] = a.agent.Incarnation
		}
		if !a.inRound {
			request.Missed = append(request.Missed, id)
			continue
		}
		a.inRound = false
		heard = append(heard, heardAgent{a, a.beat})
		request.Acked = min(request.Acked, max(a.revision, 1))
	}
	for id := range r.known {
		if h.attached[id] == nil {
			request.Left = append(request.Left, id)
			delete(r.known, id)
		}
	}
	return request, heard
}

// caughtUp waits until the state holds all that was committed when the leader answered: on an older state the entry
// might renew a gang of whose members it does not know yet.
func (r *Rounds) caughtUp(ctx context.Context, commit uint64) bool {
	deadline := time.NewTimer(catchUpBound)
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

// grant renews the leases of the agents that were heard, but for jobs with a member on a suspect's worker.
func (r *Rounds) grant(heard []heardAgent, suspects []string) {
	state := r.machine.State()
	denied := map[string]bool{}
	for _, id := range suspects {
		for _, j := range state.Scheduler.JobsOn(id) {
			denied[j.Spec.ID] = true
		}
	}
	for _, a := range heard {
		if slices.Contains(suspects, a.attachment.agent.ID) {
			continue
		}
		if a.attachment.agent.Worker == nil && r.serial%2 == 0 {
			continue // it holds no members; a grant now and then tells it that the entry lives
		}
		g := &liaison.Grant{Serial: a.serial, Lease: controller.AgentLease}
		if len(denied) > 0 {
			for _, j := range state.Scheduler.JobsOn(a.attachment.agent.ID) {
				if denied[j.Spec.ID] {
					g.Denied = append(g.Denied, j.Spec.ID)
				}
			}
		}
		a.attachment.mail.grant(g)
	}
}
