package registrar

import (
	"errors"
	"fmt"
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// maxCommandAnswers is the number of commands whose answers are kept for resends.
	maxCommandAnswers = 50_000
	// maxHistory is the number of configuration changes that are kept in the history.
	maxHistory = 1_000
	// DefaultPreset is the name of the preset in force in a new cluster.
	DefaultPreset = "ordinary"
)

// State is the replicated state of the cluster. It is immutable: Apply returns a new state, which shares unchanged
// parts with the old one.
//
// Invariants: Revision and InForce never decrease, and InForce <= Revision. Exactly one preset is in force. A command
// id is applied at most once while its answer is kept.
type State struct {
	Index    uint64            // log index of the last applied entry
	Now      timekeeper.Millis // log time, the highest Command.At applied
	Revision uint64            // revision of the configuration last accepted
	InForce  uint64            // highest revision that every lease holder has acknowledged

	SelectedPreset string // perhaps not in force yet
	ActivePreset   string // preset in force
	presetRevision uint64 // revision of the selection of SelectedPreset

	Scheduler      scheduler.State
	presets        *immutable.SortedMap[string, Preset]
	agents         *immutable.SortedMap[string, Agent]
	claims         claimTable
	commandAnswers *immutable.Map[string, Answer]
	commandIDs     *immutable.List[string] // command ids, oldest first
	history        []HistoryEntry
}

// HistoryEntry is one accepted change of the configuration.
type HistoryEntry struct {
	Revision    uint64            `cbor:"1,keyasint" json:"revision"`
	At          timekeeper.Millis `cbor:"2,keyasint" json:"at-millis"`
	Author      string            `cbor:"3,keyasint" json:"author"`
	Description string            `cbor:"4,keyasint" json:"what"`
}

// New returns the state of a new cluster, with DefaultPreset in force.
func New() State {
	preset := Preset{Name: DefaultPreset, Policy: scheduler.DefaultPolicy()}
	return State{
		Revision:       1,
		InForce:        1,
		SelectedPreset: DefaultPreset,
		ActivePreset:   DefaultPreset,
		Scheduler:      scheduler.NewState(preset.Policy),
		presets:        immutable.NewSortedMap[string, Preset](nil).Set(DefaultPreset, preset),
		agents:         immutable.NewSortedMap[string, Agent](nil),
		claims:         newClaimTable(),
		commandAnswers: immutable.NewMap[string, Answer](nil),
		commandIDs:     immutable.NewList[string](),
	}
}

// Effect describes what a command changed, for observers of the state.
type Effect struct {
	Answer    Answer
	Workers   []string // sorted ids of workers whose members changed
	Decisions []scheduler.Decision
	Agents    bool // the set of agents or an agent's announcement changed
	Config    bool // the configuration or the revision in force changed
	Requests  []RequestKey
}

// Apply returns the state after the command at index. A command whose id is known is not applied again; its effect is
// the first answer alone.
func (s State) Apply(index uint64, c Command) (State, Effect) {
	s.Index = index
	s.Now = max(s.Now, c.At)
	if c.ID != "" {
		if first, known := s.commandAnswers.Get(c.ID); known {
			return s, Effect{Answer: first}
		}
	}
	next, effect := s.applyCommand(c)
	effect.Answer.Index = index
	if c.ID != "" {
		next.recordAnswer(c.ID, effect.Answer)
	}
	next.claims.expire(next.Now)
	return next, effect
}

func (s State) applyCommand(c Command) (State, Effect) {
	switch {
	case c.Version > Version:
		return s, Effect{Answer: Answer{Code: CodeTooNew, Reason: "written by a newer version"}}
	case c.Change != nil:
		return s.changeConfig(c)
	case c.InForce != nil:
		return s.advanceInForce(c.InForce.Revision)
	case len(c.Events) > 0:
		return s.applyEvents(c.Events)
	case c.Attach != nil:
		return s.attachAgent(*c.Attach)
	case c.Detach != nil:
		return s.detachAgent(*c.Detach)
	case len(c.Requests) > 0:
		return s.applyRequestSteps(c.Requests)
	case c.OwnerLost != nil:
		s.claims.orphan(s.Now, c.OwnerLost.Owner)
		return s, Effect{}
	}
	return s, Effect{Answer: Answer{Code: CodeRefused, Reason: "empty command"}}
}

