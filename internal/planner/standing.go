package planner

import (
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// StandingLimit is how long a job may stand beside room: have nothing running while there is room for its next demand twice
// over. It leaves more than a second of the users' three for the start.
const StandingLimit timekeeper.Millis = 1800

// maxRoomScans bounds the needs for which one plan counts the room on all workers, and so the time of the plan.
const maxRoomScans = 512

// placeStanding places a demand of a job that has stood beside room for StandingLimit on any free resources that are not
// reserved firmly: reserved ones, the headroom, and those of workers in doubt. Firm reservations hold, so that a wide gang
// starts at last and no run is stopped in vain. A gang that requires one rack is spread if no rack has room for it.
func (b *planBuilder) placeStanding(d demand) (placement, bool) {
	if b.in.Standing[d.job.ID] < StandingLimit || !b.stillHasRoomTwice(d) {
		return nil, false
	}
	for _, pool := range b.eligiblePools(d) {
		if p, ok := placeIn(d, d.domainsOf(pool), freeForStanding); ok {
			return p, true
		}
	}
	return placeIn(d, [][]*workerState{b.allEligible(d).workers}, freeForStanding)
}

// freeForStanding is a resourceView: all free resources but those that are reserved firmly.
func freeForStanding(w *workerState) modeler.Resources {
	free := w.free
	for _, h := range w.held {
		if !h.firm {
			free = free.Plus(h.room)
		}
	}
	return free
}

// stillHasRoomTwice reports whether the starts of this plan have left room for a demand twice over.
func (b *planBuilder) stillHasRoomTwice(d demand) bool {
	key, cacheable := newFitKey(d)
	if cacheable && b.roomTaken[key] {
		return false
	}
	if hasRoomOn(d, 2*len(d.tasks), b.allEligible(d).workers) {
		return true
	}
	if cacheable {
		b.roomTaken[key] = true
	}
	return false
}

// standsBesideRoom reports whether there is room for a demand twice over though nothing of its job runs or is being
// stopped, or though it is a long-running task.
func (b *planBuilder) standsBesideRoom(d demand) bool {
	running, stopping := b.activity(&d.job)
	return (d.step.LongRunning || !running && stopping.worker == "") && b.hasRoomTwice(d)
}

// roomKey holds all that decides how many tasks of a step fit on the workers as they are.
type roomKey struct {
	pool         poolKey
	need         modeler.Resources
	maxPerWorker int
}

// hasRoomTwice reports whether the workers as they were before the plan have room for a demand twice over, in any racks.
// It reports false for a demand beyond maxRoomScans.
func (b *planBuilder) hasRoomTwice(d demand) bool {
	key := roomKey{poolKey{d.queue.Service, d.step.Label}, d.step.Need, d.step.MaxPerWorker}
	wanted := 2 * len(d.tasks)
	if fits, known := b.room[key]; known {
		return fits >= wanted
	}
	if b.smallerNeedLacksRoom(key, wanted) || len(b.room) >= maxRoomScans {
		return false
	}
	fits := b.countRoom(key)
	b.room[key] = fits
	if fits < wanted {
		b.lacking = append(b.lacking, lackingNeed{key, fits})
	}
	return fits >= wanted
}

// lackingNeed is a need that was counted and fits less often than it was wanted.
type lackingNeed struct {
	roomKey
	fits int
}

// smallerNeedLacksRoom reports whether a need that was counted, and is no larger, fits less often than wanted.
func (b *planBuilder) smallerNeedLacksRoom(key roomKey, wanted int) bool {
	for i := range b.lacking {
		l := &b.lacking[i]
		if l.fits < wanted && l.need.Fits(key.need) && l.maxPerWorker == key.maxPerWorker && l.pool == key.pool {
			return true
		}
	}
	return false
}

func (b *planBuilder) countRoom(key roomKey) int {
	limit := maxTasksPerWorker
	if key.maxPerWorker > 0 {
		limit = key.maxPerWorker
	}
	fits := 0
	for _, free := range b.idleOf(key.pool) {
		fits += key.need.FitCount(free, limit)
	}
	return fits
}

// idleOf returns what each worker of a pool had free before the plan.
func (b *planBuilder) idleOf(pool poolKey) []modeler.Resources {
	if idle, known := b.idle[pool]; known {
		return idle
	}
	workers := b.poolsOf(pool).all().workers
	idle := make([]modeler.Resources, 0, len(workers))
	for _, w := range workers {
		idle = append(idle, w.info.Free())
	}
	b.idle[pool] = idle
	return idle
}

// maxTasksPerWorker bounds the count of tasks that need next to nothing.
const maxTasksPerWorker = 10_000
