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

// Introducer is the role of a control process without a disk: it tells who the replicas are.
type Introducer struct {
	listen     string
	locator    *locator.Locator
	group      *Group
	introducer *introducer.Introducer
	grpc       *grpc.Server
}

// NewIntroducer returns the role that listens where a replica would; others are told the given address.
func NewIntroducer(listen, address string, l *locator.Locator, group *Group, log logger.Logger) *Introducer {
	return &Introducer{listen: listen, locator: l, group: group, introducer: introducer.New(address, l, log)}
}

// Start listens and tells other seeds what this process is told.
func (i *Introducer) Start(context.Context) error {
	listener, err := net.Listen("tcp", i.listen)
	if err != nil {
		return fmt.Errorf("listen for introductions: %w", err)
	}
	i.grpc = i.introducer.Server()
	i.group.Run("introductions", func(context.Context) error { return serveGRPC(i.grpc, listener) })
	i.group.Run("announcements", func(ctx context.Context) error { return i.introducer.Announce(ctx, i.locator.Standing) })
	return nil
}

// Stop ends the role.
func (i *Introducer) Stop(context.Context) error {
	i.group.Stop(i.grpc.Stop)
	return nil
}
