package estimator

import (
	"math"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// recordSpan is the number of last run times that a record mostly speaks of, so that old habits fade.
	recordSpan = 32
	// fewestRecorded is the number of run times below which a declaration is believed.
	fewestRecorded = 4
	// leastVariance keeps a few equal run times, or a few right declarations, from being taken for certain.
	leastVariance = 0.02
)

// Record is what the last tasks of a kind took, against what was declared for them; its zero value knows nothing and
// it is immutable. Sums are of natural logarithms of milliseconds, since run times and errors of declarations spread
// by factors.
type Record struct {
	Count    float64 `cbor:"1,keyasint"` // run times that the means speak of, recordSpan at most
	Mean     float64 `cbor:"2,keyasint"`
	Square   float64 `cbor:"3,keyasint"` // mean of squares
	Declared float64 `cbor:"4,keyasint"` // run times that had a declaration, recordSpan at most
	Error    float64 `cbor:"5,keyasint"` // mean of squares of what declarations were off
}

// WithObservation returns a copy that knows one more run time and what was declared for it, zero for nothing.
func (r Record) WithObservation(took, declared timekeeper.Millis) Record {
	if took <= 0 {
		return r
	}
	value := math.Log(float64(took))
	r.Count = min(r.Count+1, recordSpan)
	r.Mean += (value - r.Mean) / r.Count
	r.Square += (value*value - r.Square) / r.Count
	if declared <= 0 {
		return r
	}
	off := value - math.Log(float64(declared))
	r.Declared = min(r.Declared+1, recordSpan)
	r.Error += (off*off - r.Error) / r.Declared
	return r
}

// Usual returns what a task of the kind usually takes, or zero where too little is known.
func (r Record) Usual() timekeeper.Millis {
	if r.Count < fewestRecorded {
		return 0
	}
	return timekeeper.Millis(math.Exp(r.Mean))
}

// Estimate returns the expected run time of a task that declares the given one: between the usual time and the
// declaration, the nearer to each the less it has been off. Where too little is known it is the declaration.
func (r Record) Estimate(declared timekeeper.Millis) timekeeper.Millis {
	if declared <= 0 {
		return r.Usual()
	}
	if r.Declared < fewestRecorded {
		return declared
	}
	spread := max(r.Square-r.Mean*r.Mean, 0) + leastVariance
	trust := spread / (spread + r.Error + leastVariance)
	return timekeeper.Millis(math.Exp(trust*math.Log(float64(declared)) + (1-trust)*r.Mean))
}
