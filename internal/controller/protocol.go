package controller

import (
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	serviceName = "lagoonmill.control"

	methodPropose = "Propose"
	methodRound   = "Round"
	methodRead    = "Read"
	methodProbe   = "Hello"
	methodJoin    = "Join"
	methodSeat    = "Seat"
	methodStatus  = "Status"
	methodFollow  = "Follow"
)

// The intervals of leases. A lease counts from when its holder asked, so that every other process sees it end later.
const (
	RoundInterval = 500 * timekeeper.Millis(1) // between an entry's rounds
	AgentLease    = 3 * timekeeper.Second      // of the members at one agent
	EntryLease    = 3 * timekeeper.Second      // of an entry on the configuration
	LeaseMargin   = 500 * timekeeper.Millis(1) // for clocks that run apart
)

// Leadership tells whether the replica that answered leads, and who does as far as it knows.
type Leadership struct {
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"` // address, empty when not known
	Term      uint64 `cbor:"3,keyasint"`
}

// ProposeRequest carries an encoded registrar.Command; the leader stamps its time.
type ProposeRequest struct {
	Command []byte `cbor:"1,keyasint"`
}

// ProposeResponse is the answer; Uncertain tells that the command may still be applied.
type ProposeResponse struct {
	Leadership Leadership       `cbor:"1,keyasint"`
	Uncertain  bool             `cbor:"2,keyasint,omitempty"`
	Overload   bool             `cbor:"3,keyasint,omitempty"`
	Answer     registrar.Answer `cbor:"4,keyasint"`
}

// AttachedAgent is an agent process at an entry.
type AttachedAgent struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// RoundRequest is what an entry tells the leader each round: the changes of its set of attached agents since the
// last round that was answered, and which of them were not heard in this one. Its size follows the changes.
type RoundRequest struct {
	Entry       string          `cbor:"1,keyasint"`
	Incarnation string          `cbor:"2,keyasint"`
	Serial      uint64          `cbor:"3,keyasint"`
	Term        uint64          `cbor:"4,keyasint"` // highest leader's term seen
	Whole       bool            `cbor:"5,keyasint"` // Joined is the whole set
	Joined      []AttachedAgent `cbor:"6,keyasint,omitempty"`
	Left        []string        `cbor:"7,keyasint,omitempty"`
	Missed      []string        `cbor:"8,keyasint,omitempty"`
	Acked       uint64          `cbor:"9,keyasint"` // least revision held by the entry and its agents
	Leaving     bool            `cbor:"10,keyasint,omitempty"`
}

// RoundResponse renews the entry's lease, and those of all agents that were heard and whose gangs have no suspect.
type RoundResponse struct {
	Standing  Leadership `cbor:"1,keyasint"`
	Serial    uint64     `cbor:"2,keyasint"`
	NeedWhole bool       `cbor:"3,keyasint,omitempty"` // the leader does not know the set; nothing is renewed
	Suspects  []string   `cbor:"4,keyasint,omitempty"` // agents not heard in the last round, wherever they attach
	InForce   uint64     `cbor:"5,keyasint"`
	Commit    uint64     `cbor:"6,keyasint"` // an entry that has not applied this far must not pass the renewal on
}

// ReadRequest asks for the index up to which the state must be known to be current.
type ReadRequest struct{}

// ReadResponse gives the confirmed index.
type ReadResponse struct {
	Leadership Leadership `cbor:"1,keyasint"`
	Index      uint64     `cbor:"2,keyasint"`
}

// ProbeRequest asks a control process whether it belongs to a cluster.
type ProbeRequest struct{}

// ProbeResponse tells the replica's identity and whether it knows a membership.
type ProbeResponse struct {
	ID         replicator.ReplicaID `cbor:"1,keyasint"`
	HasCluster bool                 `cbor:"2,keyasint"`
}

// JoinRequest asks to add a new replica at an address that has a seat.
type JoinRequest struct {
	ID      replicator.ReplicaID `cbor:"1,keyasint"`
	Address string               `cbor:"2,keyasint"`
}

// JoinResponse tells whether the replica is a member now.
type JoinResponse struct {
	Leadership Leadership `cbor:"1,keyasint"`
	Refused    string     `cbor:"2,keyasint,omitempty"`
}

// SeatRequest adds or removes an address at which a replica may join.
type SeatRequest struct {
	Address string `cbor:"1,keyasint"`
	Remove  bool   `cbor:"2,keyasint"`
}

// StatusRequest asks for the state of the cluster.
type StatusRequest struct{}

// StatusResponse is the state of the cluster as one replica sees it.
type StatusResponse struct {
	Leadership Leadership          `cbor:"1,keyasint" json:"standing"`
	Self       string              `cbor:"2,keyasint" json:"self"`
	Role       string              `cbor:"3,keyasint" json:"role"`
	Commit     uint64              `cbor:"4,keyasint" json:"commit-index"`
	Last       uint64              `cbor:"5,keyasint" json:"last-index"`
	Members    []replicator.Member `cbor:"6,keyasint" json:"members"`
	Seats      []string            `cbor:"7,keyasint" json:"seats"`
	Entries    []EntryStatus       `cbor:"8,keyasint" json:"entries,omitempty"` // on the leader
}

// EntryStatus is an entry as the leader sees it.
type EntryStatus struct {
	Entry  string            `cbor:"1,keyasint" json:"entry"`
	Silent timekeeper.Millis `cbor:"2,keyasint" json:"silent-millis"`
	Agents int               `cbor:"3,keyasint" json:"agents"`
	Acked  uint64            `cbor:"4,keyasint" json:"revision"`
}

// FollowRequest asks for the committed log after an index.
type FollowRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

// FollowItem is a run of committed entries, or a piece of a snapshot to start from.
type FollowItem struct {
	Entries       []journaler.Entry `cbor:"1,keyasint,omitempty"`
	SnapshotIndex uint64            `cbor:"2,keyasint,omitempty"`
	Snapshot      []byte            `cbor:"3,keyasint,omitempty"`
	SnapshotLast  bool              `cbor:"4,keyasint,omitempty"`
}
