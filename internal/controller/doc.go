// Package controller serves the control role to entries. Every replica streams the committed log; the leader also
// accepts commands, renews leases from the entries' reports, declares agents and entries lost, and puts revisions in
// force.
//
// An entry sends a heartbeat to the leader every HeartbeatInterval. It reports the changes of the entry's set of
// attached agents, and the agents without a heartbeat since the previous request. The leader's answer renews leases.
package controller
