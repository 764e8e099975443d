package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/admitter"
	"github.com/lagoonmill/lagoonmill/internal/authenticator"
	"github.com/lagoonmill/lagoonmill/internal/caller"
	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/controller"
	"github.com/lagoonmill/lagoonmill/internal/distributor"
	"github.com/lagoonmill/lagoonmill/internal/healthreporter"
	"github.com/lagoonmill/lagoonmill/internal/limiter"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/meter"
	"github.com/lagoonmill/lagoonmill/internal/operator"
	"github.com/lagoonmill/lagoonmill/internal/recorder"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/router"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	readHeaderTimeout = 10 * time.Second
	gaugeInterval     = time.Second
	agentHandoffWait  = 500 * time.Millisecond
	pollInterval      = 100 * time.Millisecond
)

// entry is the role that serves callers over HTTP and agents over gRPC.
type entry struct {
	settings configurer.Settings
	log      logger.Logger
	group    *Group

	client       *controller.Client
	machine      *registrar.Machine
	follower     *distributor.Follower
	hub          *distributor.Hub
	leaseRenewer *distributor.LeaseRenewer
	admitter     *admitter.Admitter
	router       *router.Router
	limiter      *limiter.Limiter
	handler      *caller.Handler
	recorder     recorder.Recorder
	meter        meter.Meter
	meterCloser  io.Closer
	http         *http.Server
	grpc         *grpc.Server
	wasReady     bool
}

