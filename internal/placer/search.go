package placer

import (
	"slices"
	"strings"
)

// maxTies bounds how many cells a search tries to break ties between cells of equal value.
const maxTies = 16

// Place places the whole gang by quantity q. To limit fragmentation, it picks the cell of level d.Within with the least
// of q that holds the gang. The cost depends on the size of the gang and the number of cells tried, not on that of the
// cluster.
func (c Cells) Place(d Demand, q Quantity) (Placement, bool) {
	q, unit := c.searchQuantity(d, q)
	var best Placement
	var bestEnclosing []int
	bestValue, tried := 0, 0
	c.indexes[q].atLeast(d.Within, d.Members*unit, func(id string, value int) bool {
		if best != nil && (value > bestValue || tried >= maxTies) {
			return false
		}
		tried++
		placement, ok := c.PlaceIn(d, q, id)
		if !ok {
			return true
		}
		enclosing := c.enclosingValues(q, placement[0].Worker, d.Within)
		if best == nil || slices.Compare(enclosing, bestEnclosing) < 0 {
			best, bestValue, bestEnclosing = placement, value, enclosing
		}
		return true
	})
	return best, best != nil
}

// searchQuantity returns the quantity to search by, cores if the demand has no accelerators, and the amount of it that
// one member needs.
func (c Cells) searchQuantity(d Demand, q Quantity) (Quantity, int) {
	if d.Accelerators > 0 {
		return q, d.Accelerators
	}
	if q == ByDeclared || q == ByDeclaredCores {
		return ByDeclaredCores, d.Cores
	}
	return ByCores, d.Cores
}

// enclosingValues returns the values of the cells above level within that hold worker, from the smallest cell to the
// largest. Lower values mean that these cells are already more fragmented.
func (c Cells) enclosingValues(q Quantity, worker string, within Level) []int {
	load, _ := c.loads.Get(worker)
	var values []int
	for level := within + 1; level < LevelCluster; level++ {
		values = append(values, c.indexes[q].value(level, load.Worker.Cell(level)))
	}
	return values
}

// PlaceIn places the whole gang by quantity q in the cell id of level d.Within.
func (c Cells) PlaceIn(d Demand, q Quantity, id string) (Placement, bool) {
	q, unit := c.searchQuantity(d, q)
	var placement Placement
	remaining := c.fill(&placement, d, q, unit, cellName{d.Within, id})
	if remaining > 0 {
		return nil, false
	}
	slices.SortFunc(placement, func(a, b Part) int { return strings.Compare(a.Worker, b.Worker) })
	return placement, true
}

// fill places as many of d.Members in the cell as fit, and returns how many remain. It prefers the child with the
// smallest value that holds all of them, and else fills children from the largest value down, to fragment the fewest
// cells.
func (c Cells) fill(placement *Placement, d Demand, q Quantity, unit int, cell cellName) int {
	if cell.level == LevelWorker {
		load, _ := c.loads.Get(cell.id)
		n := load.memberCapacity(d, q)
		if n > 0 {
			*placement = append(*placement, Part{cell.id, n})
		}
		return d.Members - n
	}
	for _, child := range c.fillOrder(d.Members*unit, q, cell) {
		d.Members = c.fill(placement, d, q, unit, child)
		if d.Members == 0 {
			return 0
		}
	}
	return d.Members
}

type sizedCell struct {
	name  cellName
	value int
}

func (c Cells) fillOrder(need int, q Quantity, cell cellName) []cellName {
	ids, _ := c.children.Get(cell)
	sized := make([]sizedCell, 0, len(ids))
	for _, id := range ids {
		name := cellName{cell.level - 1, id}
		if v, ok := c.indexes[q].values.Get(name); ok {
			sized = append(sized, sizedCell{name, v})
		}
	}
	slices.SortStableFunc(sized, func(a, b sizedCell) int { return b.value - a.value })
	// Move the cell with the smallest value that is enough to the front.
	tightest := -1
	for i, s := range sized {
		if s.value >= need {
			tightest = i
		}
	}
	names := make([]cellName, 0, len(sized))
	if tightest >= 0 {
		names = append(names, sized[tightest].name)
	}
	for i, s := range sized {
		if i != tightest {
			names = append(names, s.name)
		}
	}
	return names
}

// FirstFit places the gang in the first cell that holds it, walking cells and workers in order. It is the baseline that
// Place is compared with.
func (c Cells) FirstFit(d Demand, q Quantity) (Placement, bool) {
	q, _ = c.searchQuantity(d, q)
	for _, id := range c.CellsAt(d.Within) {
		remaining := d
		var placement Placement
		for _, worker := range c.WorkersIn(d.Within, id) {
			load, _ := c.loads.Get(worker)
			if n := load.memberCapacity(remaining, q); n > 0 {
				placement = append(placement, Part{worker, n})
				remaining.Members -= n
			}
			if remaining.Members == 0 {
				return placement, true
			}
		}
	}
	return nil, false
}

// Feasible reports whether the gang would fit in the declared topology if nothing else ran.
func (c Cells) Feasible(d Demand) bool {
	_, ok := c.Place(d, ByDeclared)
	return ok
}

// Fragmentation returns the share, from 0 to 1, of free accelerators that gangs of the given demand cannot use.
func (c Cells) Fragmentation(d Demand) float64 {
	free := c.Total(ByFree)
	if free == 0 || d.Total() == 0 {
		return 0
	}
	servable := 0
	for _, id := range c.CellsAt(d.Within) {
		members := 0
		for _, worker := range c.WorkersIn(d.Within, id) {
			load, _ := c.loads.Get(worker)
			members += load.Free() / d.Accelerators
		}
		servable += members / d.Members * d.Total()
	}
	return 1 - float64(servable)/float64(free)
}
