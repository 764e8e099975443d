package planner

// idleServiceDivisor sets the share of a service from which it counts as mostly idle: while less than
// 1/idleServiceDivisor of it is in use.
const idleServiceDivisor = 2

// mayOvertake reports whether a demand may use headroom, free resources that are reserved for jobs before it, but for firm
// reservations, and workers that its tasks would else keep clear of. It may if nothing of its job ran before this plan and
// its service is mostly idle: a job that waits then lacks room in a few places only, and those behind it must not stand
// beside idle workers. Long-running tasks may on any service.
func (b *planBuilder) mayOvertake(d demand) bool {
	if d.step.LongRunning {
		return true
	}
	if d.planned > 0 || b.inUse[d.queue.Service]*idleServiceDivisor >= d.capacity.Weight() {
		return false
	}
	running, _ := b.activity(&d.job)
	return !running
}

// placeOvertaking places a demand on the first pool that has room for it. A task that has failed is not placed on avoided
// workers, since another failure may be the job's last.
func (b *planBuilder) placeOvertaking(d demand) (placement, bool) {
	key, cacheable := newFitKey(d)
	if cacheable && b.overtakingFailed[key] {
		return nil, false
	}
	for _, domains := range b.overtakingDomains(d) {
		if p, ok := placeIn(d, domains, overtakingFree); ok {
			return p, true
		}
	}
	if cacheable {
		b.overtakingFailed[key] = true
	}
	return nil, false
}

// overtakingDomains returns the domains of each pool that a demand may use when it overtakes, in order of preference. A
// gang that requires one rack keeps to it if any rack could hold it.
func (b *planBuilder) overtakingDomains(d demand) [][][]*workerState {
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