func (e *entry) Start(context.Context) error {
	tokens, err := authenticator.Load(e.settings.TokenFile)
	if err != nil {
		return fmt.Errorf("load tokens: %w", err)
	}
	e.log.Log(logger.TokensLoaded, logger.F("tokens", tokens.Len()))
	e.build(tokens)
	agents, err := net.Listen("tcp", e.settings.EntryAddress)
	if err != nil {
		return fmt.Errorf("listen for agents: %w", err)
	}
	callers, err := net.Listen("tcp", e.settings.HTTPAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	e.group.Run("log follower", e.follower.Run)
	e.group.Run("confirmation", e.awaitConfirmedState)
	e.group.Run("rounds", e.leaseRenewer.Run)
	e.group.Run("reports", e.hub.RunReporter)
	e.group.Run("claims", e.handler.Claimer.Run)
	e.group.Run("settlements", e.handler.Run)
	e.group.Run("gauges", e.monitor)
	e.group.Run("agent server", func(context.Context) error { return serveGRPC(e.grpc, agents) })
	e.group.Run("caller server", func(context.Context) error { return serveHTTP(e.http, callers) })
	return nil
}

// build creates and connects the components of the entry without starting any of them.
func (e *entry) build(tokens authenticator.Tokens) {
	incarnation := uuid.NewString()
	e.client = controller.NewClient(e.settings.ControlSeats)
	e.machine = registrar.NewMachine(e.onApply)
	e.router = router.New(e.settings.Zone, timekeeper.Monotonic{})
	e.limiter = limiter.New(0, limiter.DefaultSettings())
	e.hub = distributor.NewHub(e.client, e.machine, e.log)
	e.follower = distributor.NewFollower(e.client, e.machine, e.localSeat(), e.log)
	e.admitter = admitter.New(e.machine, func() bool { return e.leaseRenewer.HasLease() })
	e.leaseRenewer = distributor.NewLeaseRenewer(e.hub, e.follower, e.client, e.machine, e.settings.Name, incarnation, e.admitter.AckedRevision)
	e.meter, e.meterCloser = meter.New(e.settings.Name)
	e.handler = caller.NewHandler(caller.Config{
		Owner: e.settings.Name + "/" + incarnation, Tokens: tokens, Machine: e.machine, Router: e.router,
		Limiter: e.limiter, Claimer: caller.NewClaimer(e.client), Holder: e.admitter, Log: e.log, Meter: e.meter,
	})
	e.grpc = newGRPC()
	e.hub.Register(e.grpc)
	routes := mux.NewRouter().UseEncodedPath().SkipClean(true)
	healthreporter.Register(routes, e.admitter.Ready)
	routes.Handle("/metrics", e.meter.Handler()).Methods(http.MethodGet)
	operator.New(e.client, e.machine, tokens, &e.recorder).Register(routes)
	e.handler.Register(routes)
	e.http = &http.Server{Handler: e.closeWhileDraining(routes), ReadHeaderTimeout: readHeaderTimeout}
}

// localSeat returns the index in ControlSeats of the replica in this process, or a random index if there is none.
func (e *entry) localSeat() int {
	for i, seat := range e.settings.ControlSeats {
		if seat == e.settings.ControlAddress {
			return i
		}
	}
	return rand.IntN(len(e.settings.ControlSeats))
}

// onApply propagates the effect of an applied command to the components. It runs on the goroutine of the follower.
func (e *entry) onApply(s registrar.State, c registrar.Command, effect registrar.Effect) {
	restored := c.Version == 0
	if restored || effect.Agents {
		e.router.Update(s.Agents())
		e.limiter.SetCeiling(e.router.TotalSlots())
	}
	if restored || effect.Config {
		e.limiter.Set(limitsOf(s))
	}
	e.hub.StateChanged(s, effect, restored)
	e.recorder.Observe(s, c, effect)
}

func limitsOf(s registrar.State) limiter.Settings {
	limits := s.Limits()
	weights := map[string]int{}
	for _, share := range s.Scheduler.Shares() {
		weights[share.Workspace.Name] = max(share.Workspace.Accelerators(), 1) * max(share.Workspace.Weight, 1)
	}
	queue := [...]int{limits.QueueUrgent, limits.QueueNormal, limits.QueueBatch}
	return limiter.DefaultSettings().WithLimits(queue).WithWeights(weights)
}

// awaitConfirmedState waits until the local state includes every command that a quorum confirmed as committed after
// this process had started, so that the entry never serves from a stale state.
func (e *entry) awaitConfirmedState(ctx context.Context) error {
	index, err := e.client.Read(ctx)
	for err == nil && e.machine.State().Index < index {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
	if err == nil {
		e.admitter.Confirm()
	}
	return nil
}

// monitor logs changes of the readiness of the entry and updates the gauges.
func (e *entry) monitor(ctx context.Context) error {
	timekeeper.Repeat(ctx, gaugeInterval, func() {
		e.logReadiness(e.admitter.Ready())
		s := e.machine.State()
		e.meter.Gauge("requests_in_flight", float64(e.handler.InFlight()))
		e.meter.Gauge("request_limit", float64(e.limiter.Limit()))
		e.meter.Gauge("jobs_queued", float64(s.Scheduler.Queued()))
		e.meter.Gauge("revision_in_force", float64(s.InForce))
		e.meter.Gauge("request_ids", float64(s.ClaimCount()))
	})
	return nil
}

func (e *entry) logReadiness(err error) {
	ready := err == nil
	if ready == e.wasReady {
		return
	}
	e.wasReady = ready
	if ready {
		e.log.Log(logger.EntryReady, logger.F("revision", e.machine.State().Revision))
		return
	}
	e.log.Log(logger.EntryNotReady, logger.F("reason", err))
}

// closeWhileDraining closes each connection after its next response once shutdown has started, so that no connection
// is open when the listener closes.
func (e *entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.admitter.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Stop drains the entry. It fails the readiness check, serves requests until the balancer has noticed, waits up to the
// drain time for requests in flight, makes agents attach to another entry, and reports its departure to the leader.
func (e *entry) Stop(ctx context.Context) error {
	e.admitter.Drain()
	sleep(ctx, e.settings.BalancerInterval)
	drain, cancel := context.WithTimeout(ctx, e.settings.DrainTimeout)
	defer cancel()
	err := e.http.Shutdown(drain)
	for e.handler.InFlight() > 0 && drain.Err() == nil {
		sleep(drain, pollInterval)
	}
	e.admitter.Stop()
	e.hub.ReattachAgents()
	sleep(ctx, agentHandoffWait)
	e.group.Stop(e.grpc.Stop)
	e.client.Close()
	_ = e.meterCloser.Close()
	if err != nil {
		return fmt.Errorf("requests were still in flight after the drain time: %w", err)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
