// Package coordinator is the control role for jobs of steps and tasks: it answers callers, operators and agents from
// the replicated log, plans as leader which task runs where, and mends the membership of the log.
//
// Invariants: nothing is said before it is committed; every refusal and every read is confirmed by a quorum first;
// a worker's runs are given up only once every lease that any leader may have granted has ended.
package coordinator
