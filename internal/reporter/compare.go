package reporter

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Comparison holds the summaries of one trace, one for each variant in the order passed to Compare.
type Comparison struct {
	Trace     *replayer.Trace
	Summaries []Summary
}

// Compare replays every trace under every variant, using half of the CPUs. The summaries have scores if
// replayer.FirstCome is among the variants.
func Compare(ctx context.Context, traces []*replayer.Trace, variants []replayer.Variant) ([]Comparison, error) {
	list := make([]Comparison, len(traces))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.NumCPU()/2, 1))
	for i, t := range traces {
		list[i] = Comparison{t, make([]Summary, len(variants))}
		for k, v := range variants {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				result, err := replayer.Run(t, v, nil)
				if err != nil {
					return fmt.Errorf("replay %s under %s: %w", t.Name, v.Name, err)
				}
				list[i].Summaries[k] = Summarize(result)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i := range list {
		list[i].score()
	}
	return list, nil
}

// score sets the scores against the first-come baseline, if there is one.
func (c *Comparison) score() {
	first := slices.IndexFunc(c.Summaries, func(s Summary) bool { return s.Variant.Name == replayer.FirstCome })
	if first < 0 {
		return
	}
	baseline := c.Summaries[first]
	for i, s := range c.Summaries {
		c.Summaries[i] = s.WithScore(baseline, c.Trace.Settings.CompletionWeight)
	}
}

// Header returns the column names of Row.
func Header() []string {
	return []string{
		"POLICY", "SCORE", "URGENT-P50", "P95", "P99", "DUE", "NORMAL-P50", "P95", "P99", "DUE", "BATCH-P50", "P95", "P99", "DUE",
		"FRAGMENTATION", "LOST-HOURS", "STOPS", "URGENT-WAIT-MAX", "RECLAIM-P99", "GANG-WAIT-MAX", "UNFINISHED", "DEPARTURES",
	}
}

// Row returns the cells of a summary, in the order of Header.
func Row(s Summary) []any {
	row := []any{s.Variant.Name, fmt.Sprintf("%.3f", s.Score)}
	for _, q := range s.Class {
		row = append(row, formatDuration(q.P50.Duration()), formatDuration(q.P95.Duration()), formatDuration(q.P99.Duration()), fmt.Sprintf("%.0f%%", 100*q.ByDeadline))
	}
	return append(row, fmt.Sprintf("%.3f", s.Fragmentation), fmt.Sprintf("%.1f", s.LostHours), s.Stops,
		formatDuration(s.UrgentMax.Duration()), formatDuration(s.ReclaimP99.Duration()), formatDuration(s.GangMax.Duration()), s.Unfinished, len(s.Departures))
}

// formatDuration rounds a duration to 0.1 s below a minute and to 1 s above.
func formatDuration(d time.Duration) string {
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// Means returns the mean of each variant over all traces. The first variant is the reference for Mean.NoWorse. The list
// must not be empty.
func Means(list []Comparison) []Mean {
	var means []Mean
	for k := range list[0].Summaries {
		m := Mean{Variant: list[0].Summaries[k].Variant, Traces: len(list)}
		for _, c := range list {
			m.Score += c.Summaries[k].Score / float64(len(list))
			m.LostHours += c.Summaries[k].LostHours / float64(len(list))
			m.Stops += c.Summaries[k].Stops
			m.UrgentMax = max(m.UrgentMax, c.Summaries[k].UrgentMax)
			m.GangMax = max(m.GangMax, c.Summaries[k].GangMax)
			if k > 0 && c.Summaries[k].Score <= c.Summaries[0].Score {
				m.NoWorse++
			}
		}
		means = append(means, m)
	}
	return means
}

// Mean aggregates the summaries of a variant over several traces.
type Mean struct {
	Variant replayer.Variant
	Score   float64
	NoWorse int // traces on which it scored no worse than the first variant
	Traces  int

	LostHours float64           // mean per trace
	Stops     int               // sum over all traces
	UrgentMax timekeeper.Millis // maximum over all traces
	GangMax   timekeeper.Millis // maximum over all traces
}

// MeansHeader returns the column names of MeansRow.
func MeansHeader() []string {
	return []string{"POLICY", "MEAN-SCORE", "NO-WORSE-THAN-OWN", "MEAN-LOST-HOURS", "STOPS", "URGENT-WAIT-MAX", "GANG-WAIT-MAX"}
}

// MeansRow returns the cells of a mean, in the order of MeansHeader.
func MeansRow(m Mean) []any {
	return []any{
		m.Variant.Name, fmt.Sprintf("%.3f", m.Score), fmt.Sprintf("%d of %d", m.NoWorse, m.Traces), fmt.Sprintf("%.1f", m.LostHours),
		m.Stops, formatDuration(m.UrgentMax.Duration()), formatDuration(m.GangMax.Duration()),
	}
}
