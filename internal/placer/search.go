package placer

import (
	"slices"
	"strings"
)

// tieCandidates bounds how many equally full cells a search compares by the cells around them.
const tieCandidates = 16

// Place finds a place for the whole gang by quantity q, in the fullest cell that holds it, so that large cells stay
// whole. The cost follows the gang's size and the number of cells tried, not the cluster.
func (c Cells) Place(d Demand, q Quantity) (Placement, bool) {
	q, unit := c.measure(d, q)
	var best Placement
	var bestAround []int
	bestValue, tried := 0, 0
	c.indexes[q].atLeast(d.Within, d.Members*unit, func(id string, value int) bool {
		if best != nil && (value > bestValue || tried >= tieCandidates) {
			return false
		}
		tried++
		placement, ok := c.PlaceIn(d, q, id)
		if !ok {
			return true
		}
		around := c.around(q, placement[0].Worker, d.Within)
		if best == nil || slices.Compare(around, bestAround) < 0 {
			best, bestValue, bestAround = placement, value, around
		}
		return true
	})
	return best, best != nil
}

// measure returns the quantity that carries the demand and the amount one member takes of it.
func (c Cells) measure(d Demand, q Quantity) (Quantity, int) {
	if d.Accelerators > 0 {
		return q, d.Accelerators
	}
	if q == ByDeclared || q == ByDeclaredCores {
		return ByDeclaredCores, d.Cores
	}
	return ByCores, d.Cores
}

// around returns the values of the larger cells that hold worker, from the smallest up: less means that the
// neighbourhood is already broken.
func (c Cells) around(q Quantity, worker string, within Level) []int {
	load, _ := c.loads.Get(worker)
	var values []int
	for level := within + 1; level < LevelCluster; level++ {
		values = append(values, c.indexes[q].value(level, load.Worker.Cell(level)))
	}
	return values
}

// PlaceIn finds a place for the whole gang inside the cell id of level d.Within.
func (c Cells) PlaceIn(d Demand, q Quantity, id string) (Placement, bool) {
	q, unit := c.measure(d, q)
	var placement Placement
	left := c.fill(&placement, d, q, unit, cellName{d.Within, id})
	if left > 0 {
		return nil, false
	}
	slices.SortFunc(placement, func(a, b Part) int { return strings.Compare(a.Worker, b.Worker) })
	return placement, true
}

// fill places as many of d.Members inside the cell as fit and returns how many are left. It prefers the smallest
// child that takes all of them, else empties the largest first, so that it breaks the fewest cells.
func (c Cells) fill(placement *Placement, d Demand, q Quantity, unit int, cell cellName) int {
	if cell.level == LevelWorker {
		load, _ := c.loads.Get(cell.id)
		n := load.fits(d, q)
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
	// Rotate the smallest cell that takes everything to the front.
	last := -1
	for i, s := range sized {
		if s.value >= need {
			last = i
		}
	}
	names := make([]cellName, 0, len(sized))
	if last >= 0 {
		names = append(names, sized[last].name)
	}
	for i, s := range sized {
		if i != last {
			names = append(names, s.name)
		}
	}
	return names
}

// FirstFit finds a place by walking cells and workers in order; it is the plain search that Place is measured
// against.
func (c Cells) FirstFit(d Demand, q Quantity) (Placement, bool) {
	q, _ = c.measure(d, q)
	for _, id := range c.CellsAt(d.Within) {
		left := d
		var placement Placement
		for _, worker := range c.WorkersIn(d.Within, id) {
			load, _ := c.loads.Get(worker)
			if n := load.fits(left, q); n > 0 {
				placement = append(placement, Part{worker, n})
				left.Members -= n
			}
			if left.Members == 0 {
				return placement, true
			}
		}
	}
	return nil, false
}

// Feasible reports whether the gang would fit into the declared topology if nothing else ran.
func (c Cells) Feasible(d Demand) bool {
	_, ok := c.Place(d, ByDeclared)
	return ok
}

// Fragmentation returns the share, 0 to 1, of free accelerators that cannot serve a gang of the given demand.
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
