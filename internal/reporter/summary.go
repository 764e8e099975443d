package reporter

import (
	"math"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Classes is the number of job classes in a summary.
const Classes = 3

// Quantiles are quantiles of the completion times of one class, from submission to the end. The completion time of a
// job that did not end is the time to the end of the replay. Jobs that failed, were stopped or never ran are left out.
type Quantiles struct {
	Jobs          int
	P50, P95, P99 timekeeper.Millis
	ByDeadline    float64 // share of the jobs with a deadline that finished by it, 0 to 1
}

// Summary holds the metrics of one replay.
type Summary struct {
	Trace         string
	Variant       replayer.Variant
	Class         [Classes]Quantiles
	MeanSlowdown  float64           // geometric mean over the classes of the P95 completion time, in seconds
	Fragmentation float64           // time-weighted mean, 0 to 1
	LostHours     float64           // accelerator-hours of run time that no checkpoint kept
	Stops         int               // running attempts that the scheduler stopped
	UrgentMax     timekeeper.Millis // longest wait of an urgent job whose guarantee was free
	ReclaimP99    timekeeper.Millis // P99 wait of jobs for whose first start others were stopped
	Unfinished    int               // jobs that did not end
	GangMax       timekeeper.Millis // longest wait of a gang of more than eight accelerators
	Score         float64           // relative to the first-come baseline; lower is better
	Departures    []string          // deviations from the expected outcomes
}

// Summarize computes the metrics of a replay except the score.
func Summarize(r *replayer.Result) Summary {
	s := Summary{Trace: r.Trace.Name, Variant: r.Variant, Stops: r.Stops, LostHours: float64(r.LostWork) / float64(timekeeper.Hour), Departures: r.Check()}
	logSum := 0.0
	for class := range Classes {
		s.Class[class] = quantilesOf(r, scheduler.Class(class))
		logSum += math.Log(max(float64(s.Class[class].P95), 1) / float64(timekeeper.Second))
	}
	s.MeanSlowdown = math.Exp(logSum / Classes)
	s.Fragmentation = fragmentation(r)
	s.addWaits(r)
	return s
}

// WithScore returns a copy with the score relative to a baseline: completionWeight times the ratio of the completion
// times plus (1 - completionWeight) times the ratio of the fragmentation. completionWeight is from 0 to 1.
func (s Summary) WithScore(baseline Summary, completionWeight float64) Summary {
	const epsilon = 0.001 // avoids a division by zero if the baseline has no fragmentation
	completion := s.MeanSlowdown / max(baseline.MeanSlowdown, epsilon)
	fragmented := max(s.Fragmentation, epsilon) / max(baseline.Fragmentation, epsilon)
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
	q := Quantiles{Jobs: len(times), P50: quantile(times, 0.5), P95: quantile(times, 0.95), P99: quantile(times, 0.99), ByDeadline: 1}
	if withDeadline > 0 {
		q.ByDeadline = float64(met) / float64(withDeadline)
	}
	return q
}

// quantile returns the nearest-rank quantile q, 0 to 1, of sorted times, or 0 if there are none.
func quantile(sorted []timekeeper.Millis, q float64) timekeeper.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// fragmentation returns the time-weighted mean up to the last end of a job.
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

// addWaits sets the metrics of waiting times and the number of unfinished jobs.
func (s *Summary) addWaits(r *replayer.Result) {
	const workerSize = 8 // accelerators of a worker; a gang has more
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
		if j.Spec.Demand.Total() > workerSize {
			s.GangMax = max(s.GangMax, wait)
		}
		if j.Reclaimed {
			reclaims = append(reclaims, wait)
		}
	}
	slices.Sort(reclaims)
	s.ReclaimP99 = quantile(reclaims, 0.99)
}
