// Package attacher defines the messages between an agent and the entry that it is attached to.
//
// An agent opens one stream. It first sends its identity, then a heartbeat every HeartbeatInterval. The entry sends the
// complete set of assignments for the agent's worker whenever the set changes, and grants that renew leases from the
// time of a heartbeat. Messages carry state, not changes of state, so that a lost or repeated message does no harm.
package attacher
