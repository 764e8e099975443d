package replicator

import "github.com/lagoonmill/lagoonmill/internal/journaler"

// MessageKind is the type of a Message.
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

// Message is a message from one replica to another. Its kind determines which fields are used.
type Message struct {
	Kind           MessageKind         `cbor:"1,keyasint"`
	From           ReplicaID           `cbor:"2,keyasint"`
	To             ReplicaID           `cbor:"3,keyasint"`
	Term           uint64              `cbor:"4,keyasint"`
	Index          uint64              `cbor:"5,keyasint,omitempty"` // index before Entries, the sender's last index, or the index acknowledged or rejected
	LogTerm        uint64              `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit         uint64              `cbor:"7,keyasint,omitempty"`
	Entries        []journaler.Entry   `cbor:"8,keyasint,omitempty"`
	Reject         bool                `cbor:"9,keyasint,omitempty"`
	RejectHint     uint64              `cbor:"10,keyasint,omitempty"` // last index at which the follower's log may match
	ReadRound      uint64              `cbor:"11,keyasint,omitempty"` // echoed in the response to confirm reads
	LeaderTransfer bool                `cbor:"12,keyasint,omitempty"` // the leader requested this election
	Snapshot       *journaler.Snapshot `cbor:"13,keyasint,omitempty"`
}

// Bytes returns the number of bytes of the message's entries and snapshot.
func (m Message) Bytes() int {
	size := entryBytes(m.Entries)
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

func entryBytes(entries []journaler.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}
