package launcher

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/introducer"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// Announcer is the role of a control process without a disk. It runs no replica, but announces the known replicas to
// other processes.
type Announcer struct {
	listen    string
	locator   *locator.Locator
	group     *Group
	announcer *introducer.Announcer
	grpc      *grpc.Server
}

// NewAnnouncer returns a role that listens at listen, where a replica would. Other processes reach it under address,
// which may differ.
func NewAnnouncer(listen, address string, l *locator.Locator, group *Group, log logger.Logger) *Announcer {
	return &Announcer{listen: listen, locator: l, group: group, announcer: introducer.New(address, l, log)}
}

// Start listens for announcements and announces the replicas that the locator knows to the other seeds.
func (i *Announcer) Start(context.Context) error {
	listener, err := net.Listen("tcp", i.listen)
	if err != nil {
		return fmt.Errorf("listen for announcements: %w", err)
	}
	i.grpc = i.announcer.Server()
	i.group.Run("introductions", func(context.Context) error { return serveGRPC(i.grpc, listener) })
	i.group.Run("announcements", func(ctx context.Context) error { return i.announcer.Announce(ctx, i.locator.Status) })
	return nil
}

// Stop closes the server and waits until all components have returned.
func (i *Announcer) Stop(context.Context) error {
	i.group.Stop(i.grpc.Stop)
	return nil
}
