package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/announcer"
	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/meter"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// ReplicaSettings configures a control replica for jobs of steps and tasks.
type ReplicaSettings struct {
	Coordinator coordinator.Settings
	Listen      string // listen address; may differ from Coordinator.Address, which other processes use
	DataDir     string
	Seeds       []string // addresses of the initial voters
	Bootstrap   bool     // whether the whole system starts for the first time
	DiskBytes   int64    // size of the disk of DataDir; zero if it is unknown
}

// Replica is the control role for jobs of steps and tasks.
type Replica struct {
	settings ReplicaSettings
	log      logger.Logger
	meter    meter.Meter
	locator  *locator.Locator
	group    *Group

	journal     *journaler.Journal
	node        *replicator.Node
	coordinator *coordinator.Coordinator
	grpc        *grpc.Server
	transport   *messenger.Messenger
}

// NewReplica returns a control role that finds the other replicas through l.
func NewReplica(settings ReplicaSettings, l *locator.Locator, group *Group, log logger.Logger, m meter.Meter) *Replica {
	return &Replica{settings: settings, locator: l, group: group, log: log, meter: m}
}

// Start restores the replica from its journal, serves, and starts the components that make it a member of the cluster.
func (r *Replica) Start(context.Context) error {
	isSeed := slices.Contains(r.settings.Seeds, r.settings.Coordinator.Address)
	if err := r.openJournal(isSeed && r.settings.Bootstrap); err != nil {
		r.log.Log(logger.ReplicaFailed, logger.F("error", err))
		return fmt.Errorf("open journal: %w", err)
	}
	machine := tracker.NewMachine()
	address := r.settings.Coordinator.Address
	r.transport = messenger.New(r.group.Context(), address, func(m replicator.Message) { r.node.Receive(m) }, r.log)
	var err error
	r.node, err = replicator.NewNode(replicator.NodeConfig{
		Journal: r.journal, Machine: machine, Transport: r.transport, Clock: timekeeper.Monotonic{}, Seed: rand.Uint64(),
		DiskBytes: r.settings.DiskBytes, Log: r.log,
	})
	if err != nil {
		return fmt.Errorf("restore replica: %w", err)
	}
	r.coordinator = coordinator.New(r.settings.Coordinator, r.node, machine, r.log, r.meter)
	listener, err := net.Listen("tcp", r.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for control: %w", err)
	}
	r.grpc = newGRPC()
	r.coordinator.Register(r.grpc)
	r.transport.Register(r.grpc)
	a := announcer.New(address, r.locator, r.log)
	a.Register(r.grpc)
	r.group.Run("replica", r.node.Run)
	if isSeed && r.settings.Bootstrap {
		r.node.BootstrapWith(coordinator.InitialMembership(r.settings.Seeds))
	}
	r.group.Run("control server", func(context.Context) error { return serveGRPC(r.grpc, listener) })
	r.group.Run("leader", r.coordinator.Lead)
	r.group.Run("membership", r.coordinator.MaintainMembership)
	r.group.Run("enrolment", func(ctx context.Context) error { return r.coordinator.JoinCluster(ctx, r.locator) })
	r.group.Run("announcements", func(ctx context.Context) error { return a.Announce(ctx, r.knownReplicas) })
	return nil
}

// knownReplicas returns the leader and members according to the local log, or, while that is empty, as announced by
// other processes.
func (r *Replica) knownReplicas() locator.ReplicaStatus {
	if s := r.coordinator.Status(); len(s.Members) > 0 {
		return s
	}
	return r.locator.Status()
}

// Status returns the status of the replica. It must not be called before Start has succeeded.
func (r *Replica) Status() replicator.Status { return r.node.Status() }

func (r *Replica) openJournal(bootstrap bool) (err error) {
	if bootstrap {
		r.journal, err = journaler.OpenNamed(r.settings.DataDir, r.settings.Coordinator.Address)
		return err
	}
	r.journal, err = journaler.Open(r.settings.DataDir)
	return err
}

// Stop transfers leadership to another replica, then stops this one and closes its journal.
func (r *Replica) Stop(ctx context.Context) error {
	r.coordinator.TransferLeadership(ctx)
	r.group.Stop(r.grpc.Stop)
	r.transport.Wait()
	return r.journal.Close()
}
