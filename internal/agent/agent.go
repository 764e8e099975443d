package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonmill/lagoonmill/internal/attacher"
	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/worker"
)

const (
	minBackoff           = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
	describeTimeout      = 2 * time.Second
	maxTrackedHeartbeats = 64
	drainPollInterval    = 50 * time.Millisecond
	detachTimeout        = time.Second
)

// Config identifies an agent and lists the entries that it can attach to.
type Config struct {
	ID      string
	Address string // HTTP address given to entries
	Zone    string
	Entries []string
	Drain   time.Duration // limit of a planned stop for requests in flight and running members
}

// Agent attaches to one entry at a time, sends it heartbeats and executes its assignments. mu guards the fields that
// the stream and the HTTP handlers share.
type Agent struct {
	config         Config
	incarnation    string
	clock          timekeeper.Clock
	log            logger.Logger
	proxy          *Proxy
	detachRequests chan chan struct{} // asks the stream to detach the agent; the inner channel is closed when it is done

	mu              sync.Mutex
	worker          *placer.Worker
	supervisor      *supervisor
	clusterConfig   attacher.Config
	draining        bool
	heartbeatSerial uint64 // of the last heartbeat; not reset per stream, so that a late grant matches its own heartbeat
	heartbeatTimes  map[uint64]timekeeper.Millis
}

// New returns an agent with a new incarnation. Run starts it.
func New(config Config, log logger.Logger) *Agent {
	clock := timekeeper.Monotonic{}
	incarnation := uuid.NewString()
	return &Agent{
		config: config, incarnation: incarnation, clock: clock, log: log,
		proxy: NewProxy(incarnation, clock, log), detachRequests: make(chan chan struct{}), heartbeatTimes: map[uint64]timekeeper.Millis{},
	}
}

// Proxy returns the proxy in front of the backend server.
func (a *Agent) Proxy() *Proxy { return a.proxy }

// ClusterConfig returns the highest configuration revisions received from an entry.
func (a *Agent) ClusterConfig() attacher.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clusterConfig
}

// Run keeps the agent attached to an entry and supervises its worker until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	background := 2
	errs := make(chan error, background)
	go func() { errs <- a.proxy.watchAnnouncements(ctx) }()
	go func() { errs <- a.runWorker(ctx) }()
	a.keepAttached(ctx)
	for range background {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// runWorker waits for a worker to announce itself, then supervises it until ctx ends.
func (a *Agent) runWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-a.proxy.workers:
			client := worker.NewClient(address)
			described, err := a.prepareWorker(ctx, client)
			if err != nil {
				a.log.Log(logger.WorkerCallFailed, logger.F("call", "describe"), logger.F("error", err))
				continue
			}
			return a.supervise(ctx, client, described)
		}
	}
}

// prepareWorker reads the worker's capacity and stops the tasks of an earlier agent process. The agent must not report
// that it holds no members while such tasks run.
func (a *Agent) prepareWorker(ctx context.Context, client *worker.Client) (placer.Worker, error) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	described, err := client.Describe(ctx)
	if err != nil {
		return described, fmt.Errorf("describe worker: %w", err)
	}
	described.ID = a.config.ID
	tasks, err := client.Tasks(ctx, 0, 0)
	if err != nil {
		return described, fmt.Errorf("list tasks of an earlier agent process: %w", err)
	}
	for _, t := range tasks.Tasks {
		if t.State != worker.StateRunning {
			continue
		}
		a.log.Log(logger.LeftoverTasksStopped, logger.F("task", t.ID))
		if err := client.Stop(ctx, t.ID); err != nil {
			return described, fmt.Errorf("stop task of an earlier agent process: %w", err)
		}
	}
	return described, nil
}

func (a *Agent) supervise(ctx context.Context, client *worker.Client, w placer.Worker) error {
	s := newSupervisor(client, w, a.clock, a.log)
	a.mu.Lock()
	a.worker, a.supervisor = &w, s
	a.mu.Unlock()
	a.proxy.notifyChange()
	return s.run(ctx)
}

func (a *Agent) keepAttached(ctx context.Context) {
	next := rand.IntN(len(a.config.Entries))
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		entry := a.config.Entries[next%len(a.config.Entries)]
		err := a.attach(ctx, entry)
		if ctx.Err() != nil {
			return
		}
		a.log.Log(logger.EntryUnreachable, logger.F("entry", entry), logger.F("error", err))
		next++
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		// Jitter keeps the agents of a failed entry from reattaching all at once.
		sleep(ctx, time.Duration(rand.Int64N(int64(backoff)))+backoff/2)
		backoff = min(backoff*2, maxBackoff)
	}
}

func (a *Agent) identity() *registrar.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &registrar.Agent{
		ID: a.config.ID, Incarnation: a.incarnation, Address: a.config.Address, Zone: a.config.Zone,
		Worker: a.worker, Runner: a.proxy.Runner(),
	}
}

// attach opens a stream to an entry and serves it until it fails, the entry stops responding, or the worker announces
// itself for the first time.
func (a *Agent) attach(ctx context.Context, entry string) error {
	conn, err := messenger.Dial(entry)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.OpenStream(ctx, conn, "/"+attacher.ServiceName+"/"+attacher.MethodAttach)
	if err != nil {
		return fmt.Errorf("open stream to entry: %w", err)
	}
	identity := a.identity()
	if err := stream.SendMsg(&attacher.AgentMessage{Attach: identity}); err != nil {
		return fmt.Errorf("send identity to entry: %w", err)
	}
	a.log.Log(logger.EntryAttached, logger.F("entry", entry))
	receiveErr := make(chan error, 1)
	activity := make(chan struct{}, 1)
	go func() { receiveErr <- a.receive(ctx, stream, activity) }()
	return a.sendHeartbeats(ctx, stream, identity, receiveErr, activity)
}

