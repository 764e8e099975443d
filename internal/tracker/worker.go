package tracker

import (
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// Incarnation identifies one incarnation of the platform's runner on a worker. A runner retains nothing from earlier
// incarnations.
type Incarnation struct {
	ID        string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"` // start time in milliseconds since the Unix epoch, by the runner's clock
}

// Profile describes a worker: its service, location and capacity.
type Profile struct {
	Service  string            `cbor:"1,keyasint"`
	Zone     string            `cbor:"2,keyasint"`
	Labels   []string          `cbor:"3,keyasint"` // include the rack
	Capacity modeler.Resources `cbor:"4,keyasint"`
}

// Rack returns the label that names the worker's rack, by convention the last one, or "" if there are no labels.
func (p Profile) Rack() string {
	if len(p.Labels) == 0 {
		return ""
	}
	return p.Labels[len(p.Labels)-1]
}

// HasLabel reports whether the profile has a label, ignoring case. Every profile has the empty label.
func (p Profile) HasLabel(label string) bool {
	return label == "" || slices.ContainsFunc(p.Labels, func(l string) bool { return strings.EqualFold(l, label) })
}

// Run is a run that occupies resources on a worker. It is the current one of its task, or its task is done through another
// member of its gang; then it has nothing left to do but end.
type Run struct {
	Key      RunKey            `cbor:"1,keyasint"`
	Need     modeler.Resources `cbor:"2,keyasint"`
	Stopping bool              `cbor:"3,keyasint,omitempty"` // to be stopped; it occupies its resources until it has ended
	Epoch    uint64            `cbor:"4,keyasint"`           // epoch of the attachment under which it was assigned
}

// Worker is the state of a worker that an agent has attached. It is immutable.
type Worker struct {
	Name          string      `cbor:"1,keyasint"`
	Incarnation   Incarnation `cbor:"2,keyasint"`
	AgentProcess  string      `cbor:"3,keyasint"` // id of the agent process
	Epoch         uint64      `cbor:"4,keyasint"` // fencing token of the attachment; never decreases
	Profile       Profile     `cbor:"5,keyasint"`
	Detached      bool        `cbor:"6,keyasint,omitempty"` // nothing runs there and nothing may be started
	Draining      bool        `cbor:"7,keyasint,omitempty"`
	Runs          []Run       `cbor:"8,keyasint,omitempty"`
	CommittedEnd  int         `cbor:"9,keyasint,omitempty"` // highest End.Number of this incarnation that is in the log
	ModifiedIndex uint64      `cbor:"10,keyasint"`          // log index of the last command that changed the worker
}

// Usable reports whether runs may be started on the worker.
func (w Worker) Usable() bool { return !w.Detached && !w.Draining }

// Used returns the resources that the worker's runs occupy, including runs that are being stopped.
func (w Worker) Used() modeler.Resources {
	var sum modeler.Resources
	for _, r := range w.Runs {
		sum = sum.Plus(r.Need)
	}
	return sum
}

// Free returns the capacity that no run occupies.
func (w Worker) Free() modeler.Resources { return w.Profile.Capacity.Minus(w.Used()) }

// Holds reports whether a run occupies the worker: it was assigned there, and neither was its end reported since nor the
// worker detached.
func (w Worker) Holds(key RunKey) bool { return w.runIndex(key) >= 0 }

func (w Worker) runIndex(key RunKey) int {
	return slices.IndexFunc(w.Runs, func(r Run) bool { return r.Key == key })
}

func (w Worker) withRun(r Run) Worker {
	w.Runs = append(slices.Clip(w.Runs), r)
	return w
}

func (w Worker) withoutRun(i int) Worker {
	w.Runs = slices.Delete(slices.Clone(w.Runs), i, i+1)
	return w
}

func (w Worker) withStopping(i int) Worker {
	w.Runs = slices.Clone(w.Runs)
	w.Runs[i].Stopping = true
	return w
}
