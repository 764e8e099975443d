package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// reservedShare bounds the workers that are kept for waiting batch work at once, as one in so many. Kept workers stand
// partly idle until their runs end.
const reservedShare = 2

// reserve keeps the workers that will first have room for a demand for which nothing is stopped, so that smaller work
// behind it does not take every piece that gets free: a task that needs a whole worker, or a gang that needs a rack,
// would else never begin on a busy day.
func (b *board) reserve(d demand) {
	batch := d.rank >= rankBatch
	if d.rank >= rankWorthless || batch && b.reserved >= b.mostReserved() || !b.maySearch() {
		return
	}
	p := b.soonest(d)
	if p == nil {
		return
	}
	b.promise(p)
	if !batch {
		return
	}
	seen := map[*room]bool{}
	for _, s := range p {
		if !seen[s.room] {
			seen[s.room] = true
			b.reserved++
		}
	}
}

func (b *board) mostReserved() int { return max(len(b.rooms)/reservedShare, 1) }

// soonest finds the place that has room first if nothing else begins there; nil if there is none.
func (b *board) soonest(d demand) placement {
	var best placement
	bestAt := timekeeper.Millis(0)
	for _, group := range b.candidateSets(d) {
		p, at := soonestIn(d, group)
		if p != nil && (best == nil || at < bestAt) {
			best, bestAt = p, at
		}
	}
	return best
}

// soonestIn places each task where it fits first, and returns when the last one does.
func soonestIn(d demand, rooms []*room) (placement, timekeeper.Millis) {
	need := d.step.Need
	placed := map[*room]int{}
	var p placement
	latest := timekeeper.Millis(0)
	for range d.tasks {
		var best *room
		bestAt := timekeeper.Millis(0)
		for _, r := range rooms {
			if limit := d.step.MaxPerWorker; limit > 0 && placed[r] >= limit {
				continue
			}
			at, ok := r.fitsAt(need.Times(placed[r] + 1))
			if ok && (best == nil || at < bestAt) {
				best, bestAt = r, at
			}
		}
		if best == nil {
			return nil, 0
		}
		placed[best]++
		p = append(p, spot{best, need, d.group()})
		latest = max(latest, bestAt)
	}
	return p, latest
}

// ending is the expected end of a run, with what that frees.
type ending struct {
	at   timekeeper.Millis // from now on
	need modeler.Resources
}

// fitsAt estimates how long it takes until an amount fits into a room, if nothing else begins there.
func (r *room) fitsAt(need modeler.Resources) (timekeeper.Millis, bool) {
	left := r.soon
	if need.Fits(left) {
		return 0, true
	}
	if !need.Fits(r.worker.Profile.Capacity) {
		return 0, false
	}
	for _, e := range r.ends() {
		left = left.Plus(e.need)
		if need.Fits(left) {
			return e.at, true
		}
	}
	return 0, false
}

// ends returns the expected ends of the room's runs, the first one first.
func (r *room) ends() []ending {
	if r.endings != nil {
		return r.endings
	}
	r.endings = make([]ending, 0, len(r.runs))
	for _, run := range r.runs {
		if !run.fixed {
			r.endings = append(r.endings, ending{run.left, run.run.Need})
		}
	}
	slices.SortFunc(r.endings, func(x, y ending) int { return cmp.Compare(x.at, y.at) })
	return r.endings
}
