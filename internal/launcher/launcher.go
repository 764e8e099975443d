package launcher

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

const (
	// stopMargin is what a graceful shutdown may take beyond the drain times of the roles.
	stopMargin = 15 * time.Second
	// gcPercent is the GOGC value in percent. It is below the default of 100, since agents share small hosts.
	gcPercent = 50
)

// Run runs a daemon process until it receives a signal to stop or a component fails. It returns the exit code.
func Run(settings configurer.Settings) int {
	out, err := openLog(settings.LogFile)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = out.Close() }()
	debug.SetGCPercent(gcPercent)
	log := logger.New(out, settings.Name)
	return Process{
		Log:         log,
		StopTimeout: 3*settings.DrainTimeout + settings.BalancerInterval + stopMargin,
		StartFields: []logger.Field{logger.F("roles", settings.Roles), logger.F("zone", settings.Zone)},
		Roles:       func(group func() *Group) []Role { return roles(settings, log, group) },
	}.Run()
}

// roles returns the roles in the order in which they start. They stop in reverse order, so that an entry drains while
// the control replica in the same process still serves.
func roles(settings configurer.Settings, log logger.Logger, group func() *Group) []Role {
	var list []Role
	if settings.Has(configurer.RoleControl) {
		list = append(list, &control{settings: settings, log: log, group: group()})
	}
	if settings.Has(configurer.RoleEntry) {
		list = append(list, &entry{settings: settings, log: log, group: group()})
	}
	if settings.Has(configurer.RoleAgent) {
		list = append(list, &agentRole{settings: settings, log: log, group: group()})
	}
	return list
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

func openLog(path string) (io.WriteCloser, error) {
	if path == "-" {
		return nopCloser{os.Stderr}, nil
	}
	const mode = 0o640
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return nil, fmt.Errorf("open log file: %w", err)
	}
	return file, nil
}
