// Package worker talks to the platform's worker interface: it runs tasks under leases, renews, checkpoints,
// throttles and stops them, and reads their state and usage. The protocol is JSON over HTTP; docs/design/peers.md
// describes it.
package worker
