// Package controller serves the control role to entries. Every replica streams the committed log; the leader also
// accepts commands, renews leases from the entries' reports, declares agents and entries lost, and puts revisions in
// force.
//
// A round is one report of an entry to the leader and the leader's answer, every RoundInterval. It serves as the
// heartbeat of the entry, and names the attached agents without a heartbeat in that round.
package controller
