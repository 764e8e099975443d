package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// The ranks of jobs, lowest first. Jobs of priority 0 are urgent. A job of priority p > 0 is batch work and has the
// rank p*rankBatch, or p*rankBatch + rankBatch/2 once it can no longer meet its objective.
const (
	rankGuaranteed = 0 // urgent, and the guarantee of the workspace covers all its urgent jobs
	rankUrgent     = 1 // urgent beyond the guarantee
	rankOverdue    = 2 // urgent, and can no longer meet its objective
	rankBatch      = 10
	// rankExpired is added to the rank of a batch job whose result has no value any more.
	rankExpired = 1000
)

const (
	// expiryObjectives is the time after which the result of a job has no value, in multiples of its objective.
	expiryObjectives = 3
	// sizeDelayFactor orders large urgent jobs behind small ones with a slightly later deadline, since one late job is
	// better than several. The delay is this many times the time that all workers together need for the job.
	sizeDelayFactor = 20
)

// candidate is an unfinished job with the values that it is ordered by.
type candidate struct {
	job           tracker.Job
	queue         modeler.Queue
	rank          int
	earliestStart timekeeper.Millis // of the first occurrence that is not done, since the Unix epoch
	deadline      timekeeper.Millis // when the objective ends, since the Unix epoch
	capacity      modeler.Resources // total of all workers of the queue's service
	criticalPath  timekeeper.Millis // time of the longest chain of dependent steps
	orderTime     timekeeper.Millis // order among jobs of the same rank, lowest first
	started       bool              // this plan starts a task of the job
}

// latestStart returns the latest time at which the job can start and still meet its objective, by estimate.
func (c *candidate) latestStart() timekeeper.Millis { return c.deadline - c.criticalPath }

// computeOrderTime returns the deadline, and for urgent jobs adds a delay that grows with the job's size.
func (c *candidate) computeOrderTime() timekeeper.Millis {
	if c.queue.Priority > 0 {
		return c.deadline
	}
	return c.deadline + sizeDelayFactor*timekeeper.Millis(c.job.Work()/max(c.capacity.Weight(), 1))
}

// urgentLossWeight is the weight of lost urgent work, where other work has 1: an urgent job that is stopped ends late.
const urgentLossWeight = 4

func (c *candidate) lossWeight() int {
	if c.queue.Priority == 0 {
		return urgentLossWeight
	}
	return 1
}

// rankJobs returns the unfinished jobs whose queue is known, ordered by rank and then by order time, and the other
// unfinished jobs.
func rankJobs(in Input) (ranked []*candidate, unrouted []tracker.Job) {
	unfinished := in.State.UnfinishedJobs()
	urgentNeed := urgentAccelerators(in.State, unfinished)
	capacities := map[string]modeler.Resources{}
	ranked = make([]*candidate, 0, len(unfinished))
	for _, j := range unfinished {
		q, ok := in.State.Queue(j.Queue)
		if !ok {
			unrouted = append(unrouted, j)
			continue
		}
		if _, known := capacities[q.Service]; !known {
			capacities[q.Service] = in.State.TotalCapacity(q.Service)
		}
		j.Job = j.WithEstimates(in.State.RunTimes(j.Queue).Estimate)
		c := &candidate{job: j, queue: q, capacity: capacities[q.Service], earliestStart: earliestStart(j)}
		c.criticalPath = j.CriticalPath(c.capacity)
		c.deadline = c.earliestStart + q.Objective(c.criticalPath)
		c.orderTime = c.computeOrderTime()
		w, _ := in.State.Configuration.Workspace(j.Workspace)
		c.rank = c.computeRank(in.Now, urgentNeed[j.Workspace] <= w.Accelerators)
		ranked = append(ranked, c)
	}
	slices.SortStableFunc(ranked, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.orderTime, b.orderTime))
	})
	return ranked, unrouted
}

// earliestStart returns when the first occurrence that is not done is due.
func earliestStart(j tracker.Job) timekeeper.Millis {
	for instance := range j.Tasks {
		if !j.InstanceDone(instance) {
			return j.DueAt(j.Occurrence(instance))
		}
	}
	return j.Submitted
}

func (c *candidate) computeRank(now timekeeper.Millis, guaranteed bool) int {
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

// urgentAccelerators returns, by workspace, the accelerators that its unfinished urgent jobs need together.
func urgentAccelerators(s tracker.State, unfinished []tracker.Job) map[string]int {
	need := map[string]int{}
	for _, j := range unfinished {
		if q, ok := s.Queue(j.Queue); ok && q.Priority == 0 {
			need[j.Workspace] += j.Accelerators()
		}
	}
	return need
}
