// Package distributor is the part of an entry that connects the attached agents with the leader. It follows the
// committed log and sends each agent its assignments, lease grants and the configuration. It reports to the leader, in
// periodic heartbeats, which agents are attached and which sent a heartbeat.
//
// An entry is a process that serves callers and to which agents attach. An attachment is the stream of an attached
// agent at its entry. The heartbeats that agents send to an entry and those that the entry sends to the leader (see
// package controller) are distinct. A Follower is a reader of the committed log, not a follower in the sense of Raft:
// it takes no part in replication.
package distributor
