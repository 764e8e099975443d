package scheduler

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/estimator"
	"github.com/lagoonmill/lagoonmill/internal/placer"
)

// Shape is a guaranteed amount: Count gangs of the given demand, each inside one cell.
type Shape struct {
	Count  int           `cbor:"1,keyasint" json:"count" yaml:"count"`
	Demand placer.Demand `cbor:"2,keyasint" json:"demand" yaml:"demand"`
}

// Workspace is a customer's share: its guaranteed shapes and its weight among borrowers, at least 1.
type Workspace struct {
	Name      string  `cbor:"1,keyasint" json:"name" yaml:"name"`
	Guarantee []Shape `cbor:"2,keyasint" json:"guarantee" yaml:"guarantee"`
	Weight    int     `cbor:"3,keyasint" json:"weight" yaml:"weight"`
}

// Accelerators returns the number of accelerators guaranteed.
func (w Workspace) Accelerators() int {
	n := 0
	for _, s := range w.Guarantee {
		n += s.Count * s.Demand.Total()
	}
	return n
}

// Validate names the field that makes the workspace unusable.
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

// account is what the scheduler keeps of a workspace.
type account struct {
	Workspace Workspace
	Running   int // accelerators held or promised
	Borrowed  int // accelerators of these outside the guarantee
	RunTimes  [numClasses]estimator.Histogram
}

// SlotKey names one guaranteed gang of a workspace; the zero value names none.
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

// Slot is one guaranteed gang, bound to the workers that serve it. It is immutable.
//
// Invariants: the jobs under it lie inside Binding; Binding is whole or, after losses, shorter than Demand.
type Slot struct {
	Key             SlotKey          `cbor:"1,keyasint"`
	Demand          placer.Demand    `cbor:"2,keyasint"`
	Binding         placer.Placement `cbor:"3,keyasint"`
	Jobs            []string         `cbor:"4,keyasint"`
	FeasibleBinding placer.Placement `cbor:"5,keyasint"` // binding in the last proof that all slots fit at once
}

// MissingMembers returns the number of members for which no healthy worker is bound.
func (s Slot) MissingMembers() int { return s.Demand.Members - s.Binding.Members() }
