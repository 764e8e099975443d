// Package messenger sends messages between control replicas over gRPC. Each peer has one stream for protocol messages.
// Each snapshot has a stream of its own, so that a large snapshot never delays a heartbeat.
//
// Invariants:
//   - A channel that does not answer probes on its own connection is given up, and what waits on it ends. Messages that
//     arrive from a peer prove nothing about the channel to it.
//   - An unused channel is closed, so that a message never goes out on one that may have gone silent long ago.
//   - What waits for one peer is bounded by number and by bytes; the protocol sends again what is dropped.
package messenger
