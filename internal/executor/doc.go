// Package executor implements the part of the agent that executes tasks. It serves one runner of the platform: it
// attaches to the control leader, starts and stops the runs that the replicated log assigns to its worker, renews their
// lease and reports their ends.
//
// Invariants:
//   - It sends no start or stop before the runner has seen the fencing token of the attachment.
//   - It lets the runner discard an end only after the end is committed to the log.
//   - It reports a run as absent only from a listing that the runner made after every request that could still start
//     the run was fenced off.
//   - A lease, measured by the runner's clock, never ends later than the leader granted.
package executor
