package estimator

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// simulatedRecord returns the record of n tasks with log-normal run times around typical, and with log-normal errors of
// their declarations. Spreads are standard deviations of logarithms.
func simulatedRecord(n int, typical timekeeper.Millis, timeSpread, declaredSpread float64) Record {
	rng := rand.New(rand.NewPCG(1, 2))
	var r Record
	for range n {
		runTime := float64(typical) * math.Exp(timeSpread*rng.NormFloat64())
		r = r.WithObservation(timekeeper.Millis(runTime), timekeeper.Millis(runTime*math.Exp(declaredSpread*rng.NormFloat64())))
	}
	return r
}

// TestEstimatePrefersMoreAccurateSource checks that an estimate is near the typical time if declarations are
// inaccurate, and near the declaration if run times vary more.
func TestEstimatePrefersMoreAccurateSource(t *testing.T) {
	tests := []struct {
		name                       string
		timeSpread, declaredSpread float64
		declared                   timekeeper.Millis
		low, high                  timekeeper.Millis
	}{
		{"inaccurate declarations, similar run times", 0.2, 1.2, 80_000, 7000, 13_000},
		{"accurate declarations, varying run times", 1.2, 0.1, 80_000, 60_000, 100_000},
		{"no declaration", 0.2, 0.5, 0, 7000, 10_000},
	}
	for _, test := range tests {
		got := simulatedRecord(200, 8500, test.timeSpread, test.declaredSpread).Estimate(test.declared)
		if got < test.low || got > test.high {
			t.Errorf("%s: estimate %v, want %v to %v", test.name, got, test.low, test.high)
		}
	}
}

// TestEstimateCorrectsSystematicError checks that the estimate is near the typical time if every task takes three times
// what it declares.
func TestEstimateCorrectsSystematicError(t *testing.T) {
	var r Record
	for i := range 40 {
		declared := timekeeper.Millis(1000 + 100*(i%7))
		r = r.WithObservation(3*declared, declared)
	}
	if got := r.Estimate(1300); got < 3000 || got > 4500 {
		t.Errorf("a task that declares 1300ms is estimated at %v, want about 3900ms", got)
	}
}

// TestEstimateUsesDeclarationWithFewRecords checks the estimate and the typical time after fewer than minRecords run
// times.
func TestEstimateUsesDeclarationWithFewRecords(t *testing.T) {
	r := simulatedRecord(minRecords-1, 8500, 0.2, 1)
	if got := r.Estimate(300); got != 300 {
		t.Errorf("after %d observations the estimate is %v, want the declared 300ms", minRecords-1, got)
	}
	if got := r.Typical(); got != 0 {
		t.Errorf("the typical time is %v after %d observations, want none", got, minRecords-1)
	}
}

// TestRecordAdaptsToChange checks that the typical time follows when tasks become ten times as long.
func TestRecordAdaptsToChange(t *testing.T) {
	r := simulatedRecord(100, 800, 0.1, 0.1)
	for range 100 {
		r = r.WithObservation(8000, 8000)
	}
	if got := r.Typical(); got < 6000 {
		t.Errorf("the typical time is %v after a hundred tasks of 8000ms, want at least 6000ms", got)
	}
}
