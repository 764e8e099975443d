package launcher

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// startTimeout bounds the start of all roles of a process.
const startTimeout = 15 * time.Second

// Role is a part of the process that fx starts and stops.
type Role interface {
	Start(context.Context) error
	Stop(context.Context) error
}

// Process is a daemon made of roles, which start in order and stop in the opposite one.
type Process struct {
	Log         logger.Logger
	StopTimeout time.Duration
	Started     []logger.Field // what the line at the start tells
	Roles       func(group func() *Group) []Role
}

// Run runs the process until it is told to stop by a signal or a part of it fails, and returns its exit code.
func (p Process) Run() int {
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(p.StopTimeout),
		fx.Invoke(p.register),
	)
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		p.Log.Log(logger.ProcessFailed, logger.F("error", err))
		return 1
	}
	p.Log.Log(logger.ProcessStarted, p.Started...)
	signal := <-app.Wait()
	p.Log.Log(logger.ProcessStopping)
	ctx, cancel = context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		p.Log.Log(logger.ProcessFailed, logger.F("error", err))
		return 1
	}
	p.Log.Log(logger.ProcessStopped)
	return signal.ExitCode
}

func (p Process) register(life fx.Lifecycle, shutdown fx.Shutdowner) {
	group := func() *Group { return NewGroup(p.Log, shutdown) }
	for _, r := range p.Roles(group) {
		life.Append(fx.Hook{OnStart: r.Start, OnStop: r.Stop})
	}
}
