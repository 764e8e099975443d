package planner

import "github.com/lagoonmill/lagoonmill/internal/timekeeper"

const (
	// headroomDivisor sets the headroom to 1/headroomDivisor of a service's accelerators. Batch work with enough slack
	// leaves it idle, so that urgent work starts at once and preempts nothing.
	headroomDivisor = 8
	// minSlack is the time before its latest start from which a batch job may use the headroom: about one batch task.
	minSlack timekeeper.Millis = 6000
	// maxDeferral is the time after its earliest start from which a job may use the headroom and its reservation holds
	// against backfill, so that long jobs do not wait for hours beside idle accelerators. It is several times what the
	// users' jobs take, step after step.
	maxDeferral = 5 * timekeeper.Minute
)

// mustLeaveHeadroom reports whether a demand must not start now, even if it fits, since it is batch work that can wait
// and would use the headroom for urgent work.
func (b *planBuilder) mustLeaveHeadroom(d demand) bool {
	return b.mustLeave(d, b.idleAccelerators[d.queue.Service])
}

// mustLeave is mustLeaveHeadroom for a given number of idle accelerators of the service.
func (b *planBuilder) mustLeave(d demand, idle int) bool {
	if d.rank < rankBatch || d.step.LongRunning || b.in.Now > d.earliestStart+maxDeferral || d.latestStart()-b.in.Now < minSlack {
		return false
	}
	return idle-len(d.tasks)*d.step.Need.Accelerators < d.capacity.Accelerators/headroomDivisor
}
