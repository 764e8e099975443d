// Package verifier verifies the invariants of the scheduler's state. It recomputes them from a dump, slowly and
// without the scheduler's indexes, so that it does not share their faults.
package verifier
