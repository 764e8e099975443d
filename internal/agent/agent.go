package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/liaison"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/worker"
)

const (
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
	describeWait = 2 * time.Second
	beatsKept    = 64
	drainPoll    = 50 * time.Millisecond
	byeWait      = time.Second
)

// Config names an agent and where its entries are.
type Config struct {
	ID      string
	Address string // HTTP address given to entries
	Zone    string
	Entries []string
	Drain   time.Duration // longest wait for what is in flight at a planned stop
}

// Agent is the role of one process. mu guards the fields that the attached stream and HTTP handlers share.
type Agent struct {
	config      Config
	incarnation string
	clock       timekeeper.Clock
	log         logger.Logger
	gate        *Gate
	bye         chan chan struct{} // asks the attached stream to say that this agent ends

	mu         sync.Mutex
	worker     *placer.Worker
	supervisor *supervisor
	known      liaison.Config
	leaving    bool
	serial     uint64 // of the last beat; it grows over all streams, so that an old stream's grant finds its own beat
	beats      map[uint64]timekeeper.Millis
}

// New returns an agent; Run starts it.
func New(config Config, log logger.Logger) *Agent {
	clock := timekeeper.Monotonic{}
	incarnation := uuid.NewString()
	return &Agent{
		config: config, incarnation: incarnation, clock: clock, log: log,
		gate: NewGate(incarnation, clock, log), bye: make(chan chan struct{}), beats: map[uint64]timekeeper.Millis{},
	}
}

// Gate returns the gate in front of the backend server.
func (a *Agent) Gate() *Gate { return a.gate }

// Known returns the configuration that the entry last told.
func (a *Agent) Known() liaison.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known
}

// Run attaches to one entry after another until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	parts := 2
	ended := make(chan error, parts)
	go func() { ended <- a.gate.watchSilence(ctx) }()
	go func() { ended <- a.awaitWorker(ctx) }()
	a.attachForever(ctx)
	for range parts {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

// awaitWorker takes up the worker that announces itself, if one does, and supervises it until ctx ends.
func (a *Agent) awaitWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-a.gate.workers:
			client := worker.NewClient(address)
			described, err := a.adopt(ctx, client)
			if err != nil {
				a.log.Log(logger.WorkerCallFailed, logger.F("call", "describe"), logger.F("error", err))
				continue
			}
			return a.supervise(ctx, client, described)
		}
	}
}

// adopt learns what the worker has and stops tasks that an earlier agent process left there, before anyone is told
// that this agent holds nothing.
func (a *Agent) adopt(ctx context.Context, client *worker.Client) (placer.Worker, error) {
	ctx, cancel := context.WithTimeout(ctx, describeWait)
	defer cancel()
	described, err := client.Describe(ctx)
	if err != nil {
		return described, fmt.Errorf("describe worker: %w", err)
	}
	described.ID = a.config.ID
	tasks, err := client.Tasks(ctx, 0, 0)
	if err != nil {
		return described, fmt.Errorf("list stray tasks: %w", err)
	}
	for _, t := range tasks.Tasks {
		if t.State != worker.StateRunning {
			continue
		}
		a.log.Log(logger.StrayTasksStopped, logger.F("task", t.ID))
		if err := client.Stop(ctx, t.ID); err != nil {
			return described, fmt.Errorf("stop stray task: %w", err)
		}
	}
	return described, nil
}

func (a *Agent) supervise(ctx context.Context, client *worker.Client, w placer.Worker) error {
	s := newSupervisor(client, w, a.clock, a.log)
	a.mu.Lock()
	a.worker, a.supervisor = &w, s
	a.mu.Unlock()
	a.gate.noteChange()
	return s.run(ctx)
}

func (a *Agent) attachForever(ctx context.Context) {
	at := rand.IntN(len(a.config.Entries))
	wait := firstPause
	for ctx.Err() == nil {
		started := time.Now()
		entry := a.config.Entries[at%len(a.config.Entries)]
		err := a.attach(ctx, entry)
		if ctx.Err() != nil {
			return
		}
		a.log.Log(logger.EntryUnreachable, logger.F("entry", entry), logger.F("error", err))
		at++
		if time.Since(started) > longestPause {
			wait = firstPause
		}
		// The pause is random, so that agents of a lost entry do not come to the next one all at once.
		sleep(ctx, time.Duration(rand.Int64N(int64(wait)))+wait/2)
		wait = min(wait*2, longestPause)
	}
}

func (a *Agent) hello() *registrar.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &registrar.Agent{
		ID: a.config.ID, Incarnation: a.incarnation, Address: a.config.Address, Zone: a.config.Zone,
		Worker: a.worker, Runner: a.gate.Runner(),
	}
}

