package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/operator"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

const jobPollInterval = 200 * time.Millisecond

// jobResponse is a job in an API response, with phase and end as text.
type jobResponse struct {
	operator.Job
	Phase string `json:"phase"`
	End   string `json:"end"`
}

func jobsCommand() *cli.Command {
	wait := &cli.BoolFlag{Name: "wait", Usage: "wait until the jobs end and show progress"}
	return &cli.Command{
		Name: "jobs", Usage: "jobs that run as gangs on accelerators",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit the jobs in a document", Description: example("lagoonmill jobs submit --file job.yaml --wait"),
				Flags: []cli.Flag{fileFlag(), commandFlag(), wait}, Action: withClient(submitJobs),
			},
			{
				Name: "status", Usage: "show one job", ArgsUsage: "ID", Description: example("lagoonmill jobs status planner/routes-1"),
				Action: withClient(showJob),
			},
			{
				Name: "wait", Usage: "wait until a job ends and show progress", ArgsUsage: "ID",
				Description: example("lagoonmill jobs wait planner/routes-1"), Action: withClient(waitJob),
			},
			{
				Name: "list", Usage: "list jobs, newest first", Description: example("lagoonmill jobs list --workspace planner"),
				Flags: []cli.Flag{&cli.StringFlag{Name: "workspace", Usage: "list only the jobs of this workspace"}}, Action: withClient(listJobs),
			},
			{
				Name: "cancel", Usage: "cancel jobs, all in one step", ArgsUsage: "ID...",
				Description: example("lagoonmill jobs cancel planner/routes-1 planner/routes-2"), Action: withClient(cancelJobs),
			},
		},
	}
}

func submitJobs(ctx context.Context, c *cli.Command, api *apiClient) error {
	d, err := readDocument(c)
	if err != nil {
		return err
	}
	if len(d.Jobs) == 0 {
		return usageError("--file %s: contains no jobs", c.String("file"))
	}
	if len(d.Jobs) > 1 && c.String("command-id") != "" {
		return usageError("--command-id: not allowed with a document of several jobs")
	}
	var jobs []jobResponse
	for _, j := range d.Jobs {
		var response jobResponse
		if err := api.mutate(ctx, http.MethodPost, "/v1/jobs", changeHeader(c), j.Spec(), &response); err != nil {
			return err
		}
		jobs = append(jobs, response)
	}
	if c.Bool("wait") {
		for i, j := range jobs {
			if jobs[i], err = waitForEnd(ctx, api, j.ID); err != nil {
				return err
			}
		}
	}
	return reportJobs(c, jobs)
}

func jobTable(jobs []jobResponse) *table {
	t := &table{header: []string{"JOB", "CLASS", "PHASE", "END", "ATTEMPT", "WORKERS", "REASON"}}
	for _, j := range jobs {
		var workers []string
		for _, p := range j.Placement {
			workers = append(workers, fmt.Sprintf("%s:%d", p.Worker, p.Members))
		}
		t.add(j.ID, j.Class, j.Phase, j.End, j.Attempt, strings.Join(workers, ","), j.Reason)
	}
	return t
}

// reportJobs prints jobs and returns an error for the first one that ended without finishing.
func reportJobs(c *cli.Command, jobs []jobResponse) error {
	if err := printResult(c, jobs, jobTable(jobs)); err != nil {
		return err
	}
	for _, j := range jobs {
		switch j.End {
		case "", scheduler.EndFinished.String():
		case scheduler.EndUnknown.String():
			return &exitError{ExitUnknown, fmt.Errorf("job %s: %s", j.ID, j.Reason)}
		default:
			return &exitError{ExitNotFinished, fmt.Errorf("job %s ended as %s: %s", j.ID, j.End, j.Reason)}
		}
	}
	return nil
}

func getJob(ctx context.Context, api *apiClient, id string) (jobResponse, error) {
	var j jobResponse
	err := api.get(ctx, "/v1/jobs/"+id, &j)
	return j, err
}

// waitForEnd polls a job until it ends and prints its progress to standard error. It keeps polling while no entry is
// available.
func waitForEnd(ctx context.Context, api *apiClient, id string) (jobResponse, error) {
	start, lastProgress := time.Now(), ""
	for {
		j, err := getJob(ctx, api, id)
		var exit *exitError
		if err != nil && !(errors.As(err, &exit) && exit.code == ExitUnavailable) {
			return j, err
		}
		if progress := fmt.Sprintf("%s, attempt %d", j.Phase, j.Attempt); err == nil && progress != lastProgress {
			_, _ = fmt.Fprintf(os.Stderr, "%6.1fs %s: %s\n", time.Since(start).Seconds(), id, progress)
			lastProgress = progress
		}
		if j.Phase == scheduler.PhaseEnded.String() {
			return j, nil
		}
		select {
		case <-ctx.Done():
			return j, fmt.Errorf("wait for job %s: %w", id, ctx.Err())
		case <-time.After(jobPollInterval):
		}
	}
}

func showJob(ctx context.Context, c *cli.Command, api *apiClient) error {
	id, err := argument(c, "job's id")
	if err != nil {
		return err
	}
	j, err := getJob(ctx, api, id)
	if err != nil {
		return err
	}
	return printResult(c, j, jobTable([]jobResponse{j}))
}

func waitJob(ctx context.Context, c *cli.Command, api *apiClient) error {
	id, err := argument(c, "job's id")
	if err != nil {
		return err
	}
	j, err := waitForEnd(ctx, api, id)
	if err != nil {
		return err
	}
	return reportJobs(c, []jobResponse{j})
}

func listJobs(ctx context.Context, c *cli.Command, api *apiClient) error {
	var jobs []jobResponse
	if err := api.get(ctx, "/v1/jobs?workspace="+c.String("workspace"), &jobs); err != nil {
		return err
	}
	return printResult(c, jobs, jobTable(jobs))
}

func cancelJobs(ctx context.Context, c *cli.Command, api *apiClient) error {
	ids := c.Args().Slice()
	if len(ids) == 0 {
		return usageError("want the ids of the jobs to cancel")
	}
	var a registrar.Answer
	if err := api.mutate(ctx, http.MethodPost, "/v1/jobs/cancel", nil, operator.Cancellation{Jobs: ids}, &a); err != nil {
		return err
	}
	t := &table{header: []string{"CANCELLED"}}
	for _, id := range ids {
		t.add(id)
	}
	return printResult(c, a, t)
}
