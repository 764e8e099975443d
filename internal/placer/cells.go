package placer

import (
	"slices"

	"github.com/benbjohnson/immutable"
)

// Cells is the tree of cells with the load of every worker.
//
// Invariants: each index holds, for each cell, the sum of a quantity over the workers of the cell; children lists each
// known worker once. Cells is immutable and safe for concurrent use. The zero value is not usable; use NewCells.
type Cells struct {
	loads    *immutable.SortedMap[string, Load]
	children *immutable.Map[cellName, []string]
	indexes  [quantities]index
}

// NewCells returns a tree without workers.
func NewCells() Cells {
	c := Cells{
		loads:    immutable.NewSortedMap[string, Load](nil),
		children: immutable.NewMap[cellName, []string](cellNameHasher{}),
	}
	for q := range c.indexes {
		c.indexes[q] = newIndex()
	}
	return c
}

// Load returns the load of a worker, and whether the worker is known.
func (c Cells) Load(worker string) (Load, bool) { return c.loads.Get(worker) }

// Identical reports whether c and other are the same value. It takes constant time, and returns false for equal trees
// that were built separately.
func (c Cells) Identical(other Cells) bool { return c.loads == other.loads }

// Len returns the number of workers.
func (c Cells) Len() int { return c.loads.Len() }

// VisitLoads calls visit with the load of every worker, ordered by id.
func (c Cells) VisitLoads(visit func(Load)) {
	for it := c.loads.Iterator(); !it.Done(); {
		_, load, _ := it.Next()
		visit(load)
	}
}

// Total returns the sum of a quantity over the cluster.
func (c Cells) Total(q Quantity) int { return c.indexes[q].value(LevelCluster, "") }

// Value returns the sum of a quantity over one cell.
func (c Cells) Value(q Quantity, level Level, id string) int { return c.indexes[q].value(level, id) }

// Largest returns the ids of up to limit cells of a level with the most of a quantity, largest first. Cells that have
// none are left out.
func (c Cells) Largest(q Quantity, level Level, limit int) []string {
	return c.indexes[q].largest(level, limit)
}

// WithWorker returns a copy with the worker added or redeclared, and usable. A known worker keeps its load.
func (c Cells) WithWorker(w Worker) Cells {
	load, known := c.loads.Get(w.ID)
	if known && load.Worker != w {
		c = c.WithoutWorker(w.ID)
		known = false
	}
	if !known {
		c = c.withChild(w)
	}
	load.Worker, load.Usable = w, true
	return c.WithLoads(load)
}

// WithoutWorker returns a copy without the worker.
func (c Cells) WithoutWorker(id string) Cells {
	load, known := c.loads.Get(id)
	if !known {
		return c
	}
	for q := range c.indexes {
		c.indexes[q] = c.indexes[q].withChanges([]quantityChange{{load.Worker, -load.quantity(Quantity(q))}})
	}
	c.loads = c.loads.Delete(id)
	return c.withoutChild(load.Worker)
}

// WithLoads returns a copy with the given loads, each of another known worker.
func (c Cells) WithLoads(loads ...Load) Cells {
	var changes [quantities][]quantityChange
	for _, next := range loads {
		prev, _ := c.loads.Get(next.Worker.ID)
		for q := range quantities {
			if delta := next.quantity(q) - prev.quantity(q); delta != 0 {
				changes[q] = append(changes[q], quantityChange{next.Worker, delta})
			}
		}
		c.loads = c.loads.Set(next.Worker.ID, next)
	}
	for q := range c.indexes {
		if len(changes[q]) > 0 {
			c.indexes[q] = c.indexes[q].withChanges(changes[q])
		}
	}
	return c
}

func (c Cells) withChild(w Worker) Cells {
	for level := LevelWorker; level < LevelCluster; level++ {
		parent := cellName{level + 1, w.Cell(level + 1)}
		list, _ := c.children.Get(parent)
		at, found := slices.BinarySearch(list, w.Cell(level))
		if found {
			break
		}
		c.children = c.children.Set(parent, slices.Insert(slices.Clone(list), at, w.Cell(level)))
	}
	return c
}

func (c Cells) withoutChild(w Worker) Cells {
	for level := LevelWorker; level < LevelCluster; level++ {
		parent := cellName{level + 1, w.Cell(level + 1)}
		list, _ := c.children.Get(parent)
		at, found := slices.BinarySearch(list, w.Cell(level))
		if !found {
			break
		}
		remaining := slices.Delete(slices.Clone(list), at, at+1)
		if len(remaining) > 0 {
			c.children = c.children.Set(parent, remaining)
			break
		}
		c.children = c.children.Delete(parent)
	}
	return c
}

// CellsAt returns the ids of all cells of a level, in order.
func (c Cells) CellsAt(level Level) []string {
	found := []string{""}
	for l := LevelCluster; l > level; l-- {
		var next []string
		for _, id := range found {
			list, _ := c.children.Get(cellName{l, id})
			next = append(next, list...)
		}
		found = next
	}
	return found
}

// WorkersIn returns the ids of all workers in a cell, in order.
func (c Cells) WorkersIn(level Level, id string) []string {
	found := []string{id}
	for l := level; l > LevelWorker; l-- {
		var next []string
		for _, cell := range found {
			list, _ := c.children.Get(cellName{l, cell})
			next = append(next, list...)
		}
		found = next
	}
	return found
}
