// Package coordinator implements the control role for jobs of steps and tasks. It serves callers, operators and agents
// from the replicated state. The leader also plans which task runs on which worker and maintains the membership of the
// replicated log.
//
// Invariants: no answer reveals a change before the change is committed; every read and every refusal is first
// confirmed by a quorum; the runs of a worker are declared lost only after every lease that any leader may have granted
// has ended.
package coordinator
