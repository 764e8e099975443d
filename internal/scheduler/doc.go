// Package scheduler decides which job runs where and when. It is a pure step function: an immutable state and an
// event give a new state and decisions. It does no I/O, reads no clock and uses no randomness, so that every
// replica of the log and every replay of a trace reaches the same decisions.
//
// Terms:
//   - A part is the members of a gang on one worker. A placement has one part for each of its workers.
//   - An attempt begins when a placed job is given its accelerators and ends when all its parts have released them.
//     Attempts of a job are numbered from 1. The members arm first; the start is committed once all are armed.
//   - A slot is one guaranteed gang of a workspace. Its binding is the placement whose accelerators are set aside for
//     it; depending on the policy, other jobs may borrow them. A borrower is a job that runs outside any guarantee.
//   - A reservation is a placement that a queued job gets after a long wait although other jobs still run there.
//     Accelerators that become free there go to that job. At a set time, the remaining borrowers are preempted.
//   - A review is a periodic attempt to get a queued job placed, by moving smaller jobs or by a reservation.
package scheduler
