package inspector

import (
	"strings"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// wrong returns a dump of two workers in one rack, changed by one careless decision.
func wrong(change func(*scheduler.Dump)) scheduler.Dump {
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

// TestCarelessDecisionsAreFound shows that each check finds the decision that it is there for.
func TestCarelessDecisionsAreFound(t *testing.T) {
	slot := scheduler.SlotKey{Workspace: "w", Number: 1}
	tests := []struct {
		name   string
		want   string
		change func(*scheduler.Dump)
	}{
		{"none", "", func(*scheduler.Dump) {}},
		{"starts on part of its accelerators", "members placed", func(d *scheduler.Dump) { d.Jobs[0].Placement = d.Jobs[0].Placement[:1] }},
		{"starts before all are armed", "not armed", func(d *scheduler.Dump) { d.Jobs[0].Phase = scheduler.PhaseRunning }},
		{"uses accelerators twice", "in use", func(d *scheduler.Dump) {
			other := d.Jobs[0]
			other.Spec.ID = "k"
			d.Jobs = append(d.Jobs, other)
		}},
		{"runs outside its guarantee", "exceeds the binding", func(d *scheduler.Dump) {
			d.Jobs[0].Slot = slot
			d.Slots = []scheduler.Slot{{Key: slot, Demand: d.Jobs[0].Spec.Demand, Binding: placer.Placement{{Worker: "a", Members: 2}}, Jobs: []string{"j"}}}
			d.Workers[0].Worker.Accelerators = 16
		}},
		{"guarantees more than there is", "bound of", func(d *scheduler.Dump) {
			d.Slots = []scheduler.Slot{{Key: slot, Demand: placer.Demand{Members: 1, Accelerators: 9}, Binding: placer.Placement{{Worker: "a", Members: 1}}}}
		}},
		{"borrows with what may not be stopped", "outside a guarantee", func(d *scheduler.Dump) { d.Jobs[0].Spec.Repeatable = false }},
		{"tells a started job as not run", "was started", func(d *scheduler.Dump) {
			d.Jobs[0].Phase, d.Jobs[0].Placement = scheduler.PhaseEnded, nil
			d.Jobs[0].End, d.Jobs[0].EverStarted = scheduler.EndNotRun, true
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := Check(wrong(test.change))
			switch {
			case test.want == "" && err != nil:
				t.Errorf("found %v in a right state", err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("found %v, want an error with %q", err, test.want)
			}
		})
	}
}
