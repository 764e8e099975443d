package planner

import "github.com/lagoonmill/lagoonmill/internal/timekeeper"

// reservedWorkersDivisor bounds the workers that are reserved for waiting batch work to 1/reservedWorkersDivisor of
// all. Reserved workers are partly idle until their runs end.
const reservedWorkersDivisor = 2

// reserveEarliest reserves the workers on which a demand that preempts nothing is expected to fit first. Without it,
// smaller tasks would take all resources as they are released, and starve a task that needs a whole worker or a gang
// that needs a rack. Once a job has waited for maxDeferral its reservation is firm, so that no job starves.
func (b *planBuilder) reserveEarliest(d demand) {
	batch := d.rank >= rankBatch
	if d.rank >= rankExpired || batch && b.reservedWorkers >= b.maxReservedWorkers() || !b.beginSearch() {
		return
	}
	p := b.earliestPlacement(d)
	if p == nil {
		return
	}
	if b.in.Now > d.earliestStart+maxDeferral {
		b.reserveFirmly(p)
	} else {
		b.reserve(p)
	}
	if !batch {
		return
	}
	seen := map[*workerState]bool{}
	for _, t := range p {
		if !seen[t.worker] {
			seen[t.worker] = true
			b.reservedWorkers++
		}
	}
}

func (b *planBuilder) maxReservedWorkers() int { return max(len(b.workers)/reservedWorkersDivisor, 1) }

// earliestPlacement returns the placement that is expected to fit first if nothing else starts there, or nil if there
// is none.
func (b *planBuilder) earliestPlacement(d demand) placement {
	var best placement
	bestAt := timekeeper.Millis(0)
	for _, domain := range b.placementDomains(d) {
		p, at := earliestPlacementOn(d, domain)
		if p != nil && (best == nil || at < bestAt) {
			best, bestAt = p, at
		}
	}
	return best
}

// earliestPlacementOn places each task on the worker where it is expected to fit first. It returns the time until the
// last one fits, or a nil placement if one never does.
func earliestPlacementOn(d demand, workers []*workerState) (placement, timekeeper.Millis) {
	need := d.step.Need
	placed := map[*workerState]int{}
	var p placement
	latest := timekeeper.Millis(0)
	for range d.tasks {
		var best *workerState
		bestAt := timekeeper.Millis(0)
		for _, w := range workers {
			if limit := d.step.MaxPerWorker; limit > 0 && placed[w] >= limit {
				continue
			}
			at, ok := w.earliestFit(need.Times(placed[w] + 1))
			if ok && (best == nil || at < bestAt) {
				best, bestAt = w, at
			}
		}
		if best == nil {
			return nil, 0
		}
		placed[best]++
		p = append(p, taskPlacement{best, need, d.group()})
		latest = max(latest, bestAt)
	}
	return p, latest
}
