// Package messenger carries messages between control replicas over gRPC: one stream a peer for the protocol's
// messages and a stream of its own for each snapshot, so that a large one never holds up a heartbeat.
package messenger
