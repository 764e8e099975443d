// Package executor is the agent's part for tasks: beside one runner of the platform it holds the attachment to the
// control leader, starts and stops the runs that the log gives to its worker, renews their lease and reports their
// ends.
//
// Invariants: it gives no order before the runner has seen the attachment's fencing token; the runner forgets an end
// only once it is in the log; a run is reported as not there only from a list that was made after everything that
// could still begin it was fenced; a lease, as the runner's clock counts it, never outlasts what the leader granted.
package executor
