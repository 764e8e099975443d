package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// GuaranteeMode is the way in which guarantees are kept.
type GuaranteeMode uint8

// The guarantee modes.
const (
	GuaranteeShapes GuaranteeMode = iota // shapes are bound to cells and reclaimed from borrowers
	GuaranteeCounts                      // a number of accelerators, anywhere
	GuaranteeStatic                      // shapes are bound to cells, and nothing is borrowed
	GuaranteeNone
)

var guaranteeModeNames = []string{"shapes", "counts", "static", "none"}

// MarshalText returns the name of the mode in JSON and YAML.
func (m GuaranteeMode) MarshalText() ([]byte, error) {
	if int(m) >= len(guaranteeModeNames) {
		return nil, fmt.Errorf("unknown guarantee mode %d", m)
	}
	return []byte(guaranteeModeNames[m]), nil
}

// UnmarshalText parses the name of a mode in JSON and YAML.
func (m *GuaranteeMode) UnmarshalText(text []byte) error {
	i := slices.Index(guaranteeModeNames, string(text))
	if i < 0 {
		return fmt.Errorf("unknown guarantee mode %q: want one of %s", text, strings.Join(guaranteeModeNames, ", "))
	}
	*m = GuaranteeMode(i)
	return nil
}

// Policy is the part of a preset that governs scheduling. The zero value turns every optional rule off; see
// DefaultPolicy.
type Policy struct {
	Guarantee         GuaranteeMode     `cbor:"1,keyasint" json:"guarantee-mode" yaml:"guarantee-mode"`
	StrictOrder       bool              `cbor:"2,keyasint" json:"strict-order" yaml:"strict-order"`          // no job bypasses the first one that does not fit
	IgnoreClasses     bool              `cbor:"3,keyasint" json:"ignore-classes" yaml:"ignore-classes"`      // one queue for all classes
	FirstFit          bool              `cbor:"4,keyasint" json:"first-fit" yaml:"first-fit"`                // instead of best fit
	ShortestFirst     bool              `cbor:"5,keyasint" json:"shortest-first" yaml:"shortest-first"`      // order batch jobs by expected run time
	Rebind            bool              `cbor:"6,keyasint" json:"rebind" yaml:"rebind"`                      // move idle slots to where no job must be stopped
	ReserveAfter      timekeeper.Millis `cbor:"7,keyasint" json:"reserve-after-millis" yaml:"reserve-after"` // wait after which a gang gets a reservation; 0 disables
	WaitBound         timekeeper.Millis `cbor:"8,keyasint" json:"wait-bound-millis" yaml:"wait-bound"`       // wait after which a reservation preempts borrowers
	Defragment        bool              `cbor:"9,keyasint" json:"defragment" yaml:"defragment"`              // preempt small jobs for a gang if the gain exceeds the cost
	Grace             timekeeper.Millis `cbor:"10,keyasint" json:"grace-millis" yaml:"grace"`                // time for a stopped job to checkpoint
	MinimumRun        timekeeper.Millis `cbor:"11,keyasint" json:"minimum-run-millis" yaml:"minimum-run"`    // run time before a reservation may preempt a borrower
	ArmTimeout        timekeeper.Millis `cbor:"12,keyasint" json:"arm-bound-millis" yaml:"arm-bound"`        // time for members to arm
	MaxFailures       int               `cbor:"13,keyasint" json:"max-failures" yaml:"max-failures"`         // failed attempts, on different workers, before a job ends
	QuarantineAfter   int               `cbor:"14,keyasint" json:"quarantine-after" yaml:"quarantine-after"` // distinct jobs that fail on a worker in a row; 0 disables
	QuarantineFor     timekeeper.Millis `cbor:"15,keyasint" json:"quarantine-millis" yaml:"quarantine"`
	QuarantineShare   int               `cbor:"16,keyasint" json:"quarantine-share-percent" yaml:"quarantine-share-percent"` // maximum share of quarantined workers
	HoldBatch         bool              `cbor:"17,keyasint" json:"hold-batch" yaml:"hold-batch"`                             // start no batch jobs, for a maintenance window
	SpareAccelerators int               `cbor:"18,keyasint" json:"spare-accelerators" yaml:"spare-accelerators"`             // accelerators that stay outside all guarantees
}

// DefaultPolicy returns the policy for ordinary operation.
func DefaultPolicy() Policy {
	return Policy{
		ShortestFirst:   true,
		Rebind:          true,
		ReserveAfter:    2 * timekeeper.Minute,
		WaitBound:       30 * timekeeper.Minute,
		Defragment:      true,
		Grace:           timekeeper.Second,
		MinimumRun:      10 * timekeeper.Minute,
		ArmTimeout:      5 * timekeeper.Second,
		MaxFailures:     3,
		QuarantineAfter: 3,
		QuarantineFor:   15 * timekeeper.Minute,
		QuarantineShare: 10,
	}
}
