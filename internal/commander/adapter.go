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
	Run func(role string, metricsPort int) (int, error)
}

const (
	metricsPortName = "metrics-port"
	metricsPortEnv  = "LAGOONMILL_METRICS_PORT"
	metricsPortHelp = "The port of this machine that serves the metrics."
	// defaultMetricsPort serves the metrics where no port is given.
	defaultMetricsPort = 9100
)

// command returns the command that runs a role; code gets the exit code.
func (a Adapter) command(code *int) *cli.Command {
	return &cli.Command{
		Name: a.Name, Usage: a.Usage, ArgsUsage: "ROLE",
		Flags: []cli.Flag{&cli.IntFlag{
			Name: metricsPortName, Value: defaultMetricsPort, Usage: metricsPortHelp, Sources: cli.EnvVars(metricsPortEnv),
		}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageError("one role is wanted, got %d arguments", c.Args().Len())
			}
			ended, err := a.Run(c.Args().First(), c.Int(metricsPortName))
			if err != nil {
				return &exitError{ExitUsage, err}
			}
			*code = ended
			return nil
		},
	}
}
