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

// buckets are the upper bounds of the duration histograms, from 1 ms to 2^23 ms, about 2.3 hours.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 24)

// Meter collects the metrics of one process. It is safe for concurrent use. The zero value discards all values and has
// no handler.
type Meter struct {
	scope   tally.Scope
	handler http.Handler
	series  *sync.Map // seriesKey to tally.Histogram, tally.Counter or tally.Gauge
}

type seriesKey struct {
	name, workspace, class, result string
}

// New returns the meter of the named process and a closer, which flushes the last values.
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

// Handler returns an HTTP handler that serves the metrics in the Prometheus text format.
func (m Meter) Handler() http.Handler { return m.handler }

// Observe records d in the histogram name for a workspace and class.
func (m Meter) Observe(name, workspace, class string, d time.Duration) {
	if m.scope == nil {
		return
	}
	key := seriesKey{name: name, workspace: workspace, class: class}
	h, ok := m.series.Load(key)
	if !ok {
		tagged := m.scope.Tagged(map[string]string{"workspace": workspace, "class": class})
		h, _ = m.series.LoadOrStore(key, tagged.Histogram(name, buckets))
	}
	h.(tally.Histogram).RecordDuration(d)
}

// Count increments the counter name for a workspace, class and result.
func (m Meter) Count(name, workspace, class, result string) {
	if m.scope == nil {
		return
	}
	key := seriesKey{name, workspace, class, result}
	c, ok := m.series.Load(key)
	if !ok {
		tagged := m.scope.Tagged(map[string]string{"workspace": workspace, "class": class, "result": result})
		c, _ = m.series.LoadOrStore(key, tagged.Counter(name))
	}
	c.(tally.Counter).Inc(1)
}

// GaugeOf sets the gauge name of a class to v.
func (m Meter) GaugeOf(name, class string, v float64) {
	if m.scope == nil {
		return
	}
	key := seriesKey{name: name, class: class}
	g, ok := m.series.Load(key)
	if !ok {
		g, _ = m.series.LoadOrStore(key, m.scope.Tagged(map[string]string{"class": class}).Gauge(name))
	}
	g.(tally.Gauge).Update(v)
}

// Gauge sets the gauge name to v.
func (m Meter) Gauge(name string, v float64) {
	if m.scope != nil {
		m.scope.Gauge(name).Update(v)
	}
}
