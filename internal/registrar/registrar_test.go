package registrar

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// testReplica applies commands one after another. Each is encoded and decoded first, as on a replica.
type testReplica struct {
	t     interface{ Fatalf(string, ...any) }
	state State
}

func (h *testReplica) apply(c Command) Answer {
	data, err := encoder.Marshal(c)
	if err != nil {
		h.t.Fatalf("encode: %v", err)
	}
	var decoded Command
	if err := encoder.Unmarshal(data, &decoded); err != nil {
		h.t.Fatalf("decode: %v", err)
	}
	next, effect := h.state.Apply(h.state.Index+1, decoded)
	h.state = next
	return effect.Answer
}

// reload replaces the state by its decoded snapshot and checks that encoding is stable.
func (h *testReplica) reload() {
	data, err := h.state.Encode()
	if err != nil {
		h.t.Fatalf("encode: %v", err)
	}
	again, err := Decode(data)
	if err != nil {
		h.t.Fatalf("decode: %v", err)
	}
	recoded, err := again.Encode()
	if err != nil {
		h.t.Fatalf("encode: %v", err)
	}
	if diff := cmp.Diff(data, recoded); diff != "" {
		h.t.Fatalf("the snapshot differs after decoding and encoding it again:\n%s", diff)
	}
	h.state = again
}

func ptrTo(name string) *string { return &name }

func usePreset(id string, baseRevision uint64, preset string) Command {
	return Command{ID: id, Author: "op", Change: &Change{BaseRevision: baseRevision, UsePreset: ptrTo(preset)}}
}

// TestConcurrentConfigChanges lets two operators select presets on equal revisions and resend commands, across
// snapshots. One change wins per revision, a resend gets the first answer, and neither Revision nor InForce decreases.
func TestConcurrentConfigChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &testReplica{t: t, state: New()}
		h.apply(Command{Change: &Change{BaseRevision: 1, Preset: &Preset{Name: "peak"}}})
		first := map[string]Answer{}
		winners := map[uint64]string{}
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			before := h.state
			id := fmt.Sprintf("%s-%d", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "operator"), rapid.IntRange(0, i).Draw(t, "id"))
			baseRevision := before.Revision - rapid.Uint64Range(0, 1).Draw(t, "behind")
			answer := h.apply(usePreset(id, baseRevision, rapid.SampledFrom([]string{"peak", DefaultPreset}).Draw(t, "preset")))
			if earlier, resent := first[id]; resent {
				if diff := cmp.Diff(earlier.Revision, answer.Revision); diff != "" || earlier.Code != answer.Code {
					t.Fatalf("resend of %s answered %+v, first %+v", id, answer, earlier)
				}
				continue
			}
			first[id] = answer
			if found := checkChange(before, h.state, answer, id, baseRevision, winners); found != "" {
				t.Fatalf("%s", found)
			}
			if rapid.IntRange(0, 5).Draw(t, "in force") == 0 {
				h.apply(Command{InForce: &InForce{Revision: rapid.Uint64Range(0, h.state.Revision+1).Draw(t, "revision")}})
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				h.reload()
			}
			if h.state.InForce > h.state.Revision || h.state.InForce < before.InForce {
				t.Fatalf("in force went from %d to %d at revision %d", before.InForce, h.state.InForce, h.state.Revision)
			}
		}
	})
}

// checkChange checks the answer to a change that is based on baseRevision. It returns a description of the
// fault, or the empty string.
func checkChange(before, after State, a Answer, id string, baseRevision uint64, winners map[uint64]string) string {
	switch {
	case after.Revision < before.Revision:
		return fmt.Sprintf("revision decreased from %d to %d", before.Revision, after.Revision)
	case a.Code == CodeOK && baseRevision != before.Revision:
		return fmt.Sprintf("%s is based on revision %d and was accepted at %d", id, baseRevision, before.Revision)
	case a.Code == CodeOK && winners[a.Revision] != "":
		return fmt.Sprintf("%s and %s were both accepted as revision %d", winners[a.Revision], id, a.Revision)
	case a.Code == CodeOK:
		winners[a.Revision] = id
	case a.Code != CodeConflict:
		return fmt.Sprintf("unexpected answer %+v", a)
	case after.Revision != before.Revision || a.Revision != before.Revision:
		return fmt.Sprintf("refused change: answer %+v; revision went from %d to %d", a, before.Revision, after.Revision)
	}
	return ""
}

