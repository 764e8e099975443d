package estimator

import (
	"math/bits"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	buckets    = 40
	decayAfter = 256 // observations after which all counts are halved, so that old habits fade
	minSamples = 5   // observations below which a declaration is believed
)

// Histogram counts observed run times in buckets whose bounds double; its zero value is empty and it is immutable.
type Histogram struct {
	Counts [buckets]uint16 `cbor:"1,keyasint"`
	Total  uint16          `cbor:"2,keyasint"`
}

// WithObservation returns a copy that counts one more run time.
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

// Quantile returns the upper bound of the bucket that holds the q-quantile, 0 to 1, of what was observed.
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

// Estimate returns the expected run time of a job that declares the given one: what was observed at quantile q
// where enough was, else the declaration.
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
