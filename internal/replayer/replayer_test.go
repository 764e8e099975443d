package replayer

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/inspector"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

func inspect(s scheduler.State) error { return inspector.Check(s.Dump()) }

// TestTraces replays every trace in testdata and the made days under the own policy, with the invariants checked
// after each step, and shows that the stated outcomes do not hold under the policies that the trace names.
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
			if found := departures(t, trace, Own); len(found) > 0 {
				t.Errorf("departs from the stated outcomes:\n%s", Describe(found))
			}
			for _, name := range trace.Outcomes.FailsUnder {
				if found := departures(t, trace, name); len(found) == 0 {
					t.Errorf("the stated outcomes hold under %s too", name)
				}
			}
		})
	}
}

func departures(t *testing.T, trace *Trace, variant string) []string {
	v, err := FindVariant(variant)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(trace, v, inspect)
	if err != nil {
		t.Fatalf("under %s: %v", variant, err)
	}
	return result.Check()
}

// TestMadeDays replays a made day of each kind, and checks that making, formatting and reading agree.
func TestMadeDays(t *testing.T) {
	for _, deployment := range Deployments {
		for _, day := range Days {
			t.Run(deployment+" "+day, func(t *testing.T) {
				made, err := Make(deployment, day, 1)
				if err != nil {
					t.Fatal(err)
				}
				data, err := made.Format()
				if err != nil {
					t.Fatal(err)
				}
				read, err := Parse(data)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(made.Events, read.Events); diff != "" {
					t.Fatalf("events (-made +read):\n%s", diff)
				}
				v, _ := FindVariant(Own)
				result, err := Run(read, v, nil)
				if err != nil {
					t.Fatal(err)
				}
				if found := result.Check(); len(found) > 0 {
					t.Errorf("departs from the stated outcomes:\n%s", Describe(found))
				}
			})
		}
	}
}
