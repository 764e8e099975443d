// Package replicator implements Raft for the log that all control replicas share: elections with pre-vote and quorum
// check, pipelined append, snapshot transfer, membership changes of one voter at a time, linearizable reads and
// leadership transfer.
//
// Core implements the protocol without I/O and receives the time as an argument. Node runs a Core with a journal, a
// transport and a state machine.
package replicator
