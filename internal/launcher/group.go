package launcher

import (
	"context"
	"fmt"
	"sync"

	"go.uber.org/fx"

	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// Group runs the long-lived components of a role. A component that returns an error before its context is done shuts
// the process down with exit code 1.
type Group struct {
	ctx      context.Context
	cancel   context.CancelFunc
	log      logger.Logger
	shutdown fx.Shutdowner
	wg       sync.WaitGroup
}

// NewGroup returns an empty group that shuts the process down through shutdown when a component fails.
func NewGroup(log logger.Logger, shutdown fx.Shutdowner) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{ctx: ctx, cancel: cancel, log: log, shutdown: shutdown}
}

// Run starts a component in its own goroutine. Its context is cancelled when the group stops. The name appears in the
// log if the component fails.
func (g *Group) Run(name string, component func(context.Context) error) {
	g.RunUntil(g.ctx, name, component)
}

// RunUntil is like Run, but the component gets ctx instead of the context of the group.
func (g *Group) RunUntil(ctx context.Context, name string, component func(context.Context) error) {
	ended := make(chan error, 1)
	go func() { ended <- component(ctx) }()
	g.wg.Go(func() {
		if err := <-ended; err != nil && ctx.Err() == nil {
			g.fail(name, err)
		}
	})
}

func (g *Group) fail(name string, err error) {
	g.log.Log(logger.ProcessFailed, logger.F("part", name), logger.F("error", err))
	if err := g.shutdown.Shutdown(fx.ExitCode(1)); err != nil {
		g.log.Log(logger.ProcessFailed, logger.F("part", "shutdown"), logger.F("error", fmt.Errorf("request shutdown: %w", err)))
	}
}

// Stop cancels the context of the group, calls closers to stop servers that block components, and waits until every
// component has returned.
func (g *Group) Stop(closers ...func()) {
	g.cancel()
	for _, closeServer := range closers {
		closeServer()
	}
	g.wg.Wait()
}

// Context returns the context of the group, which is cancelled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }
