package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// The ranks of jobs; a lower one goes first. Jobs of a priority p beyond zero have the rank p times rankBatch, or half a
// step more once their objective cannot be met any more.
const (
	rankGuaranteed = 0 // urgent, and the workspace's guarantee covers all its urgent jobs
	rankUrgent     = 1 // urgent beyond the guarantee
	rankOverdue    = 2 // urgent, and too late for its objective
	rankBatch      = 10
	// rankWorthless is added to the rank of a job that is worth nothing to its caller any more.
	rankWorthless = 1000
)

const (
	// lateObjectives is the number of objectives after which a finished job is worth nothing to its caller.
	lateObjectives = 3
	// sizeDelay puts large urgent jobs behind small ones that are due a little later: by so many times the time that
	// all workers together need for the job. One late job is better than several.
	sizeDelay = 20
)

// candidate is an unfinished job with its place in the order.
type candidate struct {
	job   tracker.Job
	queue modeler.Queue
	rank  int
	start timekeeper.Millis // when the job, or the first occurrence that is not done, might begin, since the Unix epoch
	due   timekeeper.Millis // when the objective passes, since the Unix epoch
	room  modeler.Resources // what all workers of the queue's service have together
	chain timekeeper.Millis // the job's longest chain of work
	turn  timekeeper.Millis // where it stands among those of its rank, lower ones first
}

// latestStart returns until when the job can begin and still be expected to meet its objective.
func (c *candidate) latestStart() timekeeper.Millis { return c.due - c.chain }

// turnOf returns where the job stands among those of its rank: when its objective passes, for urgent jobs with a delay by
// their size.
func (c *candidate) turnOf() timekeeper.Millis {
	if c.queue.Priority > 0 {
		return c.due
	}
	return c.due + sizeDelay*timekeeper.Millis(c.job.Work()/max(c.room.Weight(), 1))
}

// urgentDearness is how many times as much as that of other work the loss of urgent work counts: urgent work that is
// stopped is late.
const urgentDearness = 4

func (c *candidate) dearness() int {
	if c.queue.Priority == 0 {
		return urgentDearness
	}
	return 1
}

// rank returns the unfinished jobs whose queue is known, in the order in which they are served: by rank, then by
// turn.
func rank(in Input) []*candidate {
	open := in.State.Open()
	owed := urgentAccelerators(in.State.Configuration, open)
	rooms := map[string]modeler.Resources{}
	ranked := make([]*candidate, 0, len(open))
	for _, j := range open {
		q, ok := in.State.Configuration.Queue(j.Queue)
		if !ok {
			continue
		}
		if _, known := rooms[q.Service]; !known {
			rooms[q.Service] = in.State.Room(q.Service)
		}
		j.Job = j.WithEstimates(in.State.Record(j.Queue).Estimate)
		c := &candidate{job: j, queue: q, room: rooms[q.Service], start: start(j)}
		c.chain = j.Chain(c.room)
		c.due = c.start + q.Objective(c.chain)
		c.turn = c.turnOf()
		w, _ := in.State.Configuration.Workspace(j.Workspace)
		c.rank = c.rankAt(in.Now, owed[j.Workspace] <= w.Accelerators)
		ranked = append(ranked, c)
	}
	slices.SortStableFunc(ranked, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.turn, b.turn))
	})
	return ranked
}

// start returns when the first occurrence that is not done might begin.
func start(j tracker.Job) timekeeper.Millis {
	for instance := range j.Tasks {
		if !j.Done(instance) {
			return j.DueAt(j.Occurrence(instance))
		}
	}
	return j.Submitted
}

func (c *candidate) rankAt(now timekeeper.Millis, guaranteed bool) int {
	urgent := c.queue.Priority == 0
	objective := c.due - c.start
	missed := now > c.latestStart() && c.job.Phase == tracker.JobQueued
	switch {
	case urgent && guaranteed:
		return rankGuaranteed
	case urgent && missed:
		return rankOverdue
	case urgent:
		return rankUrgent
	case now > c.start+lateObjectives*objective:
		return rankWorthless + c.queue.Priority*rankBatch
	case missed:
		return c.queue.Priority*rankBatch + rankBatch/2
	}
	return c.queue.Priority * rankBatch
}

// urgentAccelerators returns what each workspace's unfinished urgent jobs need in all.
func urgentAccelerators(c modeler.Configuration, open []tracker.Job) map[string]int {
	owed := map[string]int{}
	for _, j := range open {
		if q, ok := c.Queue(j.Queue); ok && q.Priority == 0 {
			owed[j.Workspace] += j.Accelerators()
		}
	}
	return owed
}
