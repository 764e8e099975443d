package executor

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// simFaultTime is how long faults are injected.
	simFaultTime timekeeper.Millis = 6000
	// simRecoveryTime is the time after the last fault in which agents attach again and lost leases expire.
	simRecoveryTime = 2 * (simLease + simLeaseMargin)
	// maxStrayTime is how long a run may stay in the state without running, once workers have recovered.
	maxStrayTime timekeeper.Millis = 3000
	// simDrainTime is the time after the recovery in which all jobs must end.
	simDrainTime timekeeper.Millis = 20_000
)

// TestAssignedRunsRunOrEndOnceFaultsStop guards against runs that stay assigned to a worker although its runner does not
// execute them, and against gangs that never become ready to start again. It injects faults into runners, agents, the
// leader and their calls. After that, each assigned run must run or end soon, and all jobs must end.
func TestAssignedRunsRunOrEndOnceFaultsStop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), drawRates(rt), rt.Fatalf)
		for ; sim.now < simFaultTime; sim.tick() {
			if sim.rng.IntN(10) == 0 {
				sim.submit()
			}
		}
		sim.rates = faultRates{}
		recovered := sim.now + simRecoveryTime
		for ; !sim.idle(); sim.tick() {
			if sim.now > recovered {
				sim.check(maxStrayTime)
			}
			if sim.now > recovered+simDrainTime {
				rt.Fatalf("%v: %d jobs have not ended: %+v", sim.now, len(sim.state.UnfinishedJobs()), sim.state.UnfinishedJobs()[0])
			}
		}
	})
}

func drawRates(rt *rapid.T) faultRates {
	request := func(name string) int { return rapid.SampledFrom([]int{0, 20, 100, 300}).Draw(rt, name) }
	event := func(name string) int { return rapid.SampledFrom([]int{0, 1, 5, 20}).Draw(rt, name) }
	return faultRates{
		lost: request("lost"), unanswered: request("unanswered"), late: request("late"), unavailable: request("unavailable"),
		runnerRestart: event("runner restart"), agentRestart: event("agent restart"), freeze: event("freeze"), drain: event("drain"),
		leaderLoss: event("leader loss"), stop: event("stop"), cancel: event("cancel"), failed: event("failed"),
	}
}
