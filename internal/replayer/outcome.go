package replayer

import (
	"fmt"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// Check returns a message for each deviation of the result from the expected outcomes of the trace.
func (r *Result) Check() []string {
	var found []string
	o := r.Trace.Outcomes
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for _, j := range r.Jobs {
		id := j.Spec.ID
		if want, ok := o.Ends[id]; ok && j.End.String() != want {
			add("job %s ended as %q, expected %q", id, j.End, want)
		}
		if within, ok := o.StartedWithin[id]; ok && (j.Started == 0 || j.Started-j.Submitted > within) {
			add("job %s waited %v, expected at most %v", id, j.Started-j.Submitted, within)
		}
		if want, ok := o.Attempts[id]; ok && j.Attempts != want {
			add("job %s took %d attempts, expected %d", id, j.Attempts, want)
		}
		if o.AllEnd && j.End == scheduler.EndNone {
			add("job %s did not end", id)
		}
		found = append(found, r.checkWaits(j)...)
	}
	for _, w := range o.Quarantined {
		if !r.Quarantined[w] {
			add("worker %s was not quarantined", w)
		}
	}
	return found
}

func (r *Result) checkWaits(j *JobResult) []string {
	o := r.Trace.Outcomes
	if j.End == scheduler.EndNotRun {
		return nil
	}
	wait := j.Started - j.Submitted
	if j.Started == 0 {
		wait = r.Horizon - j.Submitted
	}
	var found []string
	if o.UrgentWithin > 0 && j.Spec.Class == scheduler.ClassUrgent && j.Guaranteed && wait > o.UrgentWithin {
		found = append(found, fmt.Sprintf("urgent job %s waited %v, expected at most %v", j.Spec.ID, wait, o.UrgentWithin))
	}
	if o.GangsWithin > 0 && j.Spec.Demand.Total() > 8 && wait > o.GangsWithin {
		found = append(found, fmt.Sprintf("gang %s waited %v, expected at most %v", j.Spec.ID, wait, o.GangsWithin))
	}
	return found
}

// Describe formats the deviations that Check returned, one a line.
func Describe(found []string) string { return strings.Join(found, "\n") }
