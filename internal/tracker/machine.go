package tracker

import (
	"fmt"
	"sync/atomic"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/estimator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Machine holds the present State for one writer, which applies the log, and any number of readers.
type Machine struct {
	state atomic.Pointer[State]
}

// NewMachine returns a machine with the state of a new cluster.
func NewMachine() *Machine {
	m := &Machine{}
	s := New()
	m.state.Store(&s)
	return m
}

// State returns the state after the last command applied.
func (m *Machine) State() State { return *m.state.Load() }

// Apply applies an encoded command and returns its Answer.
func (m *Machine) Apply(index uint64, command []byte) any {
	var c Command
	if err := encoder.Unmarshal(command, &c); err != nil {
		return Answer{Code: Invalid, Index: index}
	}
	next, answer := m.state.Load().Apply(index, c)
	m.state.Store(&next)
	return answer
}

// Capture returns a function that encodes the state as it is now.
func (m *Machine) Capture() func() ([]byte, error) {
	s := m.state.Load()
	return s.encode
}

// Restore replaces the state by an encoded one.
func (m *Machine) Restore(index uint64, data []byte) error {
	s, err := decode(data)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	s.Index = index
	m.state.Store(&s)
	return nil
}

// stateSnapshot is a State as snapshots hold it.
type stateSnapshot struct {
	Configuration modeler.Configuration `cbor:"1,keyasint"`
	Jobs          []jobSnapshot         `cbor:"2,keyasint"`
	Workers       []Worker              `cbor:"3,keyasint"`
	Records       []runTimesSnapshot    `cbor:"4,keyasint,omitempty"`
}

type runTimesSnapshot struct {
	Queue  string           `cbor:"1,keyasint"`
	Record estimator.Record `cbor:"2,keyasint"`
}

type jobSnapshot struct {
	Job   modeler.Job       `cbor:"1,keyasint"`
	Phase JobPhase          `cbor:"2,keyasint"`
	Ended timekeeper.Millis `cbor:"3,keyasint"`
	Tasks [][]Task          `cbor:"4,keyasint"`
}

func (s State) encode() ([]byte, error) {
	d := stateSnapshot{Configuration: s.Configuration, Workers: s.Workers()}
	s.Jobs(func(j Job) { d.Jobs = append(d.Jobs, jobSnapshot{j.Job, j.Phase, j.Ended, j.Tasks}) })
	for it := s.runTimes.Iterator(); !it.Done(); {
		queue, record, _ := it.Next()
		d.Records = append(d.Records, runTimesSnapshot{queue, record})
	}
	data, err := encoder.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

func decode(data []byte) (State, error) {
	var d stateSnapshot
	if err := encoder.Unmarshal(data, &d); err != nil {
		return State{}, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.Configuration = d.Configuration
	for _, j := range d.Jobs {
		s.putJob(Job{j.Job, j.Phase, j.Ended, j.Tasks})
	}
	for _, w := range d.Workers {
		s.workers = s.workers.Set(w.Name, w)
	}
	for _, r := range d.Records {
		s.runTimes = s.runTimes.Set(r.Queue, r.Record)
	}
	return s, nil
}