func (s *State) recordAnswer(id string, a Answer) {
	s.commandAnswers = s.commandAnswers.Set(id, a)
	s.commandIDs = s.commandIDs.Append(id)
	for s.commandIDs.Len() > maxCommandAnswers {
		s.commandAnswers = s.commandAnswers.Delete(s.commandIDs.Get(0))
		s.commandIDs = s.commandIDs.Slice(1, s.commandIDs.Len())
	}
}

// applyEvents applies events to the scheduler. The answer is that of the last refused event, if any.
func (s State) applyEvents(events []scheduler.Event) (State, Effect) {
	var e Effect
	for _, event := range events {
		next, out := s.Scheduler.Step(s.Now, event)
		s.Scheduler = next
		e.Workers = append(e.Workers, out.ChangedWorkers...)
		e.Decisions = append(e.Decisions, out.Decisions...)
		if out.Err != nil {
			e.Answer = refusedAnswer(out.Err)
		}
	}
	slices.Sort(e.Workers)
	e.Workers = slices.Compact(e.Workers)
	return s, e
}

func refusedAnswer(err error) Answer {
	var refusal *scheduler.RefusalError
	if errors.As(err, &refusal) {
		return Answer{Code: CodeRefused, Reason: refusal.Reason}
	}
	return Answer{Code: CodeRefused, Reason: err.Error()}
}

func (s State) applyRequestSteps(steps []RequestStep) (State, Effect) {
	var e Effect
	for _, step := range steps {
		e.Answer.Requests = append(e.Answer.Requests, s.claims.applyStep(s.Now, step))
		e.Requests = append(e.Requests, step.Key)
	}
	return s, e
}

// attachAgent adds or updates an agent. After a restart of the agent process its worker holds no members, so the worker
// is declared lost and joins again.
func (s State) attachAgent(a Agent) (State, Effect) {
	old, known := s.agents.Get(a.ID)
	var events []scheduler.Event
	restarted := known && old.Incarnation != a.Incarnation
	if restarted && old.Worker != nil {
		events = append(events, scheduler.Event{WorkerLost: &scheduler.WorkerLost{Worker: old.Worker.ID}})
	}
	unchanged := known && !restarted && old.Worker != nil && a.Worker != nil && *old.Worker == *a.Worker
	if a.Worker != nil && !unchanged {
		events = append(events, scheduler.Event{WorkerJoined: a.Worker})
	}
	s.agents = s.agents.Set(a.ID, a)
	next, e := s.applyEvents(events)
	e.Agents = true
	return next, e
}

func (s State) detachAgent(d Detach) (State, Effect) {
	a, known := s.agents.Get(d.Agent)
	if !known || a.Incarnation != d.Incarnation {
		return s, Effect{Answer: Answer{Code: CodeNotFound, Reason: "the agent is not attached under this incarnation"}}
	}
	s.agents = s.agents.Delete(d.Agent)
	if a.Worker == nil {
		return s, Effect{Agents: true}
	}
	next, e := s.applyEvents([]scheduler.Event{{WorkerLost: &scheduler.WorkerLost{Worker: a.Worker.ID}}})
	e.Agents = true
	return next, e
}

// Agent returns the attached agent with the given id.
func (s State) Agent(id string) (Agent, bool) { return s.agents.Get(id) }

// Agents returns the attached agents, sorted by id.
func (s State) Agents() []Agent {
	agents := make([]Agent, 0, s.agents.Len())
	for it := s.agents.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		agents = append(agents, a)
	}
	return agents
}

// Request returns the claimed request with the given key.
func (s State) Request(key RequestKey) (Request, bool) {
	r, ok := s.claims.byKey.Get(key)
	if !ok {
		return Request{}, false
	}
	return *r, true
}

// PendingOwners returns the sorted entry processes that own pending requests, claimed or orphaned.
func (s State) PendingOwners() []string {
	var owners []string
	for it := s.claims.pendingByOwner.Iterator(); !it.Done(); {
		owner, _, _ := it.Next()
		owners = append(owners, owner)
	}
	return owners
}

// HasClaimed reports whether an entry process owns requests in phase RequestClaimed.
func (s State) HasClaimed(owner string) bool {
	set, ok := s.claims.pendingByOwner.Get(owner)
	if !ok {
		return false
	}
	for it := set.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		if r, _ := s.claims.byKey.Get(key); r.Phase == RequestClaimed {
			return true
		}
	}
	return false
}

// ClaimCount returns the number of claimed request keys, ended ones included.
func (s State) ClaimCount() int { return s.claims.byKey.Len() }

