package commander

import (
	"context"

	"github.com/urfave/cli/v3"
)

// Adapter runs the daemon in a role of a platform whose settings it reads itself.
type Adapter struct {
	Name  string // of the command
	Usage string
	// Run returns the exit code; an error tells that the settings cannot be used.
	Run func(role string, options AdapterOptions) (int, error)
}

// AdapterOptions are the settings of a role that are lagoonmill's own.
type AdapterOptions struct {
	MetricsPort    int
	InternalListen string // empty: at the address that other processes are told
}

const (
	metricsPortName = "metrics-port"
	metricsPortEnv  = "LAGOONMILL_METRICS_PORT"
	metricsPortHelp = "The port of this machine that serves the metrics."
	// defaultMetricsPort serves the metrics where no port is given.
	defaultMetricsPort = 9100

	internalListenName = "internal-listen"
	internalListenEnv  = "LAGOONMILL_INTERNAL_LISTEN"
	internalListenHelp = "The address at which a control process listens for the system's own processes, where it is not the one that they are told: behind a proxy or a translation of addresses."
)

// command returns the command that runs a role; code gets the exit code.
func (a Adapter) command(code *int) *cli.Command {
	return &cli.Command{
		Name: a.Name, Usage: a.Usage, ArgsUsage: "ROLE",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: metricsPortName, Value: defaultMetricsPort, Usage: metricsPortHelp, Sources: cli.EnvVars(metricsPortEnv)},
			&cli.StringFlag{Name: internalListenName, Usage: internalListenHelp, Sources: cli.EnvVars(internalListenEnv)},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageError("one role is wanted, got %d arguments", c.Args().Len())
			}
			options := AdapterOptions{MetricsPort: c.Int(metricsPortName), InternalListen: c.String(internalListenName)}
			exitCode, err := a.Run(c.Args().First(), options)
			if err != nil {
				return &exitError{ExitUsage, err}
			}
			*code = exitCode
			return nil
		},
	}
}
