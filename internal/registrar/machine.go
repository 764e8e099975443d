package registrar

import (
	"fmt"
	"sync/atomic"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

// Machine holds the present State for one writer, which applies the log, and any number of readers.
type Machine struct {
	state   atomic.Pointer[State]
	observe func(State, Command, Effect)
}

// NewMachine returns a machine with the state of a new cluster; watch, which may be nil, sees every command applied.
func NewMachine(observe func(State, Command, Effect)) *Machine {
	m := &Machine{observe: observe}
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
		return Answer{Code: CodeRefused, Reason: err.Error(), Index: index}
	}
	next, effect := m.state.Load().Apply(index, c)
	m.state.Store(&next)
	if m.observe != nil {
		m.observe(next, c, effect)
	}
	return effect.Answer
}

// Skip notes an entry of the log that is no command.
func (m *Machine) Skip(index uint64) {
	s := *m.state.Load()
	s.Index = index
	m.state.Store(&s)
}

// Capture returns a function that encodes the state as it is now.
func (m *Machine) Capture() func() ([]byte, error) {
	s := m.state.Load()
	return s.Encode
}

// Restore replaces the state by an encoded one.
func (m *Machine) Restore(index uint64, data []byte) error {
	s, err := Decode(data)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	s.Index = max(s.Index, index)
	m.state.Store(&s)
	if m.observe != nil {
		m.observe(s, Command{}, Effect{Agents: true, Config: true, Workers: nil})
	}
	return nil
}
