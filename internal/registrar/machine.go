package registrar

import (
	"fmt"
	"sync/atomic"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

// Machine holds the latest State. One goroutine applies the log; any number may read the state concurrently.
type Machine struct {
	state   atomic.Pointer[State]
	observe func(State, Command, Effect)
}

// NewMachine returns a machine with the state of a new cluster. If observe is not nil, the goroutine that applies the
// log calls it after every command applied and every restore.
func NewMachine(observe func(State, Command, Effect)) *Machine {
	m := &Machine{observe: observe}
	s := New()
	m.state.Store(&s)
	return m
}

// State returns the state after the last applied entry.
func (m *Machine) State() State { return *m.state.Load() }

// Apply applies the encoded command at index and returns its Answer. A command that can't be decoded is refused.
func (m *Machine) Apply(index uint64, command []byte) any {
	var c Command
	if err := encoder.Unmarshal(command, &c); err != nil {
		return Answer{Code: CodeRefused, Reason: err.Error(), Index: index}
	}
	next, effect := m.state.Load().Apply(index, c)
	m.state.Store(&next)
	if m.observe != nil {
		m.observe(next, c, effect)
	}
	return effect.Answer
}

// Skip advances the state to index, the index of a log entry that holds no command.
func (m *Machine) Skip(index uint64) {
	s := *m.state.Load()
	s.Index = index
	m.state.Store(&s)
}

// Capture returns a function that encodes the state at the time of this call.
func (m *Machine) Capture() func() ([]byte, error) {
	s := m.state.Load()
	return s.Encode
}

// Check returns an error if Restore would refuse the data of a snapshot.
func (m *Machine) Check(data []byte) error {
	_, err := Decode(data)
	return err
}

// Restore replaces the state by the encoded state of a snapshot at index.
func (m *Machine) Restore(index uint64, data []byte) error {
	s, err := Decode(data)
	if err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	s.Index = max(s.Index, index)
	m.state.Store(&s)
	if m.observe != nil {
		m.observe(s, Command{}, Effect{Agents: true, Config: true, Workers: nil})
	}
	return nil
}
