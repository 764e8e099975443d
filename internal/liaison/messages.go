package liaison

import (
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// The service that entries offer to agents.
const (
	ServiceName  = "lagoonmill.entry"
	MethodAttach = "Attach"
)

// The intervals between an agent and its entry.
const (
	BeatInterval  = 500 * timekeeper.Millis(1)
	SilenceBound  = 1500 * timekeeper.Millis(1) // silence after which either side gives the stream up
	WholeInterval = 5 * timekeeper.Second       // between beats that name every member though none changed
)

// AgentMessage is what an agent sends; exactly one field is set.
type AgentMessage struct {
	Hello *registrar.Agent `cbor:"1,keyasint,omitempty"`
	Beat  *Beat            `cbor:"2,keyasint,omitempty"`
	Bye   bool             `cbor:"3,keyasint,omitempty"` // the agent ends and holds nothing
}

// Beat tells that an agent lives; Whole tells that Members names all that it holds.
type Beat struct {
	Serial   uint64            `cbor:"1,keyasint"`
	Revision uint64            `cbor:"2,keyasint"` // of the configuration the agent knows
	Whole    bool              `cbor:"3,keyasint,omitempty"`
	Members  []MemberStatus    `cbor:"4,keyasint,omitempty"`
	Runner   *registrar.Runner `cbor:"5,keyasint,omitempty"` // set when it changed
	Leaving  bool              `cbor:"6,keyasint,omitempty"` // the agent stops: its worker is to be drained
}

// MemberState is what became of an order at an agent.
type MemberState uint8

// The states of members at an agent.
const (
	MembersArmed MemberState = iota
	MembersRefused
	MembersRunning
	MembersEnded
)

// MemberStatus is the state of a job's members at an agent.
type MemberStatus struct {
	Job     string            `cbor:"1,keyasint"`
	Attempt int               `cbor:"2,keyasint"`
	State   MemberState       `cbor:"3,keyasint"`
	Outcome scheduler.Outcome `cbor:"4,keyasint,omitempty"`
	Saved   timekeeper.Millis `cbor:"5,keyasint,omitempty"`
	Reason  string            `cbor:"6,keyasint,omitempty"`
}

// EntryMessage is what an entry sends; any of the fields may be set.
type EntryMessage struct {
	Orders *Orders `cbor:"1,keyasint,omitempty"`
	Grant  *Grant  `cbor:"2,keyasint,omitempty"`
	Config *Config `cbor:"3,keyasint,omitempty"`
	Leave  bool    `cbor:"4,keyasint,omitempty"` // the entry stops: attach elsewhere
}

// Orders is all that an agent's worker is to hold, as of a log index; a lower index than one seen is ignored.
type Orders struct {
	Index   uint64  `cbor:"1,keyasint"`
	Members []Order `cbor:"2,keyasint"`
}

// Order is the wanted state of a job's members on one worker.
type Order struct {
	Job        string            `cbor:"1,keyasint"`
	Attempt    int               `cbor:"2,keyasint"`
	Phase      scheduler.Phase   `cbor:"3,keyasint"` // arming, running or stopping
	Members    int               `cbor:"4,keyasint"`
	Demand     placer.Demand     `cbor:"5,keyasint"`
	Payload    string            `cbor:"6,keyasint,omitempty"`
	Checkpoint bool              `cbor:"7,keyasint,omitempty"`
	Resume     timekeeper.Millis `cbor:"8,keyasint,omitempty"` // run time kept from earlier attempts
	Grace      timekeeper.Millis `cbor:"9,keyasint,omitempty"` // time to checkpoint when stopping
}

// Grant renews the lease of every member at the agent, but those of denied jobs, from when the agent sent the beat
// with the given serial.
type Grant struct {
	Serial uint64            `cbor:"1,keyasint"`
	Lease  timekeeper.Millis `cbor:"2,keyasint"`
	Denied []string          `cbor:"3,keyasint,omitempty"`
}

// Config tells the revision accepted and the revision in force.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	InForce  uint64 `cbor:"2,keyasint"`
}
