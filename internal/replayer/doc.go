// Package replayer runs traces of scheduler inputs against a policy in a deterministic discrete-event simulation. A
// trace is a txtar archive with the topology, the settings, the inputs and the expected outcomes. A replay uses
// simulated time, and the same trace and variant always give the same result.
package replayer
