package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// buckets bound the histograms of durations, from a millisecond up to four hours.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 24)

// Meter is the metrics of one process. It is safe for concurrent use; its zero value keeps nothing.
type Meter struct {
	scope   tally.Scope
	handler http.Handler
	byKey   *sync.Map // seriesKey to tally.Histogram or tally.Counter
}

type seriesKey struct {
	name, workspace, class, result string
}

// New returns the metrics of a process and a closer that reports the last values.
func New(process string) (Meter, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lagoonmill",
		Tags:           map[string]string{"process": process},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return Meter{scope, reporter.HTTPHandler(), &sync.Map{}}, closer
}

// Handler serves the metrics in the Prometheus text format.
func (m Meter) Handler() http.Handler { return m.handler }

// Observe adds a duration to the histogram of a workspace and class.
func (m Meter) Observe(name, workspace, class string, d time.Duration) {
	if m.scope == nil {
		return
	}
	key := seriesKey{name: name, workspace: workspace, class: class}
	h, ok := m.byKey.Load(key)
	if !ok {
		tagged := m.scope.Tagged(map[string]string{"workspace": workspace, "class": class})
		h, _ = m.byKey.LoadOrStore(key, tagged.Histogram(name, buckets))
	}
	h.(tally.Histogram).RecordDuration(d)
}

// Count adds one to the counter of a workspace, class and result.
func (m Meter) Count(name, workspace, class, result string) {
	if m.scope == nil {
		return
	}
	key := seriesKey{name, workspace, class, result}
	c, ok := m.byKey.Load(key)
	if !ok {
		tagged := m.scope.Tagged(map[string]string{"workspace": workspace, "class": class, "result": result})
		c, _ = m.byKey.LoadOrStore(key, tagged.Counter(name))
	}
	c.(tally.Counter).Inc(1)
}

// Gauge sets a value.
func (m Meter) Gauge(name string, v float64) {
	if m.scope != nil {
		m.scope.Gauge(name).Update(v)
	}
}
