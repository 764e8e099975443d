package launcher

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/fx"

	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

const (
	startTimeout = 15 * time.Second
	// stopExtra is what a planned stop may take beyond the drain times of its roles.
	stopExtra = 15 * time.Second
	// collectAt is the heap growth in percent at which garbage is collected; low, since agents share small hosts.
	collectAt = 50
)

// role is a part of the process that fx starts and stops.
type role interface {
	start(context.Context) error
	stop(context.Context) error
}

// Run runs a daemon process until it is told to stop by a signal or a part of it fails, and returns its exit code.
func Run(settings configurer.Settings) int {
	out, err := openLog(settings.LogFile)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = out.Close() }()
	debug.SetGCPercent(collectAt)
	log := logger.New(out, settings.Name)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(3*settings.DrainTime+settings.BalancerInterval+stopExtra),
		fx.Supply(settings, log),
		fx.Invoke(register),
	)
	return runApp(app, log, settings)
}

func runApp(app *fx.App, log logger.Logger, settings configurer.Settings) int {
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		log.Log(logger.ProcessFailed, logger.F("error", err))
		return 1
	}
	log.Log(logger.ProcessStarted, logger.F("roles", settings.Roles), logger.F("zone", settings.Zone))
	signal := <-app.Wait()
	log.Log(logger.ProcessStopping)
	ctx, cancel = context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		log.Log(logger.ProcessFailed, logger.F("error", err))
		return 1
	}
	log.Log(logger.ProcessStopped)
	return signal.ExitCode
}

// register adds the roles in the order in which they start; they stop in the opposite one, so that an entry drains
// while the control replica beside it still serves.
func register(life fx.Lifecycle, shutdown fx.Shutdowner, settings configurer.Settings, log logger.Logger) {
	add := func(r role) { life.Append(fx.Hook{OnStart: r.start, OnStop: r.stop}) }
	if settings.Has(configurer.RoleControl) {
		add(&control{settings: settings, log: log, group: newGroup(log, shutdown)})
	}
	if settings.Has(configurer.RoleEntry) {
		add(&entry{settings: settings, log: log, group: newGroup(log, shutdown)})
	}
	if settings.Has(configurer.RoleAgent) {
		add(&agentRole{settings: settings, log: log, group: newGroup(log, shutdown)})
	}
}

type noClose struct{ io.Writer }

func (noClose) Close() error { return nil }

func openLog(path string) (io.WriteCloser, error) {
	if path == "-" {
		return noClose{os.Stderr}, nil
	}
	const mode = 0o640
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return nil, fmt.Errorf("open log file: %w", err)
	}
	return file, nil
}
