// Package modeler defines the job model: a job is a list of steps, a step is a number of identical tasks, and a task is
// executed in one or more runs on workers. It also defines the configuration of queues and workspaces.
//
// All values are immutable once they are shared. The package does not depend on the network, the log or a clock.
package modeler
