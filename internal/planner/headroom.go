package planner

import "github.com/lagoonmill/lagoonmill/internal/timekeeper"

const (
	// headroomDivisor is the part of a service's accelerators, as one in so many, that batch work with time to spare
	// leaves free, so that urgent work begins at once and stops nobody.
	headroomDivisor = 8
	// minSlack is how long before its latest start a batch job takes any room there is: about one batch task.
	minSlack timekeeper.Millis = 6000
	// maxDeferral is how long after its submission a job leaves room at most, so that long jobs do not wait for hours
	// beside idle accelerators: several times what the steps of the users' jobs take one after the other.
	maxDeferral = 5 * timekeeper.Minute
)

// mustLeaveHeadroom reports whether a demand may not begin now, although there may be room: batch work that can wait leaves some
// room to the urgent work that comes meanwhile.
func (b *planBuilder) mustLeaveHeadroom(d demand) bool {
	if d.rank < rankBatch || d.step.LongRunning || b.in.Now > d.earliestStart+maxDeferral || d.latestStart()-b.in.Now < minSlack {
		return false
	}
	left := b.idleAccelerators[d.queue.Service] - len(d.tasks)*d.step.Need.Accelerators
	return left < d.capacity.Accelerators/headroomDivisor
}
