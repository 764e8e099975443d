package registrar

import (
	"fmt"

	"github.com/benbjohnson/immutable"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Index          uint64            `cbor:"1,keyasint"`
	Now            timekeeper.Millis `cbor:"2,keyasint"`
	Revision       uint64            `cbor:"3,keyasint"`
	InForce        uint64            `cbor:"4,keyasint"`
	SelectedPreset string            `cbor:"5,keyasint"`
	ActivePreset   string            `cbor:"6,keyasint"`
	PresetRevision uint64            `cbor:"7,keyasint"`
	Scheduler      scheduler.Dump    `cbor:"8,keyasint"`
	Presets        []Preset          `cbor:"9,keyasint"`
	Agents         []Agent           `cbor:"10,keyasint"`
	Requests       []Request         `cbor:"11,keyasint"`
	Answers        []commandAnswer   `cbor:"12,keyasint"`
	History        []HistoryEntry    `cbor:"13,keyasint"`
}

type commandAnswer struct {
	ID     string `cbor:"1,keyasint"`
	Answer Answer `cbor:"2,keyasint"`
}

// Encode returns the encoded state. Equal states have equal encodings.
func (s State) Encode() ([]byte, error) {
	d := snapshot{
		Index: s.Index, Now: s.Now, Revision: s.Revision, InForce: s.InForce, SelectedPreset: s.SelectedPreset,
		ActivePreset: s.ActivePreset, PresetRevision: s.presetRevision, Scheduler: s.Scheduler.Dump(),
		Presets: s.Presets(), Agents: s.Agents(), History: s.history,
	}
	for it := s.claims.byKey.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		d.Requests = append(d.Requests, *r)
	}
	for it := s.commandIDs.Iterator(); !it.Done(); {
		_, id := it.Next()
		a, _ := s.commandAnswers.Get(id)
		d.Answers = append(d.Answers, commandAnswer{id, a})
	}
	data, err := encoder.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Decode returns the state that Encode encoded.
func Decode(data []byte) (State, error) {
	var d snapshot
	if err := encoder.Unmarshal(data, &d); err != nil {
		return State{}, fmt.Errorf("decode state: %w", err)
	}
	s := New()
	s.Index, s.Now, s.Revision, s.InForce = d.Index, d.Now, d.Revision, d.InForce
	s.SelectedPreset, s.ActivePreset, s.presetRevision, s.history = d.SelectedPreset, d.ActivePreset, d.PresetRevision, d.History
	s.Scheduler = scheduler.Restore(d.Scheduler)
	s.presets = immutable.NewSortedMap[string, Preset](nil)
	for _, p := range d.Presets {
		s.presets = s.presets.Set(p.Name, p)
	}
	for _, a := range d.Agents {
		s.agents = s.agents.Set(a.ID, a)
	}
	for i := range d.Requests {
		s.claims.put(nil, &d.Requests[i])
	}
	for _, a := range d.Answers {
		s.commandAnswers = s.commandAnswers.Set(a.ID, a.Answer)
		s.commandIDs = s.commandIDs.Append(a.ID)
	}
	return s, nil
}
