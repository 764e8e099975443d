// Package agent implements the process that runs on the host of a backend server or a worker. It registers them with
// an entry, forwards requests to the backend server within its slots, tracks leases on its own monotonic clock, and
// arms, starts and stops job members through the platform's worker interface.
package agent
