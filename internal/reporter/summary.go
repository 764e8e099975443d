package reporter

import (
	"math"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Classes is the number of classes that a summary tells apart.
const Classes = 3

// Quantiles are completion times of one class: finish minus submission. A job that did not finish counts with the
// time to the end of the replay.
type Quantiles struct {
	Jobs          int
	P50, P95, P99 timekeeper.Millis
	ByDeadline    float64 // share of the jobs with a deadline that finished by it, 0 to 1
}

// Summary is the figures of one replay.
type Summary struct {
	Trace         string
	Variant       replayer.Variant
	Class         [Classes]Quantiles
	MeanSlowdown  float64           // geometric mean over classes of the p95 completion time, in seconds
	Fragmentation float64           // time-weighted, 0 to 1
	LostHours     float64           // accelerator-hours that ran and were thrown away
	Stops         int               // jobs stopped for others
	UrgentMax     timekeeper.Millis // longest wait of an urgent job that a free guarantee could hold
	ReclaimP99    timekeeper.Millis // wait of jobs for whose start others were stopped
	Unfinished    int               // jobs that had not ended
	GangMax       timekeeper.Millis // longest wait of a gang of more than eight accelerators
	Score         float64           // weighted, against first come first served; lower is better
	Departures    []string          // from the stated outcomes
}

// Summarize returns the figures of a replay, without the score.
func Summarize(r *replayer.Result) Summary {
	s := Summary{Trace: r.Trace.Name, Variant: r.Variant, Stops: r.Stops, LostHours: float64(r.Lost) / float64(timekeeper.Hour), Departures: r.Check()}
	logs := 0.0
	for class := range Classes {
		s.Class[class] = quantilesOf(r, scheduler.Class(class))
		logs += math.Log(max(float64(s.Class[class].P95), 1) / float64(timekeeper.Second))
	}
	s.MeanSlowdown = math.Exp(logs / Classes)
	s.Fragmentation = fragmentation(r)
	s.addWaits(r)
	return s
}

// Scored returns a copy with the weighted score against the first-come baseline: the weight goes to completion time,
// what is left of one to fragmentation, each as a ratio to the baseline's.
func (s Summary) Scored(baseline Summary, completionWeight float64) Summary {
	const least = 0.001 // keeps a baseline without fragmentation from dividing by zero
	completion := s.MeanSlowdown / max(baseline.MeanSlowdown, least)
	fragmented := max(s.Fragmentation, least) / max(baseline.Fragmentation, least)
	s.Score = completionWeight*completion + (1-completionWeight)*fragmented
	return s
}

func quantilesOf(r *replayer.Result, class scheduler.Class) Quantiles {
	var times []timekeeper.Millis
	withDeadline, met := 0, 0
	for _, j := range r.Jobs {
		if j.Spec.Class != class || j.End == scheduler.EndNotRun || j.End == scheduler.EndFailed || j.End == scheduler.EndStopped {
			continue
		}
		ended := j.Ended
		if ended == 0 {
			ended = r.Horizon
		}
		times = append(times, ended-j.Submitted)
		if j.Spec.Deadline > 0 {
			withDeadline++
			if j.Ended > 0 && j.Ended <= j.Spec.Deadline {
				met++
			}
		}
	}
	slices.Sort(times)
	q := Quantiles{Jobs: len(times), P50: at(times, 0.5), P95: at(times, 0.95), P99: at(times, 0.99), ByDeadline: 1}
	if withDeadline > 0 {
		q.ByDeadline = float64(met) / float64(withDeadline)
	}
	return q
}

func at(sorted []timekeeper.Millis, q float64) timekeeper.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// fragmentation is weighted by time, up to the last end of a job.
func fragmentation(r *replayer.Result) float64 {
	var end timekeeper.Millis
	for _, j := range r.Jobs {
		end = max(end, j.Ended)
	}
	sum, span := 0.0, 0.0
	for i, s := range r.Samples {
		until := end
		if i+1 < len(r.Samples) {
			until = min(end, r.Samples[i+1].At)
		}
		if until > s.At {
			sum += s.Fragmentation * float64(until-s.At)
			span += float64(until - s.At)
		}
	}
	if span == 0 {
		return 0
	}
	return sum / span
}

func (s *Summary) addWaits(r *replayer.Result) {
	const gang = 8
	var reclaims []timekeeper.Millis
	for _, j := range r.Jobs {
		if j.End == scheduler.EndNone {
			s.Unfinished++
		}
		if j.End == scheduler.EndNotRun {
			continue
		}
		wait := j.Started - j.Submitted
		if j.Started == 0 {
			wait = r.Horizon - j.Submitted
		}
		if j.Spec.Class == scheduler.ClassUrgent && j.Guaranteed {
			s.UrgentMax = max(s.UrgentMax, wait)
		}
		if j.Spec.Demand.Total() > gang {
			s.GangMax = max(s.GangMax, wait)
		}
		if j.Reclaimed {
			reclaims = append(reclaims, wait)
		}
	}
	slices.Sort(reclaims)
	s.ReclaimP99 = at(reclaims, 0.99)
}
