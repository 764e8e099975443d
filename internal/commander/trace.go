package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/recorder"
	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/reporter"
)

func itoa(n int) string { return strconv.Itoa(n) }

const traceFileMode = 0o644

func traceCommand() *cli.Command {
	policy := &cli.StringFlag{Name: "policy", Value: replayer.Unchanged, Usage: "the policy to replay with; 'trace compare' lists all policies"}
	return &cli.Command{
		Name: "trace", Usage: "recorded and generated traces of the scheduler's inputs",
		Commands: []*cli.Command{
			{
				Name: "make", Usage: "generate a trace from a seed", Description: example("lagoonmill trace make --deployment taukvads --day peak --seed 7 --out peak.txtar"),
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "deployment", Value: "taukvads", Usage: "taukvads, dvorak or " + replayer.TargetSize},
					&cli.StringFlag{Name: "day", Value: "ordinary", Usage: "ordinary, peak or maintenance"},
					&cli.Uint64Flag{Name: "seed", Value: 1},
					&cli.StringFlag{Name: "out", Required: true, Usage: "the file to write"},
				},
				Action: makeTrace,
			},
			{
				Name: "replay", Usage: "replay traces and check their expected outcomes", ArgsUsage: "FILE...",
				Description: example("lagoonmill trace replay traces/taukvads-peak.txtar"), Flags: []cli.Flag{policy}, Action: replayTraces,
			},
			{
				Name: "compare", Usage: "compare the policy with baselines and with variants that disable one mechanism each", ArgsUsage: "FOLDER",
				Description: example("lagoonmill trace compare traces --seeds 5"),
				Flags:       []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "compare on generated days with seeds 1 to this number instead of the traces in a folder"}},
				Action:      compareTraces,
			},
			{
				Name: "plot", Usage: "plot a replay as SVG", ArgsUsage: "FILE", Description: example("lagoonmill trace plot traces/dvorak-peak.txtar --out peak.svg"),
				Flags: []cli.Flag{policy, &cli.StringFlag{Name: "out", Required: true, Usage: "the file to write"}}, Action: plotTrace,
			},
			recordCommand(),
		},
	}
}

func makeTrace(_ context.Context, c *cli.Command) error {
	t, err := replayer.Generate(c.String("deployment"), c.String("day"), c.Uint64("seed"))
	if err != nil {
		return usageError("%w", err)
	}
	return writeTrace(t, c.String("out"))
}

func writeTrace(t *replayer.Trace, path string) error {
	data, err := t.Format()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, traceFileMode); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

func replayTraces(_ context.Context, c *cli.Command) error {
	variant, err := replayer.FindVariant(c.String("policy"))
	if err != nil {
		return usageError("--policy: %w", err)
	}
	if !c.Args().Present() {
		return usageError("want the trace files to replay")
	}
	t := &table{header: append([]string{"TRACE"}, reporter.Header()...)}
	var summaries []reporter.Summary
	departures := 0
	for _, path := range c.Args().Slice() {
		trace, err := replayer.Read(path)
		if err != nil {
			return usageError("%w", err)
		}
		result, err := replayer.Run(trace, variant, nil)
		if err != nil {
			return fmt.Errorf("replay %s: %w", path, err)
		}
		s := reporter.Summarize(result)
		summaries = append(summaries, s)
		t.add(append([]any{path}, reporter.Row(s)...)...)
		for _, d := range s.Departures {
			_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", path, d)
			departures++
		}
	}
	if err := printResult(c, summaries, t); err != nil {
		return err
	}
	if departures > 0 {
		return fmt.Errorf("%d departures from the expected outcomes", departures)
	}
	return nil
}

// loadTraces reads the traces in a folder or, with --seeds, generates the days of that many seeds.
func loadTraces(c *cli.Command) ([]*replayer.Trace, error) {
	if n := c.Int("seeds"); n > 0 {
		return generateTraces(n)
	}
	folder, err := argument(c, "folder with traces")
	if err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*.txtar"))
	if err != nil || len(paths) == 0 {
		return nil, usageError("%s: no traces (*.txtar)", folder)
	}
	var traces []*replayer.Trace
	for _, path := range paths {
		t, err := replayer.Read(path)
		if err != nil {
			return nil, usageError("%w", err)
		}
		traces = append(traces, t)
	}
	return traces, nil
}

func generateTraces(seeds int) ([]*replayer.Trace, error) {
	var traces []*replayer.Trace
	for _, deployment := range replayer.Deployments {
		for _, day := range replayer.Days {
			for seed := 1; seed <= seeds; seed++ {
				t, err := replayer.Generate(deployment, day, uint64(seed))
				if err != nil {
					return nil, err
				}
				t.Name = fmt.Sprintf("%s %s seed %d", deployment, day, seed)
				traces = append(traces, t)
			}
		}
	}
	return traces, nil
}

func compareTraces(ctx context.Context, c *cli.Command) error {
	traces, err := loadTraces(c)
	if err != nil {
		return err
	}
	compared, err := reporter.Compare(ctx, traces, replayer.Variants())
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return printResult(c, compared, nil)
	}
	for _, comparison := range compared {
		_, _ = fmt.Printf("\n%s (deployment %s, preset %s, completion weight %.1f)\n", comparison.Trace.Name, comparison.Trace.Settings.Deployment, comparison.Trace.Settings.Preset, comparison.Trace.Settings.CompletionWeight)
		t := &table{header: reporter.Header()}
		for _, s := range comparison.Summaries {
			t.add(reporter.Row(s)...)
		}
		if err := t.print(); err != nil {
			return err
		}
	}
	_, _ = fmt.Println("\nmean score over all traces; lower is better, first come first served is 1")
	t := &table{header: reporter.MeansHeader()}
	for _, m := range reporter.Means(compared) {
		t.add(reporter.MeansRow(m)...)
	}
	return t.print()
}

func plotTrace(_ context.Context, c *cli.Command) error {
	path, err := argument(c, "trace to plot")
	if err != nil {
		return err
	}
	variant, err := replayer.FindVariant(c.String("policy"))
	if err != nil {
		return usageError("--policy: %w", err)
	}
	trace, err := replayer.Read(path)
	if err != nil {
		return usageError("%w", err)
	}
	result, err := replayer.Run(trace, variant, nil)
	if err != nil {
		return fmt.Errorf("replay %s: %w", path, err)
	}
	return reporter.WritePlot(result, c.String("out"))
}

func recordCommand() *cli.Command {
	return &cli.Command{
		Name: "record", Usage: "record a running cluster's inputs as a trace",
		Description: example("lagoonmill trace record --for 24h --deployment taukvads --out day.txtar"),
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: time.Hour, Usage: "how long to record"},
			&cli.StringFlag{Name: "deployment", Value: "recorded", Usage: "the deployment's name in the trace"},
			&cli.FloatFlag{Name: "completion-weight", Value: 0.5, Usage: "the weight of completion time against fragmentation, 0 to 1"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "the file to write"},
		},
		Action: withClient(recordTrace),
	}
}

func recordTrace(ctx context.Context, c *cli.Command, api *apiClient) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	lines, err := api.readRecording(ctx, "/v1/trace")
	if err != nil {
		return err
	}
	trace, err := recorder.BuildTrace(lines, c.String("deployment"), c.Float("completion-weight"))
	if err != nil {
		return fmt.Errorf("assemble trace: %w", err)
	}
	return writeTrace(trace, c.String("out"))
}
