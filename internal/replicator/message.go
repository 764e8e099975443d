package replicator

import "github.com/lagoonmill/lagoonmill/internal/journaler"

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	AppendRequest MessageKind = iota + 1
	AppendResponse
	VoteRequest
	VoteResponse
	PreVoteRequest
	PreVoteResponse
	SnapshotRequest
	TimeoutNow
)

// The kinds of entries in the log.
const (
	EntryCommand uint8 = iota
	EntryNoop
	EntryMembership
)

// Message is one message between two replicas; which fields count depends on its kind.
type Message struct {
	Kind           MessageKind         `cbor:"1,keyasint"`
	From           ReplicaID           `cbor:"2,keyasint"`
	To             ReplicaID           `cbor:"3,keyasint"`
	Term           uint64              `cbor:"4,keyasint"`
	Index          uint64              `cbor:"5,keyasint,omitempty"` // index before Entries, or the sender's last index
	LogTerm        uint64              `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit         uint64              `cbor:"7,keyasint,omitempty"`
	Entries        []journaler.Entry   `cbor:"8,keyasint,omitempty"`
	Reject         bool                `cbor:"9,keyasint,omitempty"`
	RejectHint     uint64              `cbor:"10,keyasint,omitempty"` // where a rejecting follower wants the log from
	ReadRound      uint64              `cbor:"11,keyasint,omitempty"` // read round, echoed in the response
	LeaderTransfer bool                `cbor:"12,keyasint,omitempty"` // the leader itself asked for this election
	Snapshot       *journaler.Snapshot `cbor:"13,keyasint,omitempty"`
}
