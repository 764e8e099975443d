// Package tracker is the state machine on the replicated log for jobs of steps and tasks: the configuration, the jobs
// with every task and run, and the workers with what they hold.
//
// Invariants, after every command: a task has at most one run that may still be going on; a worker's runs never need
// more than its capacity; a run leaves its worker only by a reported end or by the end of the worker's incarnation;
// a configuration is never replaced by an older one; a task that is done is never run again. Commands are
// deterministic and carry what they expect, so that a command proposed twice or too late changes nothing.
package tracker
