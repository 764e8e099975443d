package meter

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestGaugesOfClasses checks that each class of a gauge is served with its last value.
func TestGaugesOfClasses(t *testing.T) {
	m, closer := New("p")
	m.GaugeOf("jobs_waiting", "no-room", 3)
	m.GaugeOf("jobs_waiting", "headroom", 1)
	m.GaugeOf("jobs_waiting", "no-room", 2)
	if err := closer.Close(); err != nil { // reports the values
		t.Fatal(err)
	}
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	var got []string
	for line := range strings.Lines(response.Body.String()) {
		if strings.HasPrefix(line, "lagoonmill_jobs_waiting") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	slices.Sort(got)
	want := []string{
		`lagoonmill_jobs_waiting{class="headroom",process="p"} 1`,
		`lagoonmill_jobs_waiting{class="no-room",process="p"} 2`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("gauges (-want +got):\n%s", diff)
	}
}

// TestZeroMeterDiscards checks that a meter without a scope takes every kind of value.
func TestZeroMeterDiscards(t *testing.T) {
	var m Meter
	m.Gauge("g", 1)
	m.GaugeOf("g", "class", 1)
	m.Count("c", "workspace", "class", "result")
	m.Observe("h", "workspace", "class", 1)
}
