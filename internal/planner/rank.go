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
	// rankExpired is added to the rank of a job that is worth nothing to its caller any more.
	rankExpired = 1000
)

const (
	// expiryObjectives is the number of objectives after which a finished job is worth nothing to its caller.
	expiryObjectives = 3
	// sizeDelayFactor puts large urgent jobs behind small ones that are due a little later: by so many times the time that
	// all workers together need for the job. One late job is better than several.
	sizeDelayFactor = 20
)

// candidate is an unfinished job with its place in the order.
type candidate struct {
	job           tracker.Job
	queue         modeler.Queue
	rank          int
	earliestStart timekeeper.Millis // when the job, or the first occurrence that is not done, might begin, since the Unix epoch
	deadline      timekeeper.Millis // when the objective passes, since the Unix epoch
	capacity      modeler.Resources // what all workers of the queue's service have together
	criticalPath  timekeeper.Millis // the job's longest chain of work
	orderTime     timekeeper.Millis // where it stands among those of its rank, lower ones first
}

// latestStart returns until when the job can begin and still be expected to meet its objective.
func (c *candidate) latestStart() timekeeper.Millis { return c.deadline - c.criticalPath }

// computeOrderTime returns where the job stands among those of its rank: when its objective passes, for urgent jobs with a delay by
// their size.
func (c *candidate) computeOrderTime() timekeeper.Millis {
	if c.queue.Priority > 0 {
		return c.deadline
	}
	return c.deadline + sizeDelayFactor*timekeeper.Millis(c.job.Work()/max(c.capacity.Weight(), 1))
}

// urgentLossWeight is how many times as much as that of other work the loss of urgent work counts: urgent work that is
// stopped is late.
const urgentLossWeight = 4

func (c *candidate) lossWeight() int {
	if c.queue.Priority == 0 {
		return urgentLossWeight
	}
	return 1
}

// rankJobs returns the unfinished jobs whose queue is known, in the order in which they are served: by rankJobs, then by
// turn.
func rankJobs(in Input) []*candidate {
	unfinished := in.State.Open()
	urgentNeed := urgentAccelerators(in.State.Configuration, unfinished)
	capacities := map[string]modeler.Resources{}
	ranked := make([]*candidate, 0, len(unfinished))
	for _, j := range unfinished {
		q, ok := in.State.Configuration.Queue(j.Queue)
		if !ok {
			continue
		}
		if _, known := capacities[q.Service]; !known {
			capacities[q.Service] = in.State.Room(q.Service)
		}
		j.Job = j.WithEstimates(in.State.Record(j.Queue).Estimate)
		c := &candidate{job: j, queue: q, capacity: capacities[q.Service], earliestStart: earliestStart(j)}
		c.criticalPath = j.Chain(c.capacity)
		c.deadline = c.earliestStart + q.Objective(c.criticalPath)
		c.orderTime = c.computeOrderTime()
		w, _ := in.State.Configuration.Workspace(j.Workspace)
		c.rank = c.rankAt(in.Now, urgentNeed[j.Workspace] <= w.Accelerators)
		ranked = append(ranked, c)
	}
	slices.SortStableFunc(ranked, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.orderTime, b.orderTime))
	})
	return ranked
}

// earliestStart returns when the first occurrence that is not done might begin.
func earliestStart(j tracker.Job) timekeeper.Millis {
	for instance := range j.Tasks {
		if !j.Done(instance) {
			return j.DueAt(j.Occurrence(instance))
		}
	}
	return j.Submitted
}

func (c *candidate) rankAt(now timekeeper.Millis, guaranteed bool) int {
	urgent := c.queue.Priority == 0
	objective := c.deadline - c.earliestStart
	missed := now > c.latestStart() && c.job.Phase == tracker.JobQueued
	switch {
	case urgent && guaranteed:
		return rankGuaranteed
	case urgent && missed:
		return rankOverdue
	case urgent:
		return rankUrgent
	case now > c.earliestStart+expiryObjectives*objective:
		return rankExpired + c.queue.Priority*rankBatch
	case missed:
		return c.queue.Priority*rankBatch + rankBatch/2
	}
	return c.queue.Priority * rankBatch
}

// urgentAccelerators returns what each workspace's unfinished urgent jobs need in all.
func urgentAccelerators(c modeler.Configuration, unfinished []tracker.Job) map[string]int {
	need := map[string]int{}
	for _, j := range unfinished {
		if q, ok := c.Queue(j.Queue); ok && q.Priority == 0 {
			need[j.Workspace] += j.Accelerators()
		}
	}
	return need
}