// clientStream is the subset of grpc.ClientStream that an agent uses.
type clientStream interface {
	SendMsg(any) error
	RecvMsg(any) error
}

func (a *Agent) sendHeartbeats(ctx context.Context, stream clientStream, identity *registrar.Agent, receiveErr <-chan error, activity <-chan struct{}) error {
	ticker := time.NewTicker(attacher.HeartbeatInterval.Duration())
	defer ticker.Stop()
	lastReceived, lastComplete := a.clock.Now(), timekeeper.Millis(0)
	announced := identity.Runner
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-receiveErr:
			return err
		case done := <-a.detachRequests:
			defer close(done)
			if err := stream.SendMsg(&attacher.AgentMessage{Detach: true}); err != nil {
				return fmt.Errorf("send detach to entry: %w", err)
			}
			return <-receiveErr // the entry closes the stream once it has detached this agent
		case <-activity:
			lastReceived = a.clock.Now()
			continue
		case <-a.proxy.changed:
			if a.workerAddedSince(identity) {
				return errWorkerAdded
			}
		case <-ticker.C:
		}
		now := a.clock.Now()
		if now-lastReceived > 2*attacher.StreamTimeout {
			return errEntryTimeout
		}
		heartbeat := a.newHeartbeat(now, now-lastComplete > attacher.FullSyncInterval)
		if heartbeat.Complete {
			lastComplete = now
		}
		if r := a.proxy.Runner(); r != nil && (announced == nil || *announced != *r) {
			heartbeat.Runner, announced = r, r
		}
		if err := stream.SendMsg(&attacher.AgentMessage{Heartbeat: heartbeat}); err != nil {
			return fmt.Errorf("send heartbeat to entry: %w", err)
		}
	}
}

var (
	errWorkerAdded   = errors.New("the worker announced itself; reattaching to register it")
	errEntryTimeout  = errors.New("no message from the entry before the timeout")
	errEntryStopping = errors.New("the entry is shutting down")
)

func (a *Agent) workerAddedSince(identity *registrar.Agent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return identity.Worker == nil && a.worker != nil
}

// newHeartbeat returns the next heartbeat and records its send time, from which a grant for it counts.
func (a *Agent) newHeartbeat(now timekeeper.Millis, complete bool) *attacher.Heartbeat {
	a.mu.Lock()
	a.heartbeatSerial++
	heartbeat := &attacher.Heartbeat{Serial: a.heartbeatSerial, Revision: a.clusterConfig.Revision}
	a.heartbeatTimes[heartbeat.Serial] = now
	delete(a.heartbeatTimes, heartbeat.Serial-maxTrackedHeartbeats)
	s := a.supervisor
	heartbeat.Draining = a.draining
	a.mu.Unlock()
	if s == nil {
		return heartbeat
	}
	heartbeat.Members = s.statuses(complete)
	heartbeat.Complete = complete || heartbeat.Members != nil
	return heartbeat
}

func (a *Agent) receive(ctx context.Context, stream clientStream, activity chan<- struct{}) error {
	for {
		var m attacher.EntryMessage
		if err := stream.RecvMsg(&m); err != nil {
			return fmt.Errorf("read from entry: %w", err)
		}
		select {
		case activity <- struct{}{}:
		default:
		}
		if m.Config != nil {
			a.updateConfig(*m.Config)
		}
		a.dispatch(ctx, m)
		if m.Reattach {
			return errEntryStopping
		}
	}
}

// updateConfig keeps the highest revisions received; they never decrease.
func (a *Agent) updateConfig(c attacher.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clusterConfig.Revision = max(a.clusterConfig.Revision, c.Revision)
	a.clusterConfig.InForce = max(a.clusterConfig.InForce, c.InForce)
}

// dispatch hands assignments and grants to the supervisor. It drops grants for heartbeats that are no longer tracked.
func (a *Agent) dispatch(ctx context.Context, m attacher.EntryMessage) {
	a.mu.Lock()
	s := a.supervisor
	var sent timekeeper.Millis
	granted := false
	if m.Grant != nil {
		sent, granted = a.heartbeatTimes[m.Grant.Serial]
	}
	a.mu.Unlock()
	if s == nil {
		return
	}
	if m.Assignments != nil {
		select {
		case s.assignments <- *m.Assignments:
		case <-ctx.Done():
		}
	}
	if granted {
		select {
		case s.grants <- sentGrant{*m.Grant, sent}:
		case <-ctx.Done():
		}
	}
}

// Shutdown performs a planned stop: it refuses new requests and drains the worker. It waits up to Config.Drain until no
// request is in flight and no member is held, stops the remaining members, and then detaches from the entry.
func (a *Agent) Shutdown(ctx context.Context) {
	a.proxy.StopAccepting()
	a.mu.Lock()
	a.draining = true
	s := a.supervisor
	a.mu.Unlock()
	drainCtx, cancel := context.WithTimeout(ctx, a.config.Drain)
	defer cancel()
	for !(s.idle() && a.proxy.Drained()) && drainCtx.Err() == nil {
		sleep(drainCtx, drainPollInterval)
	}
	s.stopAll(ctx)
	a.detach(ctx)
}

// detach asks the entry to detach this agent and waits up to detachTimeout. If that fails, the leader detaches the
// agent after its heartbeats stop.
func (a *Agent) detach(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, detachTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case a.detachRequests <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
