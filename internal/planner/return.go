package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// roomReturn is when the room of a run is expected to come back if nothing stops the run. The zero value is now.
type roomReturn struct {
	after timekeeper.Millis // from now on
	never bool              // the run goes on until it is stopped
}

// newRoomReturn returns when the room of a run of a step is expected to come back, by the run's progress if known and else by
// the step's estimate. That of a long-running step never does: its percentage tells whether it is at work.
func newRoomReturn(step *modeler.Step, p Progress) roomReturn {
	switch {
	case step.LongRunning:
		return roomReturn{never: true}
	case p.Percent > 0 && p.Elapsed > 0:
		return roomReturn{after: p.Elapsed * timekeeper.Millis(100-p.Percent) / timekeeper.Millis(p.Percent)}
	}
	return roomReturn{after: max(step.Estimate-p.Elapsed, 0)}
}

// within reports whether the room is expected to come back within a time.
func (r roomReturn) within(t timekeeper.Millis) bool { return !r.never && r.after <= t }

// returnOf returns when the room of a run is expected to come back. A run whose job is not a candidate counts as one that is
// about to end.
func (b *planBuilder) returnOf(key tracker.RunKey) roomReturn {
	c, ok := b.jobs[key.Task.Job]
	if !ok {
		return roomReturn{}
	}
	return newRoomReturn(&c.job.Steps[key.Task.Step], b.in.Progress[key])
}

// countLongRunning counts the room of a run that goes on until it is stopped. A guarantee may have it stopped for sure only if the
// run's rank is lower and its job does not limit interruptions.
func (w *workerState) countLongRunning(r *assignedRun, step *modeler.Step) {
	if !r.back.never {
		return
	}
	w.longRunning = w.longRunning.Plus(r.run.Need)
	if r.rank == rankGuaranteed || step.MaxAway > 0 {
		w.unstoppable = w.unstoppable.Plus(r.run.Need)
	}
}

// roomInTime returns the resources of the worker that a demand may have sooner or later: all but those of long-running runs that
// are not stopped for it.
func (w *workerState) roomInTime(d demand) modeler.Resources {
	if d.rank == rankGuaranteed {
		return w.info.Profile.Capacity.Minus(w.unstoppable)
	}
	return w.info.Profile.Capacity.Minus(w.longRunning)
}

// release is a return of room.
type release struct {
	after timekeeper.Millis // from now on
	freed modeler.Resources
}

// earliestFit returns the expected time until need fits on the worker if nothing else starts there, and whether it ever
// does.
func (w *workerState) earliestFit(need modeler.Resources) (timekeeper.Millis, bool) {
	free := w.futureFree
	if need.Fits(free) {
		return 0, true
	}
	if !need.Fits(w.info.Profile.Capacity) {
		return 0, false
	}
	for _, r := range w.expectedReleases() {
		free = free.Plus(r.freed)
		if need.Fits(free) {
			return r.after, true
		}
	}
	return 0, false
}

// expectedReleases returns the returns of room that are expected on the worker, earliest first.
func (w *workerState) expectedReleases() []release {
	if w.releases != nil {
		return w.releases
	}
	w.releases = make([]release, 0, len(w.runs))
	for _, r := range w.runs {
		if !r.back.never {
			w.releases = append(w.releases, release{r.back.after, r.run.Need})
		}
	}
	slices.SortFunc(w.releases, func(x, y release) int { return cmp.Compare(x.after, y.after) })
	return w.releases
}
