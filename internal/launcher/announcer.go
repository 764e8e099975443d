package launcher

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/announcer"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// Announcer is the role of a control process without a disk. It runs no replica, but announces the known replicas to
// other processes.
type Announcer struct {
	listen    string
	locator   *locator.Locator
	group     *Group
	announcer *announcer.Announcer
	grpc      *grpc.Server
}

// NewAnnouncer returns a role that listens at listen, where a replica would. Other processes reach it under address,
// which may differ.
func NewAnnouncer(listen, address string, l *locator.Locator, group *Group, log logger.Logger) *Announcer {
	return &Announcer{listen: listen, locator: l, group: group, announcer: announcer.New(address, l, log)}
}

// Start listens for announcements and announces the replicas that the locator knows to the other seeds.
func (a *Announcer) Start(context.Context) error {
	listener, err := net.Listen("tcp", a.listen)
	if err != nil {
		return fmt.Errorf("listen for announcements: %w", err)
	}
	a.grpc = a.announcer.Server()
	a.group.Run("introductions", func(context.Context) error { return serveGRPC(a.grpc, listener) })
	a.group.Run("announcements", func(ctx context.Context) error { return a.announcer.Announce(ctx, a.locator.Status) })
	return nil
}

// Stop closes the server and waits until all components have returned.
func (a *Announcer) Stop(context.Context) error {
	a.group.Stop(a.grpc.Stop)
	return nil
}
