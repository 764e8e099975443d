// Package tracker implements the state machine that the replicated log drives for jobs of steps and tasks. Its state
// holds the configuration, the jobs with their tasks, and the workers with the runs assigned to them.
//
// The following invariants hold after every command:
//   - A task has at most one run that may still be executing.
//   - The runs of a worker never need more than the worker's capacity.
//   - A run is removed from its worker only when its end is reported or the worker is detached.
//   - A configuration is never replaced by an older one.
//   - A task that is done is never run again.
//
// Commands are deterministic. They state what they expect, such as an epoch, an attempt or a version, so that a command
// proposed twice or too late changes nothing.
package tracker
