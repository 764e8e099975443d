package launcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/controller"
	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// control is the role that runs a control replica and serves entries and other replicas.
type control struct {
	settings  configurer.Settings
	log       logger.Logger
	group     *Group
	journal   *journaler.Journal
	node      *replicator.Node
	server    *controller.Server
	grpc      *grpc.Server
	transport *messenger.Messenger
}

func (c *control) Start(context.Context) error {
	journal, err := journaler.Open(c.settings.DataDir)
	if err != nil {
		c.log.Log(logger.ReplicaFailed, logger.F("error", err))
		return fmt.Errorf("open journal: %w", err)
	}
	c.journal = journal
	machine := registrar.NewMachine(nil)
	receive := func(m replicator.Message) { c.node.Receive(m) }
	c.transport = messenger.New(c.group.Context(), c.settings.ControlAddress, receive, c.log)
	c.node, err = replicator.NewNode(replicator.NodeConfig{
		Journal: journal, Machine: machine, Transport: c.transport, Clock: timekeeper.Monotonic{}, Log: c.log,
		Timing: replicator.Timing{
			ElectionTimeout:   timekeeper.FromDuration(c.settings.ElectionTimeout),
			HeartbeatInterval: timekeeper.FromDuration(c.settings.HeartbeatInterval),
		},
		Seed: rand.Uint64(), SnapshotEvery: c.settings.SnapshotEvery,
	})
	if err != nil {
		return fmt.Errorf("restore replica: %w", err)
	}
	c.server = controller.NewServer(c.node, machine, c.settings.ControlAddress, c.log)
	listener, err := net.Listen("tcp", c.settings.ControlAddress)
	if err != nil {
		return fmt.Errorf("listen for control: %w", err)
	}
	c.grpc = newGRPC()
	c.server.Register(c.grpc)
	c.transport.Register(c.grpc)
	c.group.Run("replica", c.runNode)
	c.group.Run("control server", func(context.Context) error { return serveGRPC(c.grpc, listener) })
	c.group.Run("overseer", c.server.RunLeaderDuties)
	c.group.Run("enrolment", func(ctx context.Context) error {
		err := c.server.JoinOrBootstrap(ctx, c.settings.ControlSeats, func() {
			c.node.Bootstrap(c.settings.ControlAddress, c.settings.ControlSeats)
		})
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	return nil
}

func (c *control) runNode(ctx context.Context) error {
	err := c.node.Run(ctx)
	if err != nil {
		c.log.Log(logger.ReplicaFailed, logger.F("error", err))
	}
	return err
}

// Stop transfers leadership to another replica, then stops this one and closes its journal.
func (c *control) Stop(ctx context.Context) error {
	c.server.TransferLeadership(ctx)
	c.group.Stop(c.grpc.Stop)
	c.transport.Wait()
	return c.journal.Close()
}

const (
	// keepAliveTime is the time without traffic after which a server checks whether an incoming connection still works.
	keepAliveTime = 30 * time.Second
	// keepAliveTimeout is the time that the other end of such a connection has to answer.
	keepAliveTimeout = 5 * time.Second
)

// newGRPC returns a server that closes incoming connections which have gone silent, so that they do not use up its file
// descriptors.
func newGRPC() *grpc.Server {
	return grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}), grpc.MaxRecvMsgSize(messenger.MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}))
}

func serveGRPC(server *grpc.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
