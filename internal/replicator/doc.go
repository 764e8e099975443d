// Package replicator keeps one log on all control replicas: elections with pre-vote and quorum check, pipelined
// append, snapshot transfer, membership change one at a time, linearizable reads and leadership handover.
//
// Core is the protocol alone: it does no I/O and takes the time as an argument. Node drives a Core with a journal,
// a transport and a state machine.
package replicator
