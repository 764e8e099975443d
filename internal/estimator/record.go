package estimator

import (
	"math"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// recordWindow is the number of recent run times that dominate the means of a record.
	recordWindow = 32
	// minRecords is the number of run times below which the declared run time is used.
	minRecords = 4
	// minVariance keeps a few equal run times, or a few exact declarations, from counting as certain.
	minVariance = 0.02
)

// Record summarizes the recent run times of a kind of task and the errors of their declarations. It is immutable, and
// its zero value is empty. Means are of natural logarithms of milliseconds, since run times and errors vary by factors.
type Record struct {
	Count            float64 `cbor:"1,keyasint"` // number of run times, at most recordWindow
	Mean             float64 `cbor:"2,keyasint"`
	MeanSquare       float64 `cbor:"3,keyasint"` // mean of squared logarithms
	DeclaredCount    float64 `cbor:"4,keyasint"` // number of run times with a declaration, at most recordWindow
	DeclarationError float64 `cbor:"5,keyasint"` // mean squared error of declarations
}

// WithObservation returns a copy with one more run time and its declaration, or zero if there was none. It ignores run
// times that are not positive.
func (r Record) WithObservation(runTime, declared timekeeper.Millis) Record {
	if runTime <= 0 {
		return r
	}
	logTime := math.Log(float64(runTime))
	r.Count = min(r.Count+1, recordWindow)
	r.Mean += (logTime - r.Mean) / r.Count
	r.MeanSquare += (logTime*logTime - r.MeanSquare) / r.Count
	if declared <= 0 {
		return r
	}
	logError := logTime - math.Log(float64(declared))
	r.DeclaredCount = min(r.DeclaredCount+1, recordWindow)
	r.DeclarationError += (logError*logError - r.DeclarationError) / r.DeclaredCount
	return r
}

// Typical returns the geometric mean of the recent run times, or zero if there are too few.
func (r Record) Typical() timekeeper.Millis {
	if r.Count < minRecords {
		return 0
	}
	return timekeeper.Millis(math.Exp(r.Mean))
}

// Estimate returns the expected run time of a task with a declared run time, or zero for none. It is the geometric mean
// of the typical time and the declaration, weighted by how accurate each has been. With too few observations it is the
// declaration.
func (r Record) Estimate(declared timekeeper.Millis) timekeeper.Millis {
	if declared <= 0 {
		return r.Typical()
	}
	if r.DeclaredCount < minRecords {
		return declared
	}
	variance := max(r.MeanSquare-r.Mean*r.Mean, 0) + minVariance
	weight := variance / (variance + r.DeclarationError + minVariance)
	return timekeeper.Millis(math.Exp(weight*math.Log(float64(declared)) + (1-weight)*r.Mean))
}
