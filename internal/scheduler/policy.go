package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// GuaranteeMode is how a workspace's guarantee is kept.
type GuaranteeMode uint8

// The ways to keep a guarantee.
const (
	GuaranteeShapes GuaranteeMode = iota // shapes bound to cells, reclaimed from borrowers
	GuaranteeCounts                      // a number of accelerators, anywhere
	GuaranteeStatic                      // shapes bound to cells, nothing borrowed
	GuaranteeNone
)

var guaranteeModeNames = []string{"shapes", "counts", "static", "none"}

// MarshalText returns the mode's name in documents.
func (m GuaranteeMode) MarshalText() ([]byte, error) {
	if int(m) >= len(guaranteeModeNames) {
		return nil, fmt.Errorf("unknown guarantee mode %d", m)
	}
	return []byte(guaranteeModeNames[m]), nil
}

// UnmarshalText reads a mode's name in documents.
func (m *GuaranteeMode) UnmarshalText(text []byte) error {
	i := slices.Index(guaranteeModeNames, string(text))
	if i < 0 {
		return fmt.Errorf("unknown guarantee mode %q: want one of %s", text, strings.Join(guaranteeModeNames, ", "))
	}
	*m = GuaranteeMode(i)
	return nil
}

// Policy is what a preset sets for decisions. Its zero value decides as plainly as possible; see DefaultPolicy.
type Policy struct {
	Guarantee       GuaranteeMode     `cbor:"1,keyasint" json:"guarantee-mode" yaml:"guarantee-mode"`
	StrictOrder     bool              `cbor:"2,keyasint" json:"strict-order" yaml:"strict-order"`          // nothing passes the first job that does not fit
	IgnoreClasses   bool              `cbor:"3,keyasint" json:"ignore-classes" yaml:"ignore-classes"`      // one queue for all classes
	FirstFit        bool              `cbor:"4,keyasint" json:"first-fit" yaml:"first-fit"`                // in place of best fit
	ShortestFirst   bool              `cbor:"5,keyasint" json:"shortest-first" yaml:"shortest-first"`      // batch by expected run time
	Rebind          bool              `cbor:"6,keyasint" json:"rebind" yaml:"rebind"`                      // idle shapes move to where they cost nobody work
	ReserveAfter    timekeeper.Millis `cbor:"7,keyasint" json:"reserve-after-millis" yaml:"reserve-after"` // wait after which a gang gets a reservation; 0 never
	WaitBound       timekeeper.Millis `cbor:"8,keyasint" json:"wait-bound-millis" yaml:"wait-bound"`       // wait after which a reservation stops borrowers
	Defragment      bool              `cbor:"9,keyasint" json:"defragment" yaml:"defragment"`              // moves small jobs for a gang when it pays
	Grace           timekeeper.Millis `cbor:"10,keyasint" json:"grace-millis" yaml:"grace"`                // time a stopped job has to checkpoint
	MinimumRun      timekeeper.Millis `cbor:"11,keyasint" json:"minimum-run-millis" yaml:"minimum-run"`    // run time before a reservation may stop a borrower
	ArmBound        timekeeper.Millis `cbor:"12,keyasint" json:"arm-bound-millis" yaml:"arm-bound"`        // time members have to arm
	MaxFailures     int               `cbor:"13,keyasint" json:"max-failures" yaml:"max-failures"`         // failed attempts before a job ends
	QuarantineAfter int               `cbor:"14,keyasint" json:"quarantine-after" yaml:"quarantine-after"` // different jobs in a row that fail on a worker; 0 never
	QuarantineFor   timekeeper.Millis `cbor:"15,keyasint" json:"quarantine-millis" yaml:"quarantine"`
	QuarantineShare int               `cbor:"16,keyasint" json:"quarantine-share-percent" yaml:"quarantine-share-percent"` // most workers quarantined at once
	HoldBatch       bool              `cbor:"17,keyasint" json:"hold-batch" yaml:"hold-batch"`                             // batch jobs wait, for a maintenance window
	Spare           int               `cbor:"18,keyasint" json:"spare-accelerators" yaml:"spare-accelerators"`             // accelerators that no guarantee may take
}

// DefaultPolicy returns the policy of an ordinary day.
func DefaultPolicy() Policy {
	return Policy{
		ShortestFirst:   true,
		Rebind:          true,
		ReserveAfter:    2 * timekeeper.Minute,
		WaitBound:       30 * timekeeper.Minute,
		Defragment:      true,
		Grace:           timekeeper.Second,
		MinimumRun:      10 * timekeeper.Minute,
		ArmBound:        5 * timekeeper.Second,
		MaxFailures:     3,
		QuarantineAfter: 3,
		QuarantineFor:   15 * timekeeper.Minute,
		QuarantineShare: 10,
	}
}
