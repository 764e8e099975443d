package placer

// Load is what a worker carries; all amounts are counts of accelerators or cores. It is immutable.
type Load struct {
	Worker        Worker
	Usable        bool // heard from, not quarantined, not draining
	Used          int  // accelerators of members that hold them, stopping ones included
	UsedCores     int
	Promised      int // accelerators that waiting jobs get once they are free
	PromisedCores int
	Bound         int // accelerators that belong to guaranteed shapes
	Firm          int // accelerators of members that no borrower's reservation may stop
}

// Free returns the accelerators that a job can take at once.
func (l Load) Free() int { return l.available(l.Worker.Accelerators - l.Used - l.Promised) }

// FreeCores returns the cores that a job can take at once.
func (l Load) FreeCores() int { return l.available(l.Worker.Cores - l.UsedCores - l.PromisedCores) }

// Spare returns the accelerators that belong to no guaranteed shape.
func (l Load) Spare() int { return l.available(l.Worker.Accelerators - l.Bound) }

// Reclaimable returns the accelerators that are free or can be taken back from borrowers.
func (l Load) Reclaimable() int { return l.available(l.Worker.Accelerators - l.Firm) }

// Open returns the accelerators that are both free and spare.
func (l Load) Open() int { return min(l.Free(), l.Spare()) }

func (l Load) available(n int) int {
	if !l.Usable {
		return 0
	}
	return max(n, 0)
}

// Quantity names what a search counts on.
type Quantity uint8

// The quantities that cells are indexed by.
const (
	ByFree     Quantity = iota // free accelerators
	ByOpen                     // free accelerators outside all guaranteed shapes
	BySpare                    // accelerators outside all guaranteed shapes, in use or not
	ByDeclared                 // all accelerators, of unusable workers too
	ByCores                    // free cores
	ByDeclaredCores
	ByReclaimable // accelerators free or held by borrowers
	ByCapacity    // accelerators of usable workers
	quantities
)

func (l Load) quantity(q Quantity) int {
	switch q {
	case ByFree:
		return l.Free()
	case ByOpen:
		return l.Open()
	case BySpare:
		return l.Spare()
	case ByDeclared:
		return l.Worker.Accelerators
	case ByCores:
		return l.FreeCores()
	case ByReclaimable:
		return l.Reclaimable()
	case ByCapacity:
		return l.available(l.Worker.Accelerators)
	default:
		return l.Worker.Cores
	}
}

// fits returns how many members of d the worker can take by quantity q.
func (l Load) fits(d Demand, q Quantity) int {
	n := d.Members
	if d.Accelerators > 0 {
		n = min(n, l.quantity(q)/d.Accelerators)
	}
	if d.Cores > 0 {
		n = min(n, l.cores(q)/d.Cores)
	}
	return n
}

// cores returns the cores to count beside quantity q; a guaranteed shape reserves none.
func (l Load) cores(q Quantity) int {
	switch q {
	case ByFree, ByOpen, ByCores:
		return l.FreeCores()
	default:
		return l.Worker.Cores
	}
}
