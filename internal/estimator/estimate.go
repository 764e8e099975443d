package estimator

import (
	"math/bits"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	buckets    = 40
	decayAfter = 256 // observations after which all counts are halved, so that recent ones weigh more
	minSamples = 5   // observations below which the declared run time is used
)

// Histogram counts observed run times in buckets whose bounds are powers of two in milliseconds. It is immutable, and
// its zero value is empty.
type Histogram struct {
	Counts [buckets]uint16 `cbor:"1,keyasint"`
	Total  uint16          `cbor:"2,keyasint"`
}

// WithObservation returns a copy with one more run time.
func (h Histogram) WithObservation(d timekeeper.Millis) Histogram {
	if h.Total >= decayAfter {
		h = h.halved()
	}
	h.Counts[bucket(d)]++
	h.Total++
	return h
}

func (h Histogram) halved() Histogram {
	h.Total = 0
	for i := range h.Counts {
		h.Counts[i] /= 2
		h.Total += h.Counts[i]
	}
	return h
}

// Quantile returns the upper bound of the bucket that holds the q-quantile of the observed run times, with q in [0, 1),
// or zero if there are none.
func (h Histogram) Quantile(q float64) timekeeper.Millis {
	rank := uint16(q * float64(h.Total))
	var seen uint16
	for i, n := range h.Counts {
		seen += n
		if seen > rank {
			return timekeeper.Millis(1) << i
		}
	}
	return 0
}

// Estimate returns the expected run time of a job: quantile q of the observed run times, or the declared run time if
// there are too few observations.
func (h Histogram) Estimate(declared timekeeper.Millis, q float64) timekeeper.Millis {
	if h.Total < minSamples {
		return declared
	}
	return h.Quantile(q)
}

func bucket(d timekeeper.Millis) int {
	if d <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(d)), buckets-1)
}
