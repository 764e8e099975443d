// Package agent implements the process that runs on the host of a backend server or a worker. It registers them with
// an entry, forwards requests to the backend server within its slots, tracks leases on its own monotonic clock, and
// arms, starts and stops job members.
//
// A backend server answers callers' requests. A worker executes members of jobs through the platform's worker
// interface. Announcements and the registrar call a backend server a runner; a runner of package executor is another
// thing, the platform's process that executes tasks. An entry is a process that serves callers; an agent is attached
// to one entry at a time.
//
// A slot of a backend server is the capacity for one request in flight.
//
// To arm members is to hold the worker's accelerators and cores for an attempt of a job, under a lease, before the
// start is committed. Arming runs nothing.
//
// To fence an attempt of a once-only request is to ask the agent for its outcome. If the attempt has not started, the
// agent makes sure that it never does; otherwise it returns the outcome once there is one. An agent that may have
// discarded its record of the attempt returns an error instead.
package agent
