// Package executor implements the part of the agent that executes tasks. It serves one runner of the platform: it
// attaches to the control leader, starts and stops the runs that the replicated log assigns to its worker, renews their
// lease and reports their ends.
//
// Invariants:
//   - An announcement of another incarnation takes effect only once the runner itself has answered as that one. Until
//     then the agent follows the one that answered last.
//   - It sends no start or stop before the runner has seen the fencing token of the attachment.
//   - It lets the runner discard an end only after the end is committed to the log.
//   - It reports a run as absent only from a listing that the runner made after every request that could still start
//     the run was fenced off, or once the runner has refused every start of it.
//   - Its requests reach no incarnation of the runner but the one that the session is for.
//   - A lease, measured by the runner's clock, never ends later than the leader granted.
//
// A runner is the platform's process on a worker that executes runs. The fencing token is the epoch of the attachment
// (see package tracker). A runner that has seen a token refuses requests with a lower one, so a request of an earlier
// attachment that arrives late has no effect.
package executor
