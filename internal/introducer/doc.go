// Package introducer makes control replicas known to processes that know nobody but the seeds of their settings.
// Seeds are control processes, but need not be replicas: one without a disk answers every call of a replica with what it
// was told, so that callers go on to those it names.
//
// Invariants: whoever knows replicas tells the seeds that its settings name now, again and again, so that either side may
// restart or be replaced at any time; a process without a replica never claims to lead; nothing here is more than a
// hint, which the replica that is asked confirms or denies.
package introducer
