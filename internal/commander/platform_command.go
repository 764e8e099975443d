package commander

import (
	"context"

	"github.com/urfave/cli/v3"
)

// PlatformCommand describes a subcommand of lagoonmilld that runs one role with settings from a platform instead of
// flags.
type PlatformCommand struct {
	Name  string // of the subcommand
	Usage string
	// Run runs the role and returns the exit code. An error means that the settings are invalid.
	Run func(role string, options PlatformOptions) (int, error)
}

// PlatformOptions are the settings of a role that the platform does not supply.
type PlatformOptions struct {
	MetricsPort    int
	InternalListen string // IP:PORT; empty for the advertised address
}

const (
	metricsPortName    = "metrics-port"
	metricsPortEnv     = "LAGOONMILL_METRICS_PORT"
	metricsPortHelp    = "The port of this host that serves the metrics."
	defaultMetricsPort = 9100

	internalListenName = "internal-listen"
	internalListenEnv  = "LAGOONMILL_INTERNAL_LISTEN"
	internalListenHelp = "The address at which a control process listens for other lagoonmill processes, if it differs from the advertised one, such as behind a proxy or NAT."
)

// command returns the subcommand, which stores the exit code of Run in code.
func (p PlatformCommand) command(code *int) *cli.Command {
	return &cli.Command{
		Name: p.Name, Usage: p.Usage, ArgsUsage: "ROLE",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: metricsPortName, Value: defaultMetricsPort, Usage: metricsPortHelp, Sources: cli.EnvVars(metricsPortEnv)},
			&cli.StringFlag{Name: internalListenName, Usage: internalListenHelp, Sources: cli.EnvVars(internalListenEnv)},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageError("want one argument, the role; got %d", c.Args().Len())
			}
			options := PlatformOptions{MetricsPort: c.Int(metricsPortName), InternalListen: c.String(internalListenName)}
			exitCode, err := p.Run(c.Args().First(), options)
			if err != nil {
				return &exitError{ExitUsage, err}
			}
			*code = exitCode
			return nil
		},
	}
}
