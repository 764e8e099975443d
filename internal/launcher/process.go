package launcher

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// startTimeout bounds the startup of all roles of a process together.
const startTimeout = 15 * time.Second

// Role is a part of a process with its own lifecycle. Start returns once the role runs. Stop shuts it down gracefully
// and returns when it has ended or ctx is done.
type Role interface {
	Start(context.Context) error
	Stop(context.Context) error
}

// Process is a daemon that consists of roles, which start in order and stop in reverse order.
type Process struct {
	Log         logger.Logger
	StopTimeout time.Duration                    // bounds the shutdown of all roles together
	StartFields []logger.Field                   // fields of the event "process started"
	Roles       func(group func() *Group) []Role // returns the roles in start order; group creates the group of one role
}

// Run runs the process until it receives a signal to stop or a component fails. It returns the exit code.
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
	p.Log.Log(logger.ProcessStarted, p.StartFields...)
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

func (p Process) register(lifecycle fx.Lifecycle, shutdown fx.Shutdowner) {
	group := func() *Group { return NewGroup(p.Log, shutdown) }
	for _, r := range p.Roles(group) {
		lifecycle.Append(fx.Hook{OnStart: r.Start, OnStop: r.Stop})
	}
}
