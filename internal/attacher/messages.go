package attacher

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// The gRPC service and method that entries serve to agents.
const (
	ServiceName  = "lagoonmill.entry"
	MethodAttach = "Attach"
)

// The intervals and timeouts of the stream between an agent and its entry.
const (
	HeartbeatInterval = 500 * timekeeper.Millis(1)
	StreamTimeout     = 1500 * timekeeper.Millis(1) // the entry's timeout for heartbeats; the agent's for messages is twice it
	FullSyncInterval  = 5 * timekeeper.Second       // between heartbeats that list every member even if none changed
)

// AgentMessage is a message from an agent. Exactly one field is set.
type AgentMessage struct {
	Attach    *registrar.Agent `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat       `cbor:"2,keyasint,omitempty"`
	Detach    bool             `cbor:"3,keyasint,omitempty"` // the agent stops and runs no members
}

// Heartbeat reports the state of an agent. If Complete is set, Members lists all members at the agent.
type Heartbeat struct {
	Serial   uint64            `cbor:"1,keyasint"`
	Revision uint64            `cbor:"2,keyasint"` // latest configuration revision that the agent received
	Complete bool              `cbor:"3,keyasint,omitempty"`
	Members  []MemberStatus    `cbor:"4,keyasint,omitempty"`
	Runner   *registrar.Runner `cbor:"5,keyasint,omitempty"` // set if it changed
	Draining bool              `cbor:"6,keyasint,omitempty"` // the agent is stopping: its worker must be drained
}

// MemberState is the state of a job's members at an agent.
type MemberState uint8

// The states of members at an agent.
const (
	MembersArmed MemberState = iota
	MembersRefused
	MembersRunning
	MembersEnded
)

// MemberStatus reports the state of a job's members at an agent.
type MemberStatus struct {
	Job          string            `cbor:"1,keyasint"`
	Attempt      int               `cbor:"2,keyasint"`
	State        MemberState       `cbor:"3,keyasint"`
	Outcome      scheduler.Outcome `cbor:"4,keyasint,omitempty"`
	SavedRunTime timekeeper.Millis `cbor:"5,keyasint,omitempty"`
	Reason       string            `cbor:"6,keyasint,omitempty"`
}

// EntryMessage is a message from an entry. Any of the fields may be set.
type EntryMessage struct {
	Assignments *Assignments `cbor:"1,keyasint,omitempty"`
	Grant       *Grant       `cbor:"2,keyasint,omitempty"`
	Config      *Config      `cbor:"3,keyasint,omitempty"`
	Reattach    bool         `cbor:"4,keyasint,omitempty"` // the entry is stopping: the agent must attach to another entry
}

// Assignments is the desired state of an agent's worker as of a log index. Agents ignore assignments with a lower
// index than the last ones.
type Assignments struct {
	Index   uint64       `cbor:"1,keyasint"`
	Members []Assignment `cbor:"2,keyasint"`
}

// Assignment is the desired state of a job's members on one worker.
type Assignment struct {
	Job        string            `cbor:"1,keyasint"`
	Attempt    int               `cbor:"2,keyasint"`
	Phase      scheduler.Phase   `cbor:"3,keyasint"` // arming, running or stopping
	Members    int               `cbor:"4,keyasint"`
	Demand     placer.Demand     `cbor:"5,keyasint"`
	Payload    string            `cbor:"6,keyasint,omitempty"`
	Checkpoint bool              `cbor:"7,keyasint,omitempty"`
	Resume     timekeeper.Millis `cbor:"8,keyasint,omitempty"` // run time saved by earlier attempts
	Grace      timekeeper.Millis `cbor:"9,keyasint,omitempty"` // timeout for the checkpoint when stopping
}

// Grant renews the leases of all members at the agent except those of denied jobs. The lease counts from the time at
// which the agent sent the heartbeat with the given serial.
type Grant struct {
	Serial uint64            `cbor:"1,keyasint"`
	Lease  timekeeper.Millis `cbor:"2,keyasint"`
	Denied []string          `cbor:"3,keyasint,omitempty"`
}

// Config announces the revision of the configuration that was accepted last and the one in force.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	InForce  uint64 `cbor:"2,keyasint"`
}
