// Package registrar is the state machine on the replicated log. It holds workspaces, presets, jobs, agents, backend
// servers and claims of requests. Commands are typed, deterministic and idempotent by command id. Control replicas and
// the entries that follow the log run the same code, so all of them hold the same state at the same index.
//
// An agent is attached while the state lists it. Attach adds an agent process or updates what it announces; Detach
// removes it, and its worker then counts as lost. Attach and Detach of package tracker are different commands. Each
// start of an agent process has a new incarnation.
//
// A claimed request is orphaned when its owner, an entry process, is lost before an outcome is recorded; the target may
// have received the request.
package registrar
