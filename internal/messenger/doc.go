// Package messenger sends messages between control replicas over gRPC. Each peer has one stream for protocol messages.
// Each snapshot has a stream of its own, so that a large snapshot never delays a heartbeat.
package messenger
