// Lagoonmilld is the daemon of lagoonmill; --help lists its settings.
package main

import (
	"os"

	"github.com/lagoonmill/lagoonmill/internal/commander"
	"github.com/lagoonmill/lagoonmill/platform"
)

func main() {
	os.Exit(commander.Daemon(os.Args, commander.PlatformCommand{
		Name:  "platform",
		Usage: "runs a role (entry, control or agent) with the settings of the users' platform",
		Run: func(role string, o commander.PlatformOptions) (int, error) {
			return platform.Run(platform.Options{Role: role, MetricsPort: o.MetricsPort, InternalListen: o.InternalListen})
		},
	}))
}
