// Package controller is the control role towards entries: it takes proposals, serves the committed log, grants
// leases in rounds, and as leader notices what is lost and what has come into force.
package controller
