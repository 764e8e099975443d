package verifier

import (
	"fmt"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// Check verifies the invariants that must hold after every step of the scheduler, and returns an error that describes
// the first violation found.
func Check(d scheduler.Dump) error {
	workers := map[string]scheduler.DumpedWorker{}
	for _, w := range d.Workers {
		workers[w.Worker.ID] = w
	}
	jobs := map[string]scheduler.Job{}
	for _, j := range d.Jobs {
		jobs[j.Spec.ID] = j
	}
	for _, check := range []func(scheduler.Dump, map[string]scheduler.DumpedWorker, map[string]scheduler.Job) error{
		checkCapacity, checkBindings, checkSlotJobs, checkReclaimable, checkGangs,
	} {
		if err := check(d, workers, jobs); err != nil {
			return err
		}
	}
	return nil
}

// usesAccelerators reports whether a job is in a phase in which its members use accelerators.
func usesAccelerators(j scheduler.Job) bool {
	return j.Phase == scheduler.PhaseArming || j.Phase == scheduler.PhaseRunning || j.Phase == scheduler.PhaseStopping
}

// checkCapacity checks that the jobs on a worker use no more accelerators and cores than it has.
func checkCapacity(d scheduler.Dump, workers map[string]scheduler.DumpedWorker, _ map[string]scheduler.Job) error {
	used, cores := map[string]int{}, map[string]int{}
	for _, j := range d.Jobs {
		for _, p := range j.Placement {
			if usesAccelerators(j) && j.Holds(p.Worker) {
				used[p.Worker] += p.Members * j.Spec.Demand.Accelerators
				cores[p.Worker] += p.Members * j.Spec.Demand.Cores
			}
		}
	}
	for id, n := range used {
		if w := workers[id].Worker; n > w.Accelerators || cores[id] > w.Cores {
			return fmt.Errorf("worker %s: %d accelerators and %d cores in use of %d and %d", id, n, cores[id], w.Accelerators, w.Cores)
		}
	}
	return nil
}

// checkBindings checks that each slot is bound within one cell, and no more accelerators of a worker are bound than it
// has.
func checkBindings(d scheduler.Dump, workers map[string]scheduler.DumpedWorker, _ map[string]scheduler.Job) error {
	bound := map[string]int{}
	for _, s := range d.Slots {
		cells := map[string]bool{}
		for _, p := range s.Binding {
			bound[p.Worker] += p.Members * s.Demand.Accelerators
			cells[workers[p.Worker].Worker.Cell(s.Demand.Within)] = true
		}
		if len(cells) > 1 {
			return fmt.Errorf("slot %v is bound across %d cells", s.Key, len(cells))
		}
	}
	for id, n := range bound {
		if n > workers[id].Worker.Accelerators {
			return fmt.Errorf("worker %s: %d accelerators bound of %d", id, n, workers[id].Worker.Accelerators)
		}
	}
	return nil
}

// checkSlotJobs checks that the jobs of a slot together fit into its binding, and that jobs and slots refer to each
// other.
func checkSlotJobs(d scheduler.Dump, workers map[string]scheduler.DumpedWorker, jobs map[string]scheduler.Job) error {
	listed := map[string]scheduler.SlotKey{}
	for _, s := range d.Slots {
		free := map[string]int{} // accelerators of the binding, by worker
		for _, p := range s.Binding {
			free[p.Worker] = p.Members * s.Demand.Accelerators
		}
		for _, id := range s.Jobs {
			j := jobs[id]
			listed[id] = s.Key
			if j.Slot != s.Key {
				return fmt.Errorf("slot %v lists job %s, which runs under %v", s.Key, id, j.Slot)
			}
			if j.Phase == scheduler.PhaseStopping {
				continue
			}
			for _, p := range j.Placement {
				free[p.Worker] -= p.Members * j.Spec.Demand.Accelerators
				if free[p.Worker] < 0 && j.Holds(p.Worker) && !workers[p.Worker].Lost {
					return fmt.Errorf("slot %v: job %s exceeds the binding on %s", s.Key, id, p.Worker)
				}
			}
		}
	}
	for _, j := range d.Jobs {
		if (usesAccelerators(j) || j.Phase == scheduler.PhaseWaiting) && j.Slot.Number > 0 && listed[j.Spec.ID] != j.Slot {
			return fmt.Errorf("job %s runs under slot %v, which does not list it", j.Spec.ID, j.Slot)
		}
	}
	return nil
}

// checkReclaimable checks that the accelerators of all bindings can be reclaimed by stopping jobs that may be stopped:
// a job that is not repeatable may not run outside a guarantee.
func checkReclaimable(d scheduler.Dump, _ map[string]scheduler.DumpedWorker, _ map[string]scheduler.Job) error {
	for _, j := range d.Jobs {
		if usesAccelerators(j) && j.Phase != scheduler.PhaseStopping && j.Borrowed() && !j.Spec.Repeatable {
			return fmt.Errorf("job %s is not repeatable and runs outside a guarantee", j.Spec.ID)
		}
	}
	return nil
}

// checkGangs checks that all members of a gang are placed, in one cell, that it runs only if all members are armed, and
// that a job that was started does not end as not run.
func checkGangs(d scheduler.Dump, workers map[string]scheduler.DumpedWorker, _ map[string]scheduler.Job) error {
	for _, j := range d.Jobs {
		if j.End == scheduler.EndNotRun && j.EverStarted {
			return fmt.Errorf("job %s ended as not run, but was started", j.Spec.ID)
		}
		if j.Phase == scheduler.PhaseQueued || j.Phase == scheduler.PhaseEnded {
			if len(j.Placement) != 0 {
				return fmt.Errorf("job %s is %v, but has a placement", j.Spec.ID, j.Phase)
			}
			continue
		}
		cells := map[string]bool{}
		for _, p := range j.Placement {
			cells[workers[p.Worker].Worker.Cell(j.Spec.Demand.Within)] = true
		}
		if j.Placement.Members() != j.Spec.Demand.Members || len(cells) != 1 {
			return fmt.Errorf("job %s: %d of %d members placed, in %d cells", j.Spec.ID, j.Placement.Members(), j.Spec.Demand.Members, len(cells))
		}
		for _, p := range j.Placement {
			if j.Phase == scheduler.PhaseRunning && !j.ArmedOn(p.Worker) {
				return fmt.Errorf("job %s is running, but has members not armed on %s", j.Spec.ID, p.Worker)
			}
		}
	}
	return nil
}
