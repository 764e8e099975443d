package commander

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/simulator"
)

// Simulator runs lagoonmill-standin and returns its exit code.
func Simulator(args []string) int {
	return execute(&cli.Command{
		Name:     "lagoonmill-standin",
		Usage:    "simulates a backend server or a worker of the platform, for demonstrations and tests",
		Commands: []*cli.Command{runnerCommand(), workerCommand()},
	}, args)
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "address", Required: true, Usage: "where to listen, IP:PORT"},
		&cli.StringFlag{Name: "agent", Required: true, Usage: "the agent to register with, IP:PORT"},
		&cli.StringFlag{Name: "journal", Usage: "a file to which a line is appended for each request, or each start and end of a task"},
	}
}

func runnerCommand() *cli.Command {
	return &cli.Command{
		Name:        "runner",
		Usage:       "simulates a backend server",
		Description: "Example:\n   lagoonmill-standin runner --address 127.0.0.1:9001 --agent 127.0.0.1:7501 --service booking",
		Flags: append(commonFlags(),
			&cli.StringFlag{Name: "service", Value: "app", Usage: "the service that the server offers"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "the maximum number of concurrent requests"},
			&cli.DurationFlag{Name: "latency", Usage: "the time that a request takes"},
			&cli.FloatFlag{Name: "fault-rate", Usage: "the fraction of responses, 0 to 1, with an injected fault"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the random seed of the injected faults"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			r, err := simulator.NewRunner(simulator.RunnerConfig{
				Address: c.String("address"), Agent: c.String("agent"), Service: c.String("service"), Slots: c.Int("slots"),
				Latency: c.Duration("latency"), FaultRate: c.Float("fault-rate"), Seed: c.Uint64("seed"), Journal: c.String("journal"),
			})
			if err != nil {
				return err
			}
			return r.Serve(ctx)
		},
	}
}

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:        "worker",
		Usage:       "simulates the platform's interface to a worker",
		Description: "Example:\n   lagoonmill-standin worker --address 127.0.0.1:9101 --agent 127.0.0.1:7501 --id w1 --rack r1",
		Flags: append(commonFlags(),
			&cli.StringFlag{Name: "id", Required: true, Usage: "the name of the worker and its agent"},
			&cli.StringFlag{Name: "region", Value: "region"},
			&cli.StringFlag{Name: "availability-zone", Value: "zone"},
			&cli.StringFlag{Name: "rack", Value: "rack"},
			&cli.IntFlag{Name: "accelerators", Value: 8},
			&cli.IntFlag{Name: "cores", Value: 64},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			w, err := simulator.NewWorker(simulator.WorkerConfig{
				Address: c.String("address"), Agent: c.String("agent"), Journal: c.String("journal"),
				Worker: placer.Worker{
					ID: c.String("id"), Region: c.String("region"), Zone: c.String("availability-zone"), Rack: c.String("rack"),
					Accelerators: c.Int("accelerators"), Cores: c.Int("cores"),
				},
			})
			if err != nil {
				return err
			}
			return w.Serve(ctx)
		},
	}
}
