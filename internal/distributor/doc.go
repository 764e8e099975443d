// Package distributor is the part of an entry that follows the committed log and passes on what concerns the agents
// attached to it: orders, leases and the configuration. Towards the leader it reports what it heard, in rounds.
package distributor
