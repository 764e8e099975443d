package parser

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// TestDeploymentDocumentsAreValid parses every document in deploy/.
func TestDeploymentDocumentsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/*/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no documents: %v", err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// TestErrorNamesLineOrField checks that the error for an invalid document names the line, the field or the value.
func TestErrorNamesLineOrField(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"", "empty"},
		{"workspaces:\n  - nam: x\n", "line 2"},
		{"workspaces:\n  - name: x\n    guarantee: [{count: 0, demand: {members: 1, accelerators: 1, within: rack}}]\n", "count"},
		{"workspaces:\n  - name: x\n    guarantee: [{count: 1, demand: {members: 1, accelerators: 1, within: shelf}}]\n", "shelf"},
		{"presets:\n  - name: p\n    policy: {gracee: 1s}\n", "line 2"},
		{"presets:\n  - name: p\n    policy: {grace: soon}\n", "soon"},
		{"presets:\n  - policy: {grace: 1s}\n", "name"},
		{"jobs:\n  - {id: j, workspace: w, class: slow, demand: {members: 1, accelerators: 1, within: rack}}\n", "slow"},
		{"jobs:\n  - {id: j, workspace: w, class: batch, demand: {members: 0, accelerators: 1, within: rack}}\n", "members"},
	} {
		if _, err := Parse([]byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q gave %v, want an error with %q", test.text, err, test.want)
		}
	}
}

// TestOmittedPolicyFieldsHaveDefaults checks that a preset takes omitted policy fields from the default policy.
func TestOmittedPolicyFieldsHaveDefaults(t *testing.T) {
	d, err := Parse([]byte("presets:\n  - name: p\n    policy: {grace: 250ms}\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := scheduler.DefaultPolicy()
	want.Grace = 250
	if diff := cmp.Diff(want, d.Presets[0].Policy); diff != "" {
		t.Errorf("policy (-want +got):\n%s", diff)
	}
}

// FuzzParse checks that Parse does not panic on any document.
func FuzzParse(f *testing.F) {
	f.Add([]byte("workspaces:\n  - {name: x, guarantee: [{count: 1, demand: {members: 1, accelerators: 8, within: worker}}]}\n"))
	f.Add([]byte("presets:\n  - {name: p, policy: {wait-bound: 1h}}\n"))
	f.Add([]byte("jobs:\n  - {id: j, class: urgent}\n"))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = Parse(text) })
}