// TestCheckChangeDetectsMissingCompareAndSet accepts a change whatever revision it is based on, as a system without
// compare-and-set would, and checks that checkChange reports it.
func TestCheckChangeDetectsMissingCompareAndSet(t *testing.T) {
	h := &testReplica{t: t, state: New()}
	h.apply(Command{Change: &Change{BaseRevision: 1, Preset: &Preset{Name: "peak"}}})
	winners := map[uint64]string{}
	for i, op := range []string{"a", "b"} {
		before := h.state
		const baseRevision = 2
		answer := h.apply(usePreset(op, before.Revision, "peak")) // the fault: the base revision is always the latest one
		found := checkChange(before, h.state, answer, op, baseRevision, winners)
		if (found == "") != (i == 0) {
			t.Errorf("operator %s on revision %d: checkChange returned %q", op, baseRevision, found)
		}
	}
}

// TestPresetTakesEffectWithItsRevision checks that a selected preset changes nothing until the revision that selected
// it is in force.
func TestPresetTakesEffectWithItsRevision(t *testing.T) {
	h := &testReplica{t: t, state: New()}
	policy := scheduler.DefaultPolicy()
	policy.HoldBatch = true
	h.apply(Command{Change: &Change{BaseRevision: 1, Preset: &Preset{Name: "maintenance", Policy: policy}}})
	h.apply(usePreset("c", 2, "maintenance"))
	if h.state.ActivePreset != DefaultPreset || h.state.Scheduler.Policy().HoldBatch || !h.state.Switching() {
		t.Errorf("after the selection: %q in force, switching %v; want %q, true", h.state.ActivePreset, h.state.Switching(), DefaultPreset)
	}
	h.apply(Command{InForce: &InForce{Revision: 2}})
	if h.state.ActivePreset != DefaultPreset {
		t.Errorf("the preset changed when an older revision came into force")
	}
	h.apply(Command{InForce: &InForce{Revision: 3}})
	if h.state.ActivePreset != "maintenance" || !h.state.Scheduler.Policy().HoldBatch || h.state.Switching() {
		t.Errorf("after revision 3 came into force: %q in force, switching %v; want maintenance, false", h.state.ActivePreset, h.state.Switching())
	}
}

// requestModel is the expected state of one key, derived from the granted steps.
type requestModel struct {
	ended   bool
	phase   RequestPhase
	attempt int
}

// TestRequestsRunAtMostOnce applies random steps of several entries to a few keys. It checks that no two attempts of
// one key can both be sent to a target: a new attempt needs a compare-and-set on the last one, and an ended attempt
// stays ended.
func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &testReplica{t: t, state: New()}
		models := map[RequestKey]*requestModel{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := RequestKey{"ws", rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")}
			owner := rapid.SampledFrom([]string{"e1/1", "e2/1", "e1/2"}).Draw(t, "owner")
			if rapid.IntRange(0, 6).Draw(t, "gone") == 0 {
				h.apply(Command{OwnerLost: &OwnerLost{Owner: owner}})
				continue
			}
			before, known := h.state.Request(key)
			step := drawStep(t, key, owner, before)
			view := h.apply(Command{Requests: []RequestStep{step}}).Requests[0]
			if models[key] == nil {
				models[key] = &requestModel{}
			}
			checkStep(t, models[key], step, before, known, view)
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				h.reload()
			}
		}
	})
}

func drawStep(t *rapid.T, key RequestKey, owner string, before Request) RequestStep {
	step := RequestStep{Key: key, Owner: owner, Digest: []byte("d"), Nonce: rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "nonce")}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 1:
		step.From = &AttemptRef{Owner: before.Owner, Attempt: rapid.IntRange(0, 3).Draw(t, "from")}
	case 2:
		step.Phase = RequestPhase(rapid.IntRange(int(RequestFinished), int(RequestUnknown)).Draw(t, "phase"))
		step.Attempt = rapid.IntRange(0, 3).Draw(t, "attempt")
		if rapid.Bool().Draw(t, "own") {
			step.Owner, step.Nonce, step.Attempt = before.Owner, before.Nonce, before.Attempt
		}
	}
	return step
}

