package planner

// idleServiceDivisor sets the share of a service from which it counts as mostly idle: while less than
// 1/idleServiceDivisor of it is in use.
const idleServiceDivisor = 2

// mayBackfill reports whether a demand may backfill: use headroom, room that is reserved for jobs before it unless the
// reservation is firm, and workers that its tasks would else keep clear of. It may if its service is mostly idle: a job
// that waits then lacks room in a few places only, and those behind it must not stand beside idle workers. Long-running
// tasks may on any service.
func (b *planBuilder) mayBackfill(d demand) bool {
	return d.step.LongRunning || b.inUse[d.queue.Service]*idleServiceDivisor < d.capacity.Weight()
}

// mayOvertake reports whether a demand may use room that is kept for others: nothing of its job runs or is started by
// this plan, or it is a long-running task.
func (b *planBuilder) mayOvertake(d demand) bool {
	if d.step.LongRunning {
		return true
	}
	if d.planned > 0 || d.started {
		return false
	}
	running, _ := b.activity(&d.job)
	return !running
}

// placeBackfill places a demand on the first pool that has room for it. A task that has failed is not placed on avoided
// workers, since another failure may be the job's last.
func (b *planBuilder) placeBackfill(d demand) (placement, bool) {
	key, cacheable := newFitKey(d)
	if cacheable && b.backfillFailed[key] {
		return nil, false
	}
	for _, domains := range b.backfillDomains(d) {
		if p, ok := placeIn(d, domains, backfillFree); ok {
			return p, true
		}
	}
	if cacheable {
		b.backfillFailed[key] = true
	}
	return nil, false
}

// backfillDomains returns the domains of each pool that a demand may use for backfill, in order of preference. A
// gang that requires one rack keeps to it if any rack could hold it in time.
func (b *planBuilder) backfillDomains(d demand) [][][]*workerState {
	pools := b.eligiblePools(d)
	all := pools[len(pools)-1]
	if d.hasFailed() {
		pools = pools[:len(pools)-1]
	}
	oneRack := d.step.Gang && d.step.OneRack && anyRackFits(d, all.racks)
	list := make([][][]*workerState, 0, len(pools))
	for _, pool := range pools {
		if oneRack {
			list = append(list, pool.racks)
			continue
		}
		list = append(list, [][]*workerState{pool.workers})
	}
	return list
}
