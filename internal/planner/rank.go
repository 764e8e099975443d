package planner

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// The ranks of jobs; a lower one goes first. Priorities beyond zero follow rankUrgent in steps of one.
const (
	rankGuaranteed = iota // urgent, and the workspace's guarantee covers all its urgent jobs
	rankUrgent            // urgent beyond the guarantee
	// rankLate is added to the rank of a job that cannot earn any more: it runs on what others leave.
	rankLate = 1000
)

// lateObjectives is the number of objectives after which a finished job is worth nothing to its caller.
const lateObjectives = 3

// candidate is an unfinished job with its place in the order.
type candidate struct {
	job   tracker.Job
	queue modeler.Queue
	rank  int
	due   timekeeper.Millis // when the objective passes, since the Unix epoch
}

// rank returns the unfinished jobs whose queue is known, in the order in which they are served.
func rank(in Input) []candidate {
	owed := urgentAccelerators(in.State)
	var ranked []candidate
	for _, j := range in.State.Open() {
		q, ok := in.State.Configuration.Queue(j.Queue)
		if !ok {
			continue
		}
		c := candidate{job: j, queue: q, rank: q.Priority + rankUrgent, due: j.Submitted + q.Objective(j.Job)}
		w, _ := in.State.Configuration.Workspace(j.Workspace)
		if q.Priority == 0 && owed[j.Workspace] <= w.Accelerators {
			c.rank = rankGuaranteed
		}
		if c.late(in.Now) && c.rank > rankUrgent {
			c.rank += rankLate
		}
		ranked = append(ranked, c)
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.due, b.due))
	})
	return ranked
}

// late reports whether too little time is left for the job to be worth anything.
func (c candidate) late(now timekeeper.Millis) bool {
	objective := c.due - c.job.Submitted
	return now > c.job.Submitted+lateObjectives*objective
}

// urgentAccelerators returns what each workspace's unfinished urgent jobs need in all.
func urgentAccelerators(s tracker.State) map[string]int {
	owed := map[string]int{}
	for _, j := range s.Open() {
		if q, ok := s.Configuration.Queue(j.Queue); ok && q.Priority == 0 {
			owed[j.Workspace] += j.Accelerators()
		}
	}
	return owed
}
