// Package distributor is the part of an entry that connects the attached agents with the leader. It follows the
// committed log and sends each agent its assignments, lease grants and the configuration. It reports to the leader, in
// periodic heartbeats, which agents are attached and which sent a heartbeat.
package distributor
