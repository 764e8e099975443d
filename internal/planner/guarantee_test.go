package planner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// TestGuaranteeHoldsUnderRandomLoad submits random jobs of a workspace without a guarantee to all queues, then a random
// urgent job within the guarantee of another workspace. All its tasks must start within the time of two stops and a few
// plans.
func TestGuaranteeHoldsUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, Plan, 11)
		n := 0
		sim.run(timekeeper.Millis(rapid.IntRange(500, 4000).Draw(rt, "before")), func(timekeeper.Millis) {
			for range rapid.IntRange(0, 2).Draw(rt, "arrivals") {
				n++
				submitUnguaranteed(rt, sim, n)
			}
		})
		accelerators := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "accelerators")
		step := tasks(rapid.IntRange(1, 24/accelerators).Draw(rt, "count"), accelerators, 2500)
		step.Gang = rapid.Bool().Draw(rt, "gang")
		step.OneRack = step.Gang && rapid.Bool().Draw(rt, "one-rack")
		submitted := sim.now
		sim.submit("within-guarantee", "urgent", "guaranteed", 2500, step)
		sim.run(submitted+2*stopTime+6*tick, nil)
		if at, started := sim.firstStepStartedAt["within-guarantee"]; !started {
			rt.Fatalf("%+v has not started after %v (first step at %v)", step, sim.now-submitted, at)
		}
	})
}

// submitUnguaranteed submits a random job of a workspace without a guarantee.
func submitUnguaranteed(rt *rapid.T, sim *simulation, n int) {
	queue := rapid.SampledFrom([]string{"urgent", "plans", "checks"}).Draw(rt, "queue")
	step := tasks(rapid.IntRange(1, 9).Draw(rt, "tasks"), rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "each"), 5000)
	step.Gang = rapid.Bool().Draw(rt, "other-gang")
	step.OneRack = step.Gang && step.Total().Accelerators <= 24
	sim.submit(fmt.Sprintf("other-%03d", n), queue, "other", timekeeper.Millis(rapid.IntRange(1000, 9000).Draw(rt, "duration")), step)
}
