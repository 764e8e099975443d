package scheduler

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/estimator"
	"github.com/lagoonmill/lagoonmill/internal/placer"
)

// Shape is a guarantee of Count gangs of the given demand, each within one cell.
type Shape struct {
	Count  int           `cbor:"1,keyasint" json:"count" yaml:"count"`
	Demand placer.Demand `cbor:"2,keyasint" json:"demand" yaml:"demand"`
}

// Workspace is a tenant with its guaranteed shapes and its weight among borrowers. A weight of 0 counts as 1.
type Workspace struct {
	Name      string  `cbor:"1,keyasint" json:"name" yaml:"name"`
	Guarantee []Shape `cbor:"2,keyasint" json:"guarantee" yaml:"guarantee"`
	Weight    int     `cbor:"3,keyasint" json:"weight" yaml:"weight"`
}

// Accelerators returns the number of guaranteed accelerators.
func (w Workspace) Accelerators() int {
	n := 0
	for _, s := range w.Guarantee {
		n += s.Count * s.Demand.Total()
	}
	return n
}

// Validate returns an error that names the first invalid field.
func (w Workspace) Validate() error {
	if w.Name == "" {
		return fmt.Errorf("name: must not be empty")
	}
	if w.Weight < 0 {
		return fmt.Errorf("weight: got %d, want at least 0", w.Weight)
	}
	for i, s := range w.Guarantee {
		if s.Count < 1 {
			return fmt.Errorf("guarantee[%d].count: got %d, want at least 1", i, s.Count)
		}
		if err := s.Demand.Validate(); err != nil {
			return fmt.Errorf("guarantee[%d].%w", i, err)
		}
		if s.Demand.Accelerators == 0 {
			return fmt.Errorf("guarantee[%d].accelerators: a guarantee is of accelerators, got 0", i)
		}
	}
	return nil
}

// account is the scheduler's record of a workspace.
type account struct {
	Workspace Workspace
	Running   int // accelerators held or reserved
	Borrowed  int // the part of Running that is outside the guarantee
	RunTimes  [numClasses]estimator.Histogram
}

// SlotKey identifies one guaranteed gang of a workspace. The zero value identifies none.
type SlotKey struct {
	Workspace string `cbor:"1,keyasint"`
	Number    int    `cbor:"2,keyasint"` // counts from 1
}

type slotOrder struct{}

func (slotOrder) Compare(a, b SlotKey) int {
	if c := strings.Compare(a.Workspace, b.Workspace); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

// Slot is one guaranteed gang and the workers that it is bound to. It is immutable.
//
// Invariants: its jobs lie inside Binding; Binding has as many members as Demand, or fewer after workers were lost.
type Slot struct {
	Key             SlotKey          `cbor:"1,keyasint"`
	Demand          placer.Demand    `cbor:"2,keyasint"`
	Binding         placer.Placement `cbor:"3,keyasint"`
	Jobs            []string         `cbor:"4,keyasint"`
	FeasibleBinding placer.Placement `cbor:"5,keyasint"` // binding when all slots last fit at once
}

// MissingMembers returns the number of members that are not bound to a worker.
func (s Slot) MissingMembers() int { return s.Demand.Members - s.Binding.Members() }
