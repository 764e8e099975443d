package verifier

import (
	"strings"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// modifiedDump returns a valid dump of two workers in one rack and a gang on both, after change has modified it.
func modifiedDump(change func(*scheduler.Dump)) scheduler.Dump {
	demand := placer.Demand{Members: 2, Accelerators: 8, Within: placer.LevelRack}
	d := scheduler.Dump{
		Workers: []scheduler.DumpedWorker{
			{Worker: placer.Worker{ID: "a", Rack: "r", Accelerators: 8}}, {Worker: placer.Worker{ID: "b", Rack: "r", Accelerators: 8}},
		},
		Jobs: []scheduler.Job{{
			Spec:  scheduler.JobSpec{ID: "j", Demand: demand, Repeatable: true},
			Phase: scheduler.PhaseArming, Placement: placer.Placement{{Worker: "a", Members: 1}, {Worker: "b", Members: 1}},
		}},
	}
	change(&d)
	return d
}

// TestCheckReportsViolations checks that Check accepts a valid dump and reports a violation of each invariant.
func TestCheckReportsViolations(t *testing.T) {
	slot := scheduler.SlotKey{Workspace: "w", Number: 1}
	tests := []struct {
		name   string // the violation
		want   string
		change func(*scheduler.Dump)
	}{
		{"none", "", func(*scheduler.Dump) {}},
		{"only part of the gang placed", "members placed", func(d *scheduler.Dump) { d.Jobs[0].Placement = d.Jobs[0].Placement[:1] }},
		{"running before all members are armed", "not armed", func(d *scheduler.Dump) { d.Jobs[0].Phase = scheduler.PhaseRunning }},
		{"accelerators used by two jobs", "in use", func(d *scheduler.Dump) {
			other := d.Jobs[0]
			other.Spec.ID = "k"
			d.Jobs = append(d.Jobs, other)
		}},
		{"placed outside the binding", "exceeds the binding", func(d *scheduler.Dump) {
			d.Jobs[0].Slot = slot
			d.Slots = []scheduler.Slot{{Key: slot, Demand: d.Jobs[0].Spec.Demand, Binding: placer.Placement{{Worker: "a", Members: 2}}, Jobs: []string{"j"}}}
			d.Workers[0].Worker.Accelerators = 16
		}},
		{"more accelerators bound than the worker has", "bound of", func(d *scheduler.Dump) {
			d.Slots = []scheduler.Slot{{Key: slot, Demand: placer.Demand{Members: 1, Accelerators: 9}, Binding: placer.Placement{{Worker: "a", Members: 1}}}}
		}},
		{"not repeatable and outside a guarantee", "outside a guarantee", func(d *scheduler.Dump) { d.Jobs[0].Spec.Repeatable = false }},
		{"started job ended as not run", "was started", func(d *scheduler.Dump) {
			d.Jobs[0].Phase, d.Jobs[0].Placement = scheduler.PhaseEnded, nil
			d.Jobs[0].End, d.Jobs[0].EverStarted = scheduler.EndNotRun, true
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := Check(modifiedDump(test.change))
			switch {
			case test.want == "" && err != nil:
				t.Errorf("Check = %v, want no error", err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("Check = %v, want an error that contains %q", err, test.want)
			}
		})
	}
}
