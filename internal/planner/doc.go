// Package planner decides which task runs where. Plan is a pure function from the tracker's state and the progress of
// runs to the runs to start and to stop. It is designed for urgent jobs that must start within seconds on a full
// cluster, gangs that need one rack, and batch work that needs up to twice the capacity.
//
// Invariants: runs are started only on free resources, and a stopping run holds its resources until it has ended;
// urgent jobs within their workspace's guarantee come first; a job preempts only runs of jobs that rank behind it; a
// gang starts all its members in one plan or none.
//
// No job of which nothing runs stands for longer than StandingLimit beside free resources that hold its next demand twice
// over, whatever keeps them from it: headroom, reservations that are not firm, doubts about workers, or a gang's wish for
// one rack. It then starts one task, or one gang. While less than half of a service is in use it does not wait that long
// for resources that are kept as headroom or by such a reservation. Reservations for which runs are being stopped are
// firm, and those of jobs that have waited for minutes.
//
// When the room of a run comes back is told by roomReturn alone: at a time, or never by itself. Nothing else derives it from
// a percentage or an estimate, and no plan waits for room that never comes back.
//
// A reservation lasts for one plan: it keeps free resources, or resources that are being released, from demands that
// are planned later. It is not the reservation of package scheduler, which is part of that package's state.
package planner
