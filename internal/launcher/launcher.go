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
	// stopExtra is what a planned stop may take beyond the drain times of its roles.
	stopExtra = 15 * time.Second
	// collectAt is the heap growth in percent at which garbage is collected; low, since agents share small hosts.
	collectAt = 50
)

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
	return Process{
		Log:         log,
		StopTimeout: 3*settings.DrainTime + settings.BalancerInterval + stopExtra,
		Started:     []logger.Field{logger.F("roles", settings.Roles), logger.F("zone", settings.Zone)},
		Roles:       func(group func() *Group) []Role { return roles(settings, log, group) },
	}.Run()
}

// roles returns the roles in the order in which they start; they stop in the opposite one, so that an entry drains
// while the control replica beside it still serves.
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
