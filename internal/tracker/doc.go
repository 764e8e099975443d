// Package tracker implements the state machine that the replicated log drives for jobs of steps and tasks. Its state
// holds the configuration, the jobs with their tasks, and the workers with the runs assigned to them.
//
// The following invariants hold after every command:
//   - A task has at most one run that may still be executing.
//   - The runs of a worker never need more than the worker's capacity.
//   - A run is removed from its worker only when its end is reported or the worker is detached. Until then the worker holds
//     it, whatever becomes of its task and its job.
//   - A run that a worker holds is the current one of its task, or its task is done through another member of its gang.
//   - A configuration is never replaced by an older one.
//   - The queue of an unfinished job is known, also after a configuration has removed it.
//   - A task that is done is never run again.
//
// Commands are deterministic. They state what they expect, such as an epoch, an attempt or a version, so that a command
// proposed twice or too late changes nothing.
//
// Terms:
//   - A run is one execution of a task on a worker. The runs of a task are numbered by attempt.
//   - An incarnation is one process of the platform's runner on a worker, identified by its id and start time. A
//     runner retains nothing from earlier incarnations.
//   - To attach a worker is to make an agent process the one that controls it. To detach it is to declare that nothing
//     runs there; its runs then end as lost.
//   - The epoch numbers the attachments of a worker and is their fencing token: commands of an earlier epoch
//     have no effect, and a runner refuses requests of an earlier epoch than the highest that it has seen. An agent
//     process that attaches the same incarnation again keeps the epoch, unless the worker was detached meanwhile.
package tracker
