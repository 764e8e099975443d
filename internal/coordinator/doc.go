// Package coordinator implements the control role for jobs of steps and tasks. It serves callers, operators and agents
// from the replicated state. The leader also plans which task runs on which worker and maintains the membership of the
// replicated log.
//
// Invariants: no answer reveals a change before the change is committed; every read and every refusal is first
// confirmed by a quorum; the runs of a worker are declared lost only after every lease that any leader may have granted
// has ended; a run that a worker holds is known to the present session of its agent once that has received the worker's
// present version, or is being withdrawn.
//
// An agent attaches its worker through the leader, which commits the Attach command of package tracker, and then renews
// its lease by calls to the leader. The observer is the leader's memory of reported progress and of the health of
// workers; it is not replicated, and it is not a replica.
package coordinator
