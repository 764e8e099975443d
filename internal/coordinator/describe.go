package coordinator

import (
	"context"

	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// MethodDescribe is the full name of the method that describes the system to an operator.
const MethodDescribe = "/" + serviceName + "/Describe"

// DescribeRequest asks for the state of the system.
type DescribeRequest struct {
	Jobs bool `cbor:"1,keyasint,omitempty"` // include every job
}

// QueueStatus is a queue with the number of its jobs in each phase.
type QueueStatus struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Priority int    `cbor:"2,keyasint" json:"priority"`
	Queued   int    `cbor:"3,keyasint" json:"queued"`
	Running  int    `cbor:"4,keyasint" json:"running"`
	Ended    int    `cbor:"5,keyasint" json:"ended"`
}

// WorkerStatus is a worker with the resources that its runs hold.
type WorkerStatus struct {
	Name     string            `cbor:"1,keyasint" json:"name"`
	Zone     string            `cbor:"2,keyasint" json:"zone"`
	Rack     string            `cbor:"3,keyasint" json:"rack"`
	Epoch    uint64            `cbor:"4,keyasint" json:"epoch"`
	State    string            `cbor:"5,keyasint" json:"state"` // usable, draining or gone
	Runs     int               `cbor:"6,keyasint" json:"runs"`
	Capacity modeler.Resources `cbor:"7,keyasint" json:"capacity"`
	Used     modeler.Resources `cbor:"8,keyasint" json:"used"`
}

// JobStatus is a job with the number of its tasks in each phase.
type JobStatus struct {
	ID        string            `cbor:"1,keyasint" json:"id"`
	Queue     string            `cbor:"2,keyasint" json:"queue"`
	Workspace string            `cbor:"3,keyasint" json:"workspace"`
	Phase     string            `cbor:"4,keyasint" json:"phase"`
	Waiting   int               `cbor:"5,keyasint" json:"waiting"`
	Assigned  int               `cbor:"6,keyasint" json:"assigned"`
	Done      int               `cbor:"7,keyasint" json:"done"`
	Failures  int               `cbor:"8,keyasint" json:"failures"` // highest number of any task
	Submitted timekeeper.Millis `cbor:"9,keyasint" json:"submitted"`
}

// DescribeResponse is the state of the system, confirmed by a quorum.
type DescribeResponse struct {
	locator.Reply `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Index         uint64         `cbor:"3,keyasint"` // of the last command applied
	Version       uint64         `cbor:"4,keyasint"` // of the configuration
	Members       []MemberStatus `cbor:"5,keyasint"`
	Queues        []QueueStatus  `cbor:"6,keyasint"`
	Workers       []WorkerStatus `cbor:"7,keyasint"`
	Jobs          []JobStatus    `cbor:"8,keyasint,omitempty"`
}

// MemberStatus is a control replica.
type MemberStatus struct {
	Address string `cbor:"1,keyasint" json:"address"`
	Voter   bool   `cbor:"2,keyasint" json:"voter"`
	Leader  bool   `cbor:"3,keyasint" json:"leader"`
}

func (c *Coordinator) describe(ctx context.Context, r *DescribeRequest) (*DescribeResponse, error) {
	if c.confirm(ctx) != nil {
		return &DescribeResponse{Reply: c.notLeader()}, nil
	}
	state, status := c.machine.State(), c.node.Status()
	d := &DescribeResponse{Reply: c.reply(), Term: status.Term, Index: state.Index, Version: state.Configuration.Version}
	for _, m := range status.Members.Members {
		d.Members = append(d.Members, MemberStatus{m.Address, m.Voter, m.ID == status.Leader})
	}
	for _, w := range state.Workers() {
		d.Workers = append(d.Workers, describeWorker(w))
	}
	queues := map[string]*QueueStatus{}
	for _, q := range state.Configuration.Queues {
		queues[q.Name] = &QueueStatus{Name: q.Name, Priority: q.Priority}
	}
	state.Jobs(func(j tracker.Job) {
		queues[j.Queue].count(j.Phase)
		if r.Jobs {
			d.Jobs = append(d.Jobs, describeJob(j))
		}
	})
	for _, q := range state.Configuration.Queues {
		d.Queues = append(d.Queues, *queues[q.Name])
	}
	return d, nil
}

// count adds a job in phase p. q is nil for a queue that the configuration no longer has.
func (q *QueueStatus) count(p tracker.JobPhase) {
	switch {
	case q == nil:
	case p.Ended():
		q.Ended++
	case p == tracker.JobRunning:
		q.Running++
	default:
		q.Queued++
	}
}

func describeWorker(w tracker.Worker) WorkerStatus {
	s := WorkerStatus{
		Name: w.Name, Zone: w.Profile.Zone, Rack: w.Profile.Rack(), Epoch: w.Epoch, State: "usable",
		Runs: len(w.Runs), Capacity: w.Profile.Capacity, Used: w.Used(),
	}
	if w.Draining {
		s.State = "draining"
	}
	if w.Detached {
		s.State = "gone"
	}
	return s
}

func describeJob(j tracker.Job) JobStatus {
	s := JobStatus{ID: string(j.ID), Queue: j.Queue, Workspace: j.Workspace, Phase: j.Phase.String(), Submitted: j.Submitted}
	for _, tasks := range j.Tasks {
		for _, t := range tasks {
			switch t.Phase {
			case tracker.TaskWaiting:
				s.Waiting++
			case tracker.TaskAssigned:
				s.Assigned++
			case tracker.TaskDone:
				s.Done++
			}
			s.Failures = max(s.Failures, t.Failures)
		}
	}
	return s
}
