package placer

// Load is the usage of a worker. All amounts are numbers of accelerators or cores. It is a value: to change the load of
// a worker, pass a changed copy to Cells.WithLoads.
type Load struct {
	Worker         Worker
	Usable         bool // sends heartbeats, and is neither quarantined nor draining
	Used           int  // accelerators held by members, including stopping ones
	UsedCores      int
	Reserved       int // accelerators reserved for waiting jobs
	ReservedCores  int
	Bound          int // accelerators set aside for guaranteed shapes
	NonReclaimable int // accelerators of members within a guarantee, which no borrower's reservation may stop
}

// Free returns the accelerators that a job can be given now.
func (l Load) Free() int { return l.ifUsable(l.Worker.Accelerators - l.Used - l.Reserved) }

// FreeCores returns the cores that a job can be given now.
func (l Load) FreeCores() int { return l.ifUsable(l.Worker.Cores - l.UsedCores - l.ReservedCores) }

// Spare returns the accelerators outside all guaranteed shapes, in use or not.
func (l Load) Spare() int { return l.ifUsable(l.Worker.Accelerators - l.Bound) }

// Reclaimable returns the accelerators that are free or can be reclaimed from borrowers.
func (l Load) Reclaimable() int { return l.ifUsable(l.Worker.Accelerators - l.NonReclaimable) }

// FreeSpare returns the smaller of Free and Spare.
func (l Load) FreeSpare() int { return min(l.Free(), l.Spare()) }

func (l Load) ifUsable(n int) int {
	if !l.Usable {
		return 0
	}
	return max(n, 0)
}

// Quantity selects the amount that a search counts.
type Quantity uint8

// The quantities that cells are indexed by.
const (
	ByFree      Quantity = iota // free accelerators
	ByFreeSpare                 // free accelerators outside all guaranteed shapes
	BySpare                     // accelerators outside all guaranteed shapes, in use or not
	ByDeclared                  // all accelerators, including those of unusable workers
	ByCores                     // free cores
	ByDeclaredCores
	ByReclaimable // accelerators that are free or held by borrowers
	ByCapacity    // accelerators of usable workers
	quantities
)

func (l Load) quantity(q Quantity) int {
	switch q {
	case ByFree:
		return l.Free()
	case ByFreeSpare:
		return l.FreeSpare()
	case BySpare:
		return l.Spare()
	case ByDeclared:
		return l.Worker.Accelerators
	case ByCores:
		return l.FreeCores()
	case ByReclaimable:
		return l.Reclaimable()
	case ByCapacity:
		return l.ifUsable(l.Worker.Accelerators)
	default:
		return l.Worker.Cores
	}
}

// memberCapacity returns how many members of d fit on the worker by quantity q.
func (l Load) memberCapacity(d Demand, q Quantity) int {
	n := d.Members
	if d.Accelerators > 0 {
		n = min(n, l.quantity(q)/d.Accelerators)
	}
	if d.Cores > 0 {
		n = min(n, l.coresFor(q)/d.Cores)
	}
	return n
}

// coresFor returns the cores to count with quantity q: free cores for quantities of free resources, and else all cores,
// since guaranteed shapes reserve no cores.
func (l Load) coresFor(q Quantity) int {
	switch q {
	case ByFree, ByFreeSpare, ByCores:
		return l.FreeCores()
	default:
		return l.Worker.Cores
	}
}
