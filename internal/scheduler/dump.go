package scheduler

import (
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/estimator"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Dump is a State in a form that can be encoded. It omits the indexes; Restore rebuilds them.
type Dump struct {
	Now      timekeeper.Millis `cbor:"1,keyasint"`
	Policy   Policy            `cbor:"2,keyasint"`
	Workers  []DumpedWorker    `cbor:"3,keyasint"`
	Accounts []DumpedAccount   `cbor:"4,keyasint"`
	Slots    []Slot            `cbor:"5,keyasint"`
	Jobs     []Job             `cbor:"6,keyasint"`
	Timers   []DumpedTimer     `cbor:"7,keyasint"`
}

// DumpedWorker is a worker and its health.
type DumpedWorker struct {
	Worker      placer.Worker `cbor:"1,keyasint"`
	FailedJobs  []string      `cbor:"2,keyasint"`
	Quarantined bool          `cbor:"3,keyasint"`
	Drained     bool          `cbor:"4,keyasint"`
	Lost        bool          `cbor:"5,keyasint"`
}

// DumpedAccount is a workspace and the observed run times of its jobs by class.
type DumpedAccount struct {
	Workspace Workspace                       `cbor:"1,keyasint"`
	RunTimes  [numClasses]estimator.Histogram `cbor:"2,keyasint"`
}

// DumpedTimer is a timer that has not fired yet.
type DumpedTimer struct {
	At      timekeeper.Millis `cbor:"1,keyasint"`
	Kind    uint8             `cbor:"2,keyasint"`
	ID      string            `cbor:"3,keyasint"`
	Attempt int               `cbor:"4,keyasint"`
}

// Dump returns the content of the state. Equal states have equal dumps.
func (s State) Dump() Dump {
	d := Dump{Now: s.now, Policy: s.policy}
	s.cells.VisitLoads(func(l placer.Load) {
		h, _ := s.health.Get(l.Worker.ID)
		d.Workers = append(d.Workers, DumpedWorker{l.Worker, h.FailedJobs, h.Quarantined, h.Drained, h.Lost})
	})
	for it := s.accounts.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		d.Accounts = append(d.Accounts, DumpedAccount{a.Workspace, a.RunTimes})
	}
	s.Slots(func(slot Slot) { d.Slots = append(d.Slots, slot) })
	s.Jobs(func(j *Job) bool {
		d.Jobs = append(d.Jobs, *j)
		return true
	})
	slices.SortFunc(d.Jobs, func(a, b Job) int { return strings.Compare(a.Spec.ID, b.Spec.ID) })
	for it := s.timers.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		d.Timers = append(d.Timers, DumpedTimer{key.At, uint8(key.Kind), key.ID, key.Attempt})
	}
	return d
}

// Restore returns the state that d was taken from.
func Restore(d Dump) State {
	t := &step{State: NewState(d.Policy), changedWorkers: map[string]struct{}{}, freedWorkers: map[string]struct{}{}}
	t.now = d.Now
	for _, w := range d.Workers {
		t.cells = t.cells.WithWorker(w.Worker)
		t.setHealth(w.Worker.ID, health{w.FailedJobs, w.Quarantined, w.Drained, w.Lost})
	}
	for _, a := range d.Accounts {
		t.accounts = t.accounts.Set(a.Workspace.Name, &account{Workspace: a.Workspace, RunTimes: a.RunTimes})
	}
	for _, slot := range d.Slots {
		t.slots = t.slots.Set(slot.Key, Slot{Key: slot.Key, Demand: slot.Demand, FeasibleBinding: slot.FeasibleBinding})
		t.bind(t.slot(slot.Key), slot.Binding)
	}
	for i := range d.Jobs {
		t.updateJob(nil, &d.Jobs[i])
	}
	for _, slot := range d.Slots {
		current := t.slot(slot.Key)
		current.Jobs = slot.Jobs // in order of arrival
		t.slots = t.slots.Set(slot.Key, current)
	}
	for _, timer := range d.Timers {
		t.setTimer(timer.At, timerKind(timer.Kind), timer.ID, timer.Attempt)
	}
	return t.State
}