// Preset returns the preset of the given name.
func (s State) Preset(name string) (Preset, bool) { return s.presets.Get(name) }

// Presets returns every preset, sorted by name.
func (s State) Presets() []Preset {
	var presets []Preset
	for it := s.presets.Iterator(); !it.Done(); {
		_, p, _ := it.Next()
		presets = append(presets, p)
	}
	return presets
}

// Limits returns the limits of the preset in force.
func (s State) Limits() Limits {
	p, _ := s.presets.Get(s.ActivePreset)
	return p.Limits
}

// Switching reports whether a selection of a preset is not in force yet.
func (s State) Switching() bool { return s.presetRevision > s.InForce }

// History returns the recent changes of the configuration, oldest first. The caller must not modify the slice.
func (s State) History() []HistoryEntry { return s.history }

func describeChange(c *Change) string {
	switch {
	case c.Workspace != nil:
		return "set workspace " + c.Workspace.Name
	case c.RemoveWorkspace != nil:
		return "remove workspace " + *c.RemoveWorkspace
	case c.Preset != nil:
		return "set preset " + c.Preset.Name
	case c.UsePreset != nil:
		return "use preset " + *c.UsePreset
	}
	return "nothing"
}

// changeConfig accepts a configuration change that is based on the latest revision.
func (s State) changeConfig(c Command) (State, Effect) {
	if c.Change.BaseRevision != s.Revision {
		reason := fmt.Sprintf("made on revision %d, the present one is %d", c.Change.BaseRevision, s.Revision)
		return s, Effect{Answer: Answer{Code: CodeConflict, Reason: reason, Revision: s.Revision}}
	}
	next, e := s.applyChange(c.Change)
	if e.Answer.Code != CodeOK {
		e.Answer.Revision = s.Revision
		return s, e
	}
	next.Revision++
	if c.Change.UsePreset != nil {
		next.presetRevision = next.Revision
	}
	entry := HistoryEntry{Revision: next.Revision, At: s.Now, Author: c.Author, Description: describeChange(c.Change)}
	next.history = append(slices.Clip(next.history), entry)
	if len(next.history) > maxHistory {
		next.history = next.history[len(next.history)-maxHistory:]
	}
	e.Config = true
	e.Answer.Revision = next.Revision
	return next, e
}

func (s State) applyChange(c *Change) (State, Effect) {
	switch {
	case c.Workspace != nil:
		return s.applyEvents([]scheduler.Event{{WorkspaceSet: c.Workspace}})
	case c.RemoveWorkspace != nil:
		return s.applyEvents([]scheduler.Event{{WorkspaceRemoved: &scheduler.WorkspaceNamed{Name: *c.RemoveWorkspace}}})
	case c.Preset != nil:
		return s.setPreset(*c.Preset)
	case c.UsePreset != nil:
		return s.selectPreset(*c.UsePreset)
	}
	return s, Effect{Answer: Answer{Code: CodeRefused, Reason: "empty change"}}
}

func (s State) setPreset(p Preset) (State, Effect) {
	if p.Name == "" {
		return s, Effect{Answer: Answer{Code: CodeRefused, Reason: "preset name: must not be empty"}}
	}
	if p.Name == s.ActivePreset || p.Name == s.SelectedPreset {
		reason := fmt.Sprintf("preset %q is in use; set another one and switch to it", p.Name)
		return s, Effect{Answer: Answer{Code: CodeRefused, Reason: reason}}
	}
	s.presets = s.presets.Set(p.Name, p)
	return s, Effect{}
}

func (s State) selectPreset(name string) (State, Effect) {
	if _, ok := s.presets.Get(name); !ok {
		return s, Effect{Answer: Answer{Code: CodeNotFound, Reason: fmt.Sprintf("preset %q: not known", name)}}
	}
	s.SelectedPreset = name
	return s, Effect{}
}

// advanceInForce records that every lease holder has acknowledged revision. A preset that was selected up to that
// revision takes effect here, so that all replicas switch at the same log index.
func (s State) advanceInForce(revision uint64) (State, Effect) {
	if revision <= s.InForce || revision > s.Revision {
		return s, Effect{}
	}
	s.InForce = revision
	if s.SelectedPreset == s.ActivePreset || s.presetRevision > revision {
		return s, Effect{Config: true}
	}
	s.ActivePreset = s.SelectedPreset
	p, _ := s.presets.Get(s.ActivePreset)
	next, e := s.applyEvents([]scheduler.Event{{PolicySet: &p.Policy}})
	e.Config = true
	return next, e
}
