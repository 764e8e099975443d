// Package agent is the role beside a backend server or a worker. It announces what it stands beside, gates the
// backend server's slots, holds leases on its own monotonic clock, and arms, starts and stops the members of jobs
// through the platform's worker interface.
package agent
