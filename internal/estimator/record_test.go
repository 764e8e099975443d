package estimator

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// observed returns the record of n tasks of about usual, whose declarations are off by a spread.
func observed(n int, usual timekeeper.Millis, spread, wrong float64) Record {
	rng := rand.New(rand.NewPCG(1, 2))
	var r Record
	for range n {
		took := float64(usual) * math.Exp(spread*rng.NormFloat64())
		r = r.WithObservation(timekeeper.Millis(took), timekeeper.Millis(took*math.Exp(wrong*rng.NormFloat64())))
	}
	return r
}

// TestEstimateTrustsWhatIsLessWrong has tasks of nearly equal length with wild declarations, and the reverse.
func TestEstimateTrustsWhatIsLessWrong(t *testing.T) {
	tests := []struct {
		name          string
		spread, wrong float64
		declared      timekeeper.Millis
		low, high     timekeeper.Millis
	}{
		{"wild declarations of equal tasks", 0.2, 1.2, 80_000, 7000, 13_000},
		{"good declarations of unequal tasks", 1.2, 0.1, 80_000, 60_000, 100_000},
		{"nothing declared", 0.2, 0.5, 0, 7000, 10_000},
	}
	for _, test := range tests {
		got := observed(200, 8500, test.spread, test.wrong).Estimate(test.declared)
		if got < test.low || got > test.high {
			t.Errorf("%s: estimate %v, want %v to %v", test.name, got, test.low, test.high)
		}
	}
}

// TestEstimateLeavesASteadyError has every task take three times what is declared: then the usual time says more.
func TestEstimateLeavesASteadyError(t *testing.T) {
	var r Record
	for i := range 40 {
		declared := timekeeper.Millis(1000 + 100*(i%7))
		r = r.WithObservation(3*declared, declared)
	}
	if got := r.Estimate(1300); got < 3000 || got > 4500 {
		t.Errorf("a task that declares 1300ms is taken for one of %v, want about 3900ms", got)
	}
}

// TestEstimateBelievesDeclarationsAtFirst gives a few observations only.
func TestEstimateBelievesDeclarationsAtFirst(t *testing.T) {
	r := observed(fewestRecorded-1, 8500, 0.2, 1)
	if got := r.Estimate(300); got != 300 {
		t.Errorf("after %d observations the estimate is %v, want the declared 300ms", fewestRecorded-1, got)
	}
	if got := r.Usual(); got != 0 {
		t.Errorf("the usual time is %v after %d observations, want none", got, fewestRecorded-1)
	}
}

// TestRecordFollowsChange has tasks become ten times as long.
func TestRecordFollowsChange(t *testing.T) {
	r := observed(100, 800, 0.1, 0.1)
	for range 100 {
		r = r.WithObservation(8000, 8000)
	}
	if got := r.Usual(); got < 6000 {
		t.Errorf("the usual time is %v after a hundred tasks of 8000ms", got)
	}
}
