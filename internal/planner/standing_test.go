package planner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// maxStanding is how long a job may have nothing running beside room for it, as the users' rules state it.
const maxStanding timekeeper.Millis = 3000

// standingWatch records jobs that stand still: nothing of them runs for longer than maxStanding although a step is ready,
// its tasks fit twice, and less than half of the workers' capacity is in use.
type standingWatch struct {
	since map[modeler.JobID]timekeeper.Millis
	found map[modeler.JobID]timekeeper.Millis // longest time
}

func newStandingWatch() *standingWatch {
	return &standingWatch{since: map[modeler.JobID]timekeeper.Millis{}, found: map[modeler.JobID]timekeeper.Millis{}}
}

// watch wraps a policy so that each state that it decides on is looked at.
func (w *standingWatch) watch(policy func(Input) tracker.Assign) func(Input) tracker.Assign {
	return func(in Input) tracker.Assign {
		w.look(in)
		return policy(in)
	}
}

func (w *standingWatch) look(in Input) {
	if mostlyInUse(in.State) {
		clear(w.since)
		return
	}
	for _, j := range in.State.UnfinishedJobs() {
		if !standsBesideRoom(in.State, j) {
			delete(w.since, j.ID)
			continue
		}
		if _, known := w.since[j.ID]; !known {
			w.since[j.ID] = in.Now
		}
		if stood := in.Now - w.since[j.ID]; stood > maxStanding {
			w.found[j.ID] = max(w.found[j.ID], stood)
		}
	}
}

func mostlyInUse(s tracker.State) bool {
	used, capacity := 0, 0
	for _, w := range s.Workers() {
		used += w.Used().Weight()
		capacity += w.Profile.Capacity.Weight()
	}
	return 2*used >= capacity
}

// standsBesideRoom reports whether nothing of a job runs although the tasks of a ready step, those of a gang together,
// fit twice.
func standsBesideRoom(s tracker.State, j tracker.Job) bool {
	ready := -1
	for instance, tasks := range j.Tasks {
		for _, t := range tasks {
			if t.Phase == tracker.TaskAssigned {
				return false
			}
		}
		if ready < 0 && j.InstanceReady(instance) && j.WaitingTasks(instance) > 0 {
			ready = instance
		}
	}
	return ready >= 0 && fitsTwice(s, j.StepOf(ready))
}

func fitsTwice(s tracker.State, step modeler.Step) bool {
	wanted := 2
	if step.Gang {
		wanted *= step.Count
	}
	fit := map[string]int{}
	for _, w := range s.Workers() {
		domain := ""
		if step.Gang && step.OneRack {
			domain = w.Profile.Rack()
		}
		fit[domain] += step.Need.FitCount(w.Free(), wanted)
		if fit[domain] >= wanted {
			return true
		}
	}
	return false
}

// TestNoJobStandsBesideIdleWorkersOnDrawnDays guards against reservations that keep jobs standing beside idle workers
// once a day's work runs out and waiting gangs lack room in a few places only.
func TestNoJobStandsBesideIdleWorkersOnDrawnDays(t *testing.T) {
	for _, day := range []struct {
		site site
		load float64
		seed uint64
	}{{dvorak.grown(), 1, 5}, {taukvads, 1.8, 5}} {
		t.Run(fmt.Sprintf("%s-%d", day.site.name, day.seed), func(t *testing.T) {
			t.Parallel()
			w := newStandingWatch()
			day.site.simulate(t, w.watch(Plan), day.site.day(day.seed, day.load), true)
			if diff := cmp.Diff(map[modeler.JobID]timekeeper.Millis{}, w.found); diff != "" {
				t.Errorf("jobs that stood beside room, with the longest time (-want +got):\n%s", diff)
			}
		})
	}
}
