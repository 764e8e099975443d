package tracker

import (
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// Life identifies one life of the platform's runner on a worker: it knows nothing of earlier ones.
type Life struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // start, in milliseconds since the Unix epoch by the runner's clock
}

// Profile is what a worker offers.
type Profile struct {
	Service  string            `cbor:"1,keyasint"`
	Zone     string            `cbor:"2,keyasint"`
	Labels   []string          `cbor:"3,keyasint"` // its rack among them
	Capacity modeler.Resources `cbor:"4,keyasint"`
}

// Rack returns the label that names the worker's rack; by convention it is the last one.
func (p Profile) Rack() string {
	if len(p.Labels) == 0 {
		return ""
	}
	return p.Labels[len(p.Labels)-1]
}

// Run is one run that holds room on a worker.
type Run struct {
	Key      RunKey            `cbor:"1,keyasint"`
	Need     modeler.Resources `cbor:"2,keyasint"`
	Stopping bool              `cbor:"3,keyasint,omitempty"` // it is to be stopped; its room stays taken until it ended
	Epoch    uint64            `cbor:"4,keyasint"`           // of the attachment that it was assigned under
}

// Worker is a worker as its agent attached it; it is immutable.
type Worker struct {
	Name     string  `cbor:"1,keyasint"`
	Life     Life    `cbor:"2,keyasint"`
	Process  string  `cbor:"3,keyasint"` // incarnation of the agent
	Epoch    uint64  `cbor:"4,keyasint"` // fencing token of the attachment; it only rises
	Profile  Profile `cbor:"5,keyasint"`
	Gone     bool    `cbor:"6,keyasint,omitempty"` // nothing runs there and nothing may be started
	Draining bool    `cbor:"7,keyasint,omitempty"`
	Runs     []Run   `cbor:"8,keyasint,omitempty"`
	Recorded int     `cbor:"9,keyasint,omitempty"` // number of the last end of this life that is in the log
	Changed  uint64  `cbor:"10,keyasint"`          // index of the last command that changed the worker
}

// Usable reports whether runs may be started on the worker.
func (w Worker) Usable() bool { return !w.Gone && !w.Draining }

// Used returns what the worker's runs need, those that are being stopped included.
func (w Worker) Used() modeler.Resources {
	var sum modeler.Resources
	for _, r := range w.Runs {
		sum = sum.Plus(r.Need)
	}
	return sum
}

// Free returns what no run holds.
func (w Worker) Free() modeler.Resources { return w.Profile.Capacity.Minus(w.Used()) }

func (w Worker) runIndex(key RunKey) int {
	return slices.IndexFunc(w.Runs, func(r Run) bool { return r.Key == key })
}

func (w Worker) withRun(r Run) Worker {
	w.Runs = append(slices.Clip(w.Runs), r)
	return w
}

func (w Worker) withoutRun(at int) Worker {
	w.Runs = slices.Delete(slices.Clone(w.Runs), at, at+1)
	return w
}

func (w Worker) withStopping(at int) Worker {
	w.Runs = slices.Clone(w.Runs)
	w.Runs[at].Stopping = true
	return w
}
