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

// Compared is the figures of every policy on one trace, the own one first.
type Compared struct {
	Trace     *replayer.Trace
	Summaries []Summary
}

// Compare replays every trace under every variant, several at once.
func Compare(ctx context.Context, traces []*replayer.Trace, variants []replayer.Variant) ([]Compared, error) {
	list := make([]Compared, len(traces))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.NumCPU()/2, 1))
	for i, t := range traces {
		list[i] = Compared{t, make([]Summary, len(variants))}
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

func (c *Compared) score() {
	at := slices.IndexFunc(c.Summaries, func(s Summary) bool { return s.Variant.Name == replayer.FirstCome })
	if at < 0 {
		return
	}
	baseline := c.Summaries[at]
	for i, s := range c.Summaries {
		c.Summaries[i] = s.Scored(baseline, c.Trace.Settings.Completion)
	}
}

// Header names the columns of Row.
func Header() []string {
	return []string{
		"POLICY", "SCORE", "URGENT-P50", "P95", "P99", "DUE", "NORMAL-P50", "P95", "P99", "DUE", "BATCH-P50", "P95", "P99", "DUE",
		"FRAGMENTATION", "LOST-HOURS", "STOPS", "URGENT-WAIT-MAX", "RECLAIM-P99", "GANG-WAIT-MAX", "UNFINISHED", "DEPARTURES",
	}
}

// Row returns a summary's cells.
func Row(s Summary) []any {
	row := []any{s.Variant.Name, fmt.Sprintf("%.3f", s.Score)}
	for _, q := range s.Class {
		row = append(row, short(q.P50.Duration()), short(q.P95.Duration()), short(q.P99.Duration()), fmt.Sprintf("%.0f%%", 100*q.ByDeadline))
	}
	return append(row, fmt.Sprintf("%.3f", s.Fragmentation), fmt.Sprintf("%.1f", s.LostHours), s.Stops,
		short(s.UrgentMax.Duration()), short(s.ReclaimP99.Duration()), short(s.GangMax.Duration()), s.Unfinished, len(s.Departures))
}

// short prints a span to what a reader compares: tenths of a second below a minute, seconds above.
func short(d time.Duration) string {
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// Means returns the mean score of each variant over all traces, with how often it was no worse than the own policy.
func Means(list []Compared) []Mean {
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

// Mean is a variant's mean score.
type Mean struct {
	Variant replayer.Variant
	Score   float64
	NoWorse int // traces on which it scored no worse than the own policy
	Traces  int

	LostHours float64           // mean of a trace
	Stops     int               // over all traces
	UrgentMax timekeeper.Millis // over all traces
	GangMax   timekeeper.Millis // over all traces
}

// MeansHeader names the columns of MeansRow.
func MeansHeader() []string {
	return []string{"POLICY", "MEAN-SCORE", "NO-WORSE-THAN-OWN", "MEAN-LOST-HOURS", "STOPS", "URGENT-WAIT-MAX", "GANG-WAIT-MAX"}
}

// MeansRow returns the cells of a mean.
func MeansRow(m Mean) []any {
	return []any{
		m.Variant.Name, fmt.Sprintf("%.3f", m.Score), fmt.Sprintf("%d of %d", m.NoWorse, m.Traces), fmt.Sprintf("%.1f", m.LostHours),
		m.Stops, short(m.UrgentMax.Duration()), short(m.GangMax.Duration()),
	}
}
