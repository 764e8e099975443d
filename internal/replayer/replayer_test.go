package replayer

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/verifier"
)

func checkInvariants(s scheduler.State) error { return verifier.Check(s.Dump()) }

// TestTraces replays every trace in testdata under the unchanged policy and checks the scheduler's invariants after
// each step. It also checks that the expected outcomes do not hold under the variants that the trace lists as failing,
// so that each trace exercises the mechanism it is meant for.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			trace, err := Read(path)
			if err != nil {
				t.Fatal(err)
			}
			if found := deviations(t, trace, Unchanged); len(found) > 0 {
				t.Errorf("unexpected outcomes:\n%s", Describe(found))
			}
			for _, name := range trace.Outcomes.FailsUnder {
				if found := deviations(t, trace, name); len(found) == 0 {
					t.Errorf("the expected outcomes also hold under %s", name)
				}
			}
		})
	}
}

func deviations(t *testing.T, trace *Trace, variant string) []string {
	v, err := FindVariant(variant)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(trace, v, checkInvariants)
	if err != nil {
		t.Fatalf("under %s: %v", variant, err)
	}
	return result.Check()
}

// TestGeneratedDays checks for each deployment and kind of day that a generated trace survives Format and Parse, and
// that its replay has the expected outcomes.
func TestGeneratedDays(t *testing.T) {
	for _, deployment := range Deployments {
		for _, day := range Days {
			t.Run(deployment+" "+day, func(t *testing.T) {
				generated, err := Generate(deployment, day, 1)
				if err != nil {
					t.Fatal(err)
				}
				data, err := generated.Format()
				if err != nil {
					t.Fatal(err)
				}
				read, err := Parse(data)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(generated.Events, read.Events); diff != "" {
					t.Fatalf("events (-generated +read):\n%s", diff)
				}
				v, _ := FindVariant(Unchanged)
				result, err := Run(read, v, nil)
				if err != nil {
					t.Fatal(err)
				}
				if found := result.Check(); len(found) > 0 {
					t.Errorf("unexpected outcomes:\n%s", Describe(found))
				}
			})
		}
	}
}
