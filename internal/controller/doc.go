// Package controller serves the control role to entries. Every replica streams the committed log; the leader also
// accepts commands, renews leases from the entries' reports, declares agents and entries lost, and puts revisions in
// force.
package controller
