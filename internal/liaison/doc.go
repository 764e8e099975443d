// Package liaison holds the messages between agents and the entry they are attached to.
//
// An agent opens one stream. It says who it is, then sends a beat every BeatInterval. The entry sends the whole set
// of orders for the agent's worker when it changes, and grants that renew leases from the time of a beat. Both sides
// state what is, not what changed, so that a lost or repeated message does no harm.
package liaison
