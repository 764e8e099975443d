package controller

import (
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	serviceName = "lagoonmill.control"

	methodPropose   = "Propose"
	methodHeartbeat = "Round"
	methodRead      = "Read"
	methodProbe     = "Hello"
	methodJoin      = "Join"
	methodSeat      = "Seat"
	methodStatus    = "Status"
	methodFollow    = "Follow"
)

// Timing of leases. A holder counts its lease from when it asked for it, so the lease ends for the holder before any
// other process considers it expired.
const (
	HeartbeatInterval = 500 * timekeeper.Millis(1) // between an entry's heartbeats to the leader
	AgentLease        = 3 * timekeeper.Second      // on the members that run at one agent
	EntryLease        = 3 * timekeeper.Second      // of an entry, on the configuration
	LeaseMargin       = 500 * timekeeper.Millis(1) // allowance for clocks that run at different rates
)

// Leadership states whether the replica that answers is the leader, and which leader it knows.
type Leadership struct {
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"` // address of the leader; empty if it is not known
	Term      uint64 `cbor:"3,keyasint"`
}

// ProposeRequest carries an encoded registrar.Command. The leader sets its time and version.
type ProposeRequest struct {
	Command []byte `cbor:"1,keyasint"`
}

// ProposeResponse carries the command's answer. If Uncertain is set, there is no answer and the command may still be
// applied. If Overload is set, the leader did not accept the command.
type ProposeResponse struct {
	Leadership Leadership       `cbor:"1,keyasint"`
	Uncertain  bool             `cbor:"2,keyasint,omitempty"`
	Overload   bool             `cbor:"3,keyasint,omitempty"`
	Answer     registrar.Answer `cbor:"4,keyasint"`
}

// AttachedAgent is an agent process that is attached to an entry.
type AttachedAgent struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// HeartbeatRequest is an entry's heartbeat, a periodic report to the leader. It lists the changes of its set of
// attached agents since the last report that was answered, and the agents without a heartbeat since the entry's
// previous request. So its size is that of the changes, not that of the set.
type HeartbeatRequest struct {
	Entry         string          `cbor:"1,keyasint"`
	Incarnation   string          `cbor:"2,keyasint"`
	Serial        uint64          `cbor:"3,keyasint"`
	Term          uint64          `cbor:"4,keyasint"` // highest term of a leader that the entry has seen
	Complete      bool            `cbor:"5,keyasint"` // Joined is the complete set
	Joined        []AttachedAgent `cbor:"6,keyasint,omitempty"`
	Left          []string        `cbor:"7,keyasint,omitempty"`
	Silent        []string        `cbor:"8,keyasint,omitempty"`
	AckedRevision uint64          `cbor:"9,keyasint"` // lowest revision that the entry and its agents have applied
	Stopping      bool            `cbor:"10,keyasint,omitempty"`
}

// HeartbeatResponse renews the entry's lease and the leases of the agents that sent a heartbeat, except for gangs with
// a member on a suspect's worker.
type HeartbeatResponse struct {
	Leadership   Leadership `cbor:"1,keyasint"`
	Serial       uint64     `cbor:"2,keyasint"`
	NeedComplete bool       `cbor:"3,keyasint,omitempty"` // the leader needs a complete report; nothing is renewed
	Suspects     []string   `cbor:"4,keyasint,omitempty"` // agents without a heartbeat at any entry for two intervals
	InForce      uint64     `cbor:"5,keyasint"`
	CommitIndex  uint64     `cbor:"6,keyasint"` // the entry must apply the log up to this index before it renews leases of agents
}

// ReadRequest asks for the index that a state must have applied for a linearizable read.
type ReadRequest struct{}

// ReadResponse carries the index, which a quorum has confirmed.
type ReadResponse struct {
	Leadership Leadership `cbor:"1,keyasint"`
	Index      uint64     `cbor:"2,keyasint"`
}

// ProbeRequest asks a control process whether it belongs to a cluster.
type ProbeRequest struct{}

// ProbeResponse carries the replica's identity. HasCluster reports whether it has a membership.
type ProbeResponse struct {
	ID         replicator.ReplicaID `cbor:"1,keyasint"`
	HasCluster bool                 `cbor:"2,keyasint"`
}

// JoinRequest asks the leader to add a new replica. Its address must be a seat of the cluster.
type JoinRequest struct {
	ID      replicator.ReplicaID `cbor:"1,keyasint"`
	Address string               `cbor:"2,keyasint"`
}

// JoinResponse is the result of a JoinRequest or SeatRequest. Refused is the reason of a refusal, or empty.
type JoinResponse struct {
	Leadership Leadership `cbor:"1,keyasint"`
	Refused    string     `cbor:"2,keyasint,omitempty"`
}

// SeatRequest adds or removes a seat, which is an address at which a replica may join.
type SeatRequest struct {
	Address string `cbor:"1,keyasint"`
	Remove  bool   `cbor:"2,keyasint"`
}

// StatusRequest asks for the state of the cluster.
type StatusRequest struct{}

// StatusResponse is one replica's view of the cluster.
type StatusResponse struct {
	Leadership  Leadership          `cbor:"1,keyasint" json:"standing"`
	Self        string              `cbor:"2,keyasint" json:"self"`
	Role        string              `cbor:"3,keyasint" json:"role"`
	CommitIndex uint64              `cbor:"4,keyasint" json:"commit-index"`
	LastIndex   uint64              `cbor:"5,keyasint" json:"last-index"`
	Members     []replicator.Member `cbor:"6,keyasint" json:"members"`
	Seats       []string            `cbor:"7,keyasint" json:"seats"`
	Entries     []EntryStatus       `cbor:"8,keyasint" json:"entries,omitempty"` // only from the leader
}

// EntryStatus is the leader's view of an entry.
type EntryStatus struct {
	Entry         string            `cbor:"1,keyasint" json:"entry"`
	SinceReport   timekeeper.Millis `cbor:"2,keyasint" json:"silent-millis"`
	Agents        int               `cbor:"3,keyasint" json:"agents"`
	AckedRevision uint64            `cbor:"4,keyasint" json:"revision"`
}

// FollowRequest asks for a stream of the committed log after index After.
type FollowRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// FollowItem carries consecutive committed entries, or a chunk of a snapshot to start from.
type FollowItem struct {
	Entries       []journaler.Entry `cbor:"1,keyasint,omitempty"`
	SnapshotIndex uint64            `cbor:"2,keyasint,omitempty"`
	Snapshot      []byte            `cbor:"3,keyasint,omitempty"`
	SnapshotLast  bool              `cbor:"4,keyasint,omitempty"`
}
