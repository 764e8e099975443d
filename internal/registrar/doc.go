// Package registrar is the state machine on the replicated log. It holds workspaces, presets, jobs, agents, backend
// servers and claims of requests. Commands are typed, deterministic and idempotent by command id. Control replicas and
// the entries that follow the log run the same code, so all of them hold the same state at the same index.
package registrar
