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

// defaultMetricsPort serves the metrics where no port is given.
const defaultMetricsPort = 9100

// command returns the command that runs a role; code gets the exit code.
func (a Adapter) command(code *int) *cli.Command {
	const port = "metrics-port"
	return &cli.Command{
		Name: a.Name, Usage: a.Usage, ArgsUsage: "ROLE",
		Flags: []cli.Flag{&cli.IntFlag{
			Name: port, Value: defaultMetricsPort, Usage: "The port that serves the metrics.", Sources: cli.EnvVars("LAGOONMILL_METRICS_PORT"),
		}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageError("one role is wanted, got %d arguments", c.Args().Len())
			}
			ended, err := a.Run(c.Args().First(), c.Int(port))
			if err != nil {
				return &exitError{ExitUsage, err}
			}
			*code = ended
			return nil
		},
	}
}
