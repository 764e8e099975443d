package planner

import "github.com/lagoonmill/lagoonmill/internal/timekeeper"

const (
	// headroomShare is the part of a service's accelerators, as one in so many, that batch work with time to spare
	// leaves free, so that urgent work begins at once and stops nobody.
	headroomShare = 8
	// timeToSpare is how long before its latest start a batch job takes any room there is: about one batch task.
	timeToSpare timekeeper.Millis = 6000
	// longestWait is how long after its submission a job leaves room at most, so that long jobs do not wait for hours
	// beside idle accelerators: several times what the steps of the users' jobs take one after the other.
	longestWait = 5 * timekeeper.Minute
)

// mustWait reports whether a demand may not begin now, although there may be room: batch work that can wait leaves some
// room to the urgent work that comes meanwhile.
func (b *board) mustWait(d demand) bool {
	if d.rank < rankBatch || d.step.LongRunning || b.in.Now > d.start+longestWait || d.latestStart()-b.in.Now < timeToSpare {
		return false
	}
	left := b.idle[d.queue.Service] - len(d.tasks)*d.step.Need.Accelerators
	return left < d.room.Accelerators/headroomShare
}
