package planner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TestGuaranteeHoldsOnAnyCluster fills the cluster with random work of all queues by workspaces without a guarantee,
// then hands in an urgent job of the workspace that has one, of any shape within it. All its tasks begin within two
// stops and a few decisions, whatever runs.
func TestGuaranteeHoldsOnAnyCluster(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlay(t, Plan, 11)
		n := 0
		p.run(timekeeper.Millis(rapid.IntRange(500, 4000).Draw(rt, "before")), func(timekeeper.Millis) {
			for range rapid.IntRange(0, 2).Draw(rt, "arrivals") {
				n++
				submitOther(rt, p, n)
			}
		})
		accelerators := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "accelerators")
		step := tasks(rapid.IntRange(1, 24/accelerators).Draw(rt, "count"), accelerators, 2500)
		step.Gang = rapid.Bool().Draw(rt, "gang")
		step.OneRack = step.Gang && rapid.Bool().Draw(rt, "one-rack")
		submitted := p.now
		p.submit("sure", "urgent", "sure", 2500, step)
		p.run(submitted+2*stopTime+6*tick, nil)
		if at, begun := p.first["sure"]; !begun {
			rt.Fatalf("%+v has not begun after %v (first %v)", step, p.now-submitted, at)
		}
	})
}

// submitOther hands in a job of a workspace without a guarantee.
func submitOther(rt *rapid.T, p *play, n int) {
	queue := rapid.SampledFrom([]string{"urgent", "plans", "checks"}).Draw(rt, "queue")
	step := tasks(rapid.IntRange(1, 9).Draw(rt, "tasks"), rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "each"), 5000)
	step.Gang = rapid.Bool().Draw(rt, "other-gang")
	step.OneRack = step.Gang && step.Total().Accelerators <= 24
	p.submit(fmt.Sprintf("other-%03d", n), queue, "other", timekeeper.Millis(rapid.IntRange(1000, 9000).Draw(rt, "truth")), step)
}