// attach opens a stream to an entry and serves it until it fails, the entry is silent, or the worker announces
// itself for the first time.
func (a *Agent) attach(ctx context.Context, entry string) error {
	conn, err := messenger.Dial(entry)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.OpenStream(ctx, conn, "/"+liaison.ServiceName+"/"+liaison.MethodAttach)
	if err != nil {
		return fmt.Errorf("open stream to entry: %w", err)
	}
	hello := a.hello()
	if err := stream.SendMsg(&liaison.AgentMessage{Hello: hello}); err != nil {
		return fmt.Errorf("say hello: %w", err)
	}
	a.log.Log(logger.AgentAttaching, logger.F("entry", entry))
	received := make(chan error, 1)
	heard := make(chan struct{}, 1)
	go func() { received <- a.receive(ctx, stream, heard) }()
	return a.beatForever(ctx, stream, hello, received, heard)
}

// clientStream is the part of a gRPC stream that an agent uses.
type clientStream interface {
	SendMsg(any) error
	RecvMsg(any) error
}

func (a *Agent) beatForever(ctx context.Context, stream clientStream, hello *registrar.Agent, received <-chan error, heard <-chan struct{}) error {
	ticker := time.NewTicker(liaison.BeatInterval.Duration())
	defer ticker.Stop()
	lastHeard, lastWhole := a.clock.Now(), timekeeper.Millis(0)
	announced := hello.Runner
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-received:
			return err
		case said := <-a.bye:
			defer close(said)
			if err := stream.SendMsg(&liaison.AgentMessage{Bye: true}); err != nil {
				return fmt.Errorf("say goodbye: %w", err)
			}
			return <-received // the entry ends the stream once it has taken this agent off
		case <-heard:
			lastHeard = a.clock.Now()
			continue
		case <-a.gate.changed:
			if a.workerIsNew(hello) {
				return errWorkerNew
			}
		case <-ticker.C:
		}
		now := a.clock.Now()
		if now-lastHeard > 2*liaison.SilenceBound {
			return errSilent
		}
		beat := a.beat(now, now-lastWhole > liaison.WholeInterval)
		if beat.Whole {
			lastWhole = now
		}
		if r := a.gate.Runner(); r != nil && (announced == nil || *announced != *r) {
			beat.Runner, announced = r, r
		}
		if err := stream.SendMsg(&liaison.AgentMessage{Beat: beat}); err != nil {
			return fmt.Errorf("send beat: %w", err)
		}
	}
}

var (
	errWorkerNew = errors.New("the worker has announced itself: attach anew")
	errSilent    = errors.New("the entry is silent")
	errLeave     = errors.New("the entry stops")
)

func (a *Agent) workerIsNew(hello *registrar.Agent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return hello.Worker == nil && a.worker != nil
}

// beat notes the time of a beat, from which a grant of it counts.
func (a *Agent) beat(now timekeeper.Millis, whole bool) *liaison.Beat {
	a.mu.Lock()
	a.serial++
	b := &liaison.Beat{Serial: a.serial, Revision: a.known.Revision}
	a.beats[b.Serial] = now
	delete(a.beats, b.Serial-beatsKept)
	s := a.supervisor
	b.Leaving = a.leaving
	a.mu.Unlock()
	if s == nil {
		return b
	}
	b.Members = s.statuses(whole)
	b.Whole = whole || b.Members != nil
	return b
}

func (a *Agent) receive(ctx context.Context, stream clientStream, heard chan<- struct{}) error {
	for {
		var m liaison.EntryMessage
		if err := stream.RecvMsg(&m); err != nil {
			return fmt.Errorf("read from entry: %w", err)
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		if m.Config != nil {
			a.takeConfig(*m.Config)
		}
		a.pass(ctx, m)
		if m.Leave {
			return errLeave
		}
	}
}

// takeConfig keeps the newest configuration; none ever goes back.
func (a *Agent) takeConfig(c liaison.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known.Revision = max(a.known.Revision, c.Revision)
	a.known.InForce = max(a.known.InForce, c.InForce)
}

// pass gives orders and grants to the supervisor.
func (a *Agent) pass(ctx context.Context, m liaison.EntryMessage) {
	a.mu.Lock()
	s := a.supervisor
	var sent timekeeper.Millis
	granted := false
	if m.Grant != nil {
		sent, granted = a.beats[m.Grant.Serial]
	}
	a.mu.Unlock()
	if s == nil {
		return
	}
	if m.Orders != nil {
		select {
		case s.orders <- *m.Orders:
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

// Leave makes a planned stop: no new requests, the worker drained. It returns when nothing is in flight, no member
// is held and the entry knows it; members that are left when the drain time is over are stopped.
func (a *Agent) Leave(ctx context.Context) {
	a.gate.Leave()
	a.mu.Lock()
	a.leaving = true
	s := a.supervisor
	a.mu.Unlock()
	drain, cancel := context.WithTimeout(ctx, a.config.Drain)
	defer cancel()
	for !(s.idle() && a.gate.Drained()) && drain.Err() == nil {
		sleep(drain, drainPoll)
	}
	s.stopAll(ctx)
	a.sayBye(ctx)
}

// sayBye waits a moment for the entry to take this agent off; an entry that is away takes it off by its silence.
func (a *Agent) sayBye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, byeWait)
	defer cancel()
	said := make(chan struct{})
	select {
	case a.bye <- said:
	case <-ctx.Done():
		return
	}
	select {
	case <-said:
	case <-ctx.Done():
	}
}
