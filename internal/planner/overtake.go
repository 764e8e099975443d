package planner

// idleServiceDivisor sets the share of a service from which it counts as mostly idle: while less than
// 1/idleServiceDivisor of it is in use.
const idleServiceDivisor = 2

// mayOvertake reports whether a demand may use free resources that are reserved for jobs before it or left as headroom.
// It may while nothing of its job runs and its service is mostly idle: a job that waits then lacks room in a few places
// only, and those behind it must not stand beside idle workers. Long-running tasks may at any time.
func (b *planBuilder) mayOvertake(d demand) bool {
	if d.step.LongRunning {
		return true
	}
	if d.planned > 0 || b.inUse[d.queue.Service]*idleServiceDivisor >= d.capacity.Weight() {
		return false
	}
	running, _ := b.activity(d.job)
	return !running
}

// placeOvertaking places a demand on free resources, reserved or not.
func (b *planBuilder) placeOvertaking(d demand) (placement, bool) {
	key, cacheable := newFitKey(d)
	if cacheable && b.overtakingFailed[key] {
		return nil, false
	}
	if p, ok := placeIn(d, b.placementDomains(d), overtakingFree); ok {
		return p, true
	}
	if cacheable {
		b.overtakingFailed[key] = true
	}
	return nil, false
}
