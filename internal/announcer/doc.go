// Package announcer makes control replicas known to processes that know only the seeds in their settings. Seeds are
// control processes, but need not be replicas: a seed without a disk answers every call meant for a replica with the
// replicas that were announced to it, so that the caller goes on to those.
//
// Invariants:
//   - A process that knows replicas announces them repeatedly to the seeds that its settings name at the time, so that
//     either side may restart or be replaced at any time.
//   - A process without a replica never claims to lead.
//   - Announcements are only hints, which the replica that is called confirms or denies.
package announcer