func checkStep(t *rapid.T, m *requestModel, s RequestStep, before Request, known bool, v RequestView) {
	if !v.Granted {
		return
	}
	if s.Phase != RequestClaimed {
		if m.ended {
			t.Fatalf("%+v ended an attempt that had ended as %v", s, m.phase)
		}
		m.ended, m.phase = true, s.Phase
		return
	}
	repeat := known && before.Owner == s.Owner && before.Nonce == s.Nonce && before.Phase == RequestClaimed
	if m.ended && m.phase != RequestNotRun {
		t.Fatalf("%+v was granted after the attempt ended as %v", s, m.phase)
	}
	if v.Request.Attempt != m.attempt+1 && !repeat {
		t.Fatalf("%+v was granted attempt %d after %d", s, v.Request.Attempt, m.attempt)
	}
	if !repeat && known && s.From == nil && m.phase != RequestNotRun {
		t.Fatalf("%+v was granted a claimed key without compare-and-set", s)
	}
	m.attempt, m.ended = v.Request.Attempt, false
}

// TestKeyStaysClaimedAfterAnswerExpires checks that a recorded answer is dropped after answerRetention, while its key
// still can't be claimed.
func TestKeyStaysClaimedAfterAnswerExpires(t *testing.T) {
	h := &testReplica{t: t, state: New()}
	key := RequestKey{"ws", "k"}
	h.apply(Command{At: 1000, Requests: []RequestStep{{Key: key, Digest: []byte("d"), Owner: "e/1"}}})
	answer := &RecordedAnswer{Status: 200, Body: []byte("sheet")}
	h.apply(Command{At: 2000, Requests: []RequestStep{{Key: key, Owner: "e/1", Attempt: 1, Phase: RequestFinished, Answer: answer}}})
	h.apply(Command{At: 2000 + answerRetention + timekeeper.Second, InForce: &InForce{Revision: 1}})
	r, _ := h.state.Request(key)
	if r.Answer != nil || r.Phase != RequestFinished {
		t.Errorf("after answerRetention: answer %v, phase %v; want none, finished", r.Answer, r.Phase)
	}
	view := h.apply(Command{Requests: []RequestStep{{Key: key, Digest: []byte("d"), Owner: "e/2"}}}).Requests[0]
	if view.Granted {
		t.Error("the key was granted again")
	}
}

// TestRestartedAgentLosesItsMembers checks that members on a worker end when its agent attaches as a new process.
func TestRestartedAgentLosesItsMembers(t *testing.T) {
	h := &testReplica{t: t, state: New()}
	w := placer.Worker{ID: "w1", Region: "r", Zone: "z", Rack: "k", Accelerators: 8, Cores: 64}
	h.apply(Command{Attach: &Agent{ID: "w1", Incarnation: "1", Worker: &w}})
	h.apply(Command{Change: &Change{BaseRevision: 1, Workspace: &scheduler.Workspace{Name: "ws"}}})
	spec := scheduler.JobSpec{ID: "j", Workspace: "ws", Repeatable: true, Demand: placer.Demand{Members: 1, Accelerators: 8}}
	h.apply(Command{Events: []scheduler.Event{{JobSubmitted: &spec}}})
	h.apply(Command{Events: []scheduler.Event{{MemberArmed: &scheduler.MemberReport{Job: "j", Attempt: 1, Worker: "w1"}}}})
	if j, _ := h.state.Scheduler.Job("j"); j.Phase != scheduler.PhaseRunning {
		t.Fatalf("job is %v, want running", j.Phase)
	}
	h.apply(Command{Attach: &Agent{ID: "w1", Incarnation: "2", Worker: &w}})
	j, _ := h.state.Scheduler.Job("j")
	if j.Attempt != 2 || j.Phase != scheduler.PhaseArming {
		t.Errorf("job is %v in attempt %d, want arming in attempt 2", j.Phase, j.Attempt)
	}
}
