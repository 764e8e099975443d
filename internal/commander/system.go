package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// describeTimeout bounds the search for a leader and allows for several elections.
const describeTimeout = 5 * time.Second

func systemCommand() *cli.Command {
	control := &cli.StringFlag{
		Name: "control", Required: true, Sources: cli.EnvVars("LAGOONMILL_CONTROL"),
		Usage: "internal addresses of control replicas, IP:PORT, several separated by commas",
	}
	sub := func(name, usage string, show func(*cli.Command, coordinator.DescribeResponse) error) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, Description: example("lagoonmill system " + name + " --control 10.1.0.19:7000"),
			Flags: []cli.Flag{control}, Action: withDescription(show),
		}
	}
	return &cli.Command{
		Name: "system", Usage: "a system of control replicas that runs jobs made of steps and tasks",
		Commands: []*cli.Command{
			sub("status", "show the control replicas and the configuration", showMembers),
			sub("queues", "show the queues with the number of jobs in each phase", showQueues),
			sub("workers", "show the workers with the resources that their runs use", showWorkers),
			sub("jobs", "show all jobs with the number of tasks in each phase", showJobs),
		},
	}
}

func withDescription(show func(*cli.Command, coordinator.DescribeResponse) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		l := locator.New(strings.Split(c.String("control"), ","), logger.Logger{})
		defer l.Close()
		ctx, cancel := context.WithTimeout(ctx, describeTimeout)
		defer cancel()
		d, err := locator.Call[coordinator.DescribeRequest, coordinator.DescribeResponse](
			ctx, l, coordinator.MethodDescribe, locator.Limits{}, &coordinator.DescribeRequest{Jobs: c.Name == "jobs"})
		if err != nil {
			return &exitError{ExitUnavailable, fmt.Errorf("describe the system: %w", err)}
		}
		return show(c, d)
	}
}

func showMembers(c *cli.Command, d coordinator.DescribeResponse) error {
	t := &table{header: []string{"REPLICA", "STATE"}}
	for _, m := range d.Members {
		state := "learner"
		if m.Voter {
			state = "voter"
		}
		if m.Leader {
			state = "leader"
		}
		t.add(m.Address, state)
	}
	t.add(fmt.Sprintf("term %d, index %d", d.Term, d.Index), fmt.Sprintf("configuration %d", d.Version))
	return printResult(c, d, t)
}

func showQueues(c *cli.Command, d coordinator.DescribeResponse) error {
	t := &table{header: []string{"QUEUE", "PRIORITY", "QUEUED", "RUNNING", "ENDED"}}
	for _, q := range d.Queues {
		t.add(q.Name, q.Priority, q.Queued, q.Running, q.Ended)
	}
	return printResult(c, d.Queues, t)
}

func showWorkers(c *cli.Command, d coordinator.DescribeResponse) error {
	t := &table{header: []string{"WORKER", "ZONE", "RACK", "STATE", "EPOCH", "RUNS", "CORES", "MEMORY", "ACCELERATORS"}}
	for _, w := range d.Workers {
		cores, memory, accelerators := formatUsage(w.Used, w.Capacity)
		t.add(w.Name, w.Zone, w.Rack, w.State, w.Epoch, w.Runs, cores, memory, accelerators)
	}
	return printResult(c, d.Workers, t)
}

// formatUsage returns the used amount and the capacity of each resource as text.
func formatUsage(used, capacity modeler.Resources) (cores, memory, accelerators string) {
	const milliPerCore, mbPerGB = 1000, 1024
	cores = fmt.Sprintf("%.1f/%d", float64(used.MilliCores)/milliPerCore, capacity.MilliCores/milliPerCore)
	memory = fmt.Sprintf("%d/%d GB", used.MemoryMB/mbPerGB, capacity.MemoryMB/mbPerGB)
	return cores, memory, fmt.Sprintf("%d/%d", used.Accelerators, capacity.Accelerators)
}

func showJobs(c *cli.Command, d coordinator.DescribeResponse) error {
	t := &table{header: []string{"JOB", "QUEUE", "WORKSPACE", "PHASE", "WAITING", "ASSIGNED", "DONE", "FAILURES"}}
	for _, j := range d.Jobs {
		t.add(j.ID, j.Queue, j.Workspace, j.Phase, j.Waiting, j.Assigned, j.Done, j.Failures)
	}
	return printResult(c, d.Jobs, t)
}
