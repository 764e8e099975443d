// Package worker is a client of the platform's worker interface. It starts tasks under leases, renews the leases,
// checkpoints, throttles and stops tasks, and reads their state and usage. The protocol is JSON over HTTP;
// docs/design/peers.md describes it.
package worker
