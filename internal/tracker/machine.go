package tracker

import (
	"fmt"
	"sync/atomic"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/estimator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Machine holds the current State. One goroutine applies the log to it; any number may read it at the same time.
type Machine struct {
	state atomic.Pointer[State]
}

// NewMachine returns a machine with the empty state of a new cluster.
func NewMachine() *Machine {
	m := &Machine{}
	s := New()
	m.state.Store(&s)
	return m
}

// State returns the state after the last applied command.
func (m *Machine) State() State { return *m.state.Load() }

// Apply decodes and applies a command from the log and returns an Answer. A command that cannot be decoded leaves the
// state unchanged.
func (m *Machine) Apply(index uint64, command []byte) any {
	var c Command
	if err := encoder.Unmarshal(command, &c); err != nil {
		return Answer{Code: Invalid, Index: index}
	}
	next, answer := m.state.Load().Apply(index, c)
	m.state.Store(&next)
	return answer
}

// Capture returns a function that encodes the state at the time of the call to Capture. The function may run on any
// goroutine while further commands are applied.
func (m *Machine) Capture() func() ([]byte, error) {
	s := m.state.Load()
	return s.encode
}

// Restore replaces the state by a snapshot taken at the given index.
func (m *Machine) Restore(index uint64, data []byte) error {
	s, err := decode(data)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	s.Index = index
	m.state.Store(&s)
	return nil
}

// Check returns an error if Restore would refuse the data of a snapshot.
func (m *Machine) Check(data []byte) error {
	_, err := decode(data)
	return err
}

// stateSnapshot is the encoded form of a State in snapshots.
type stateSnapshot struct {
	Configuration modeler.Configuration `cbor:"1,keyasint"`
	Jobs          []jobSnapshot         `cbor:"2,keyasint"`
	Workers       []Worker              `cbor:"3,keyasint"`
	Records       []runTimesSnapshot    `cbor:"4,keyasint,omitempty"`
	RemovedQueues []removedQueue        `cbor:"5,keyasint,omitempty"`
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
	snapshot := stateSnapshot{Configuration: s.Configuration, Workers: s.Workers(), RemovedQueues: s.listRemovedQueues()}
	s.Jobs(func(j Job) { snapshot.Jobs = append(snapshot.Jobs, jobSnapshot{j.Job, j.Phase, j.Ended, j.Tasks}) })
	for it := s.runTimes.Iterator(); !it.Done(); {
		queue, record, _ := it.Next()
		snapshot.Records = append(snapshot.Records, runTimesSnapshot{queue, record})
	}
	data, err := encoder.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

func decode(data []byte) (State, error) {
	var snapshot stateSnapshot
	if err := encoder.Unmarshal(data, &snapshot); err != nil {
		return State{}, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.Configuration = snapshot.Configuration
	for _, j := range snapshot.Jobs {
		restored := Job{j.Job, j.Phase, j.Ended, j.Tasks}
		if err := restored.check(); err != nil {
			return State{}, fmt.Errorf("decode job %q: %w", j.Job.ID, err)
		}
		s.putJob(restored)
	}
	for _, w := range snapshot.Workers {
		s.workers = s.workers.Set(w.Name, w)
	}
	for _, r := range snapshot.Records {
		s.runTimes = s.runTimes.Set(r.Queue, r.Record)
	}
	s.removedQueues = newRemovedQueues(snapshot.RemovedQueues)
	return s, nil
}
