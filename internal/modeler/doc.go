// Package modeler holds the job model: a job is a list of steps, a step is a number of equal tasks, and a task is
// tried in runs on workers. It holds the configuration of queues and workspaces that jobs are submitted under too.
//
// All values are immutable once they are shared. The package knows no network, no log and no clock.
package modeler
