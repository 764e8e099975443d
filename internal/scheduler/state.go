package scheduler

import (
	"cmp"
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// maxEndedJobs is the number of ended jobs whose results are kept.
const maxEndedJobs = 20_000

// State is the complete state of the scheduler. It is immutable; steps share what they do not change.
//
// Invariants after every step: on each worker, neither the accelerators bound to guaranteed shapes nor those in use
// exceed the worker's own; a job under a guarantee lies inside its slot's binding, and slots do not overlap; a gang
// holds all its accelerators or none.
type State struct {
	now          timekeeper.Millis
	policy       Policy
	cells        placer.Cells
	jobs         *immutable.Map[string, *Job]
	queue        *immutable.SortedMap[queueKey, struct{}]
	waiting      *immutable.SortedMap[string, struct{}] // jobs in PhaseWaiting
	jobsByWorker *immutable.Map[string, []string]       // IDs of the jobs placed on each worker
	slots        *immutable.SortedMap[SlotKey, Slot]
	accounts     *immutable.SortedMap[string, *account]
	health       *immutable.SortedMap[string, health] // workers with failures, a drain or a quarantine
	timers       *immutable.SortedMap[timerKey, struct{}]
	ended        *immutable.SortedMap[endedKey, struct{}]
}

// health records the failures of a worker and why it may not be used.
type health struct {
	FailedJobs  []string // distinct jobs, or refused attempts, that failed on it in a row
	Quarantined bool
	Drained     bool
	Lost        bool
}

func (h health) usable() bool { return !h.Quarantined && !h.Drained && !h.Lost }

type queueKey struct {
	class     Class
	workspace string
	rank      int
	enqueued  timekeeper.Millis
	job       string
}

type queueOrder struct{}

func (queueOrder) Compare(a, b queueKey) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		strings.Compare(a.workspace, b.workspace),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.enqueued, b.enqueued),
		strings.Compare(a.job, b.job),
	)
}

type timerKind uint8

const (
	timerArm timerKind = iota
	timerReview
	timerPreempt
	timerQuarantine
)

type timerKey struct {
	At      timekeeper.Millis
	Kind    timerKind
	ID      string // job or worker ID
	Attempt int
}

type timerOrder struct{}

func (timerOrder) Compare(a, b timerKey) int {
	return cmp.Or(
		cmp.Compare(a.At, b.At),
		cmp.Compare(a.Kind, b.Kind),
		strings.Compare(a.ID, b.ID),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

type endedKey struct {
	at  timekeeper.Millis
	job string
}

type endedOrder struct{}

func (endedOrder) Compare(a, b endedKey) int {
	return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.job, b.job))
}

// NewState returns a state under policy, without workers, workspaces or jobs.
func NewState(policy Policy) State {
	return State{
		policy:       policy,
		cells:        placer.NewCells(),
		jobs:         immutable.NewMap[string, *Job](nil),
		queue:        immutable.NewSortedMap[queueKey, struct{}](queueOrder{}),
		waiting:      immutable.NewSortedMap[string, struct{}](nil),
		jobsByWorker: immutable.NewMap[string, []string](nil),
		slots:        immutable.NewSortedMap[SlotKey, Slot](slotOrder{}),
		accounts:     immutable.NewSortedMap[string, *account](nil),
		health:       immutable.NewSortedMap[string, health](nil),
		timers:       immutable.NewSortedMap[timerKey, struct{}](timerOrder{}),
		ended:        immutable.NewSortedMap[endedKey, struct{}](endedOrder{}),
	}
}

// Now returns the time of the last step.
func (s State) Now() timekeeper.Millis { return s.now }

// Policy returns the policy in force.
func (s State) Policy() Policy { return s.policy }

// Cells returns the topology with its loads.
func (s State) Cells() placer.Cells { return s.cells }

// Job returns the job with the given ID if it is queued, placed or among the last maxEndedJobs that ended.
func (s State) Job(id string) (*Job, bool) { return s.jobs.Get(id) }

// JobsOn returns the jobs with members on worker that have not released their accelerators.
func (s State) JobsOn(worker string) []*Job {
	ids, _ := s.jobsByWorker.Get(worker)
	found := make([]*Job, 0, len(ids))
	for _, id := range ids {
		j, _ := s.jobs.Get(id)
		found = append(found, j)
	}
	return found
}

// Jobs calls visit with every known job, in no particular order, until visit returns false.
func (s State) Jobs(visit func(*Job) bool) {
	for it := s.jobs.Iterator(); !it.Done(); {
		if _, j, ok := it.Next(); ok && !visit(j) {
			return
		}
	}
}

// Queued returns the number of queued jobs.
func (s State) Queued() int { return s.queue.Len() }

// Slots calls visit with every slot, ordered by workspace and number.
func (s State) Slots(visit func(Slot)) {
	for it := s.slots.Iterator(); !it.Done(); {
		_, slot, _ := it.Next()
		visit(slot)
	}
}

// NextTimer returns the time of the earliest timer, or false if there is none.
func (s State) NextTimer() (timekeeper.Millis, bool) {
	it := s.timers.Iterator()
	it.First()
	if it.Done() {
		return 0, false
	}
	key, _, _ := it.Next()
	return key.At, true
}

// Share is the use of a workspace's guarantee. All amounts are accelerators.
type Share struct {
	Workspace   Workspace `json:"workspace"`
	Guaranteed  int       `json:"guaranteed"`
	InUse       int       `json:"guarantee-in-use"` // held or reserved by the workspace's jobs under its guarantee
	Reclaimable int       `json:"reclaimable"`      // bound to workers and not in use by the workspace
	Missing     int       `json:"short"`            // not bound to healthy workers
	Borrowed    int       `json:"borrowed"`         // held or reserved outside the guarantee
}

// Shares returns the share of every workspace, ordered by name.
func (s State) Shares() []Share {
	var shares []Share
	for it := s.accounts.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		shares = append(shares, s.share(a))
	}
	return shares
}

func (s State) share(a *account) Share {
	share := Share{
		Workspace:  a.Workspace,
		Guaranteed: a.Workspace.Accelerators(),
		InUse:      a.Running - a.Borrowed,
		Borrowed:   a.Borrowed,
	}
	s.slotsOf(a.Workspace.Name, func(slot Slot) bool {
		share.Missing += slot.MissingMembers() * slot.Demand.Accelerators
		return true
	})
	share.Reclaimable = max(0, share.Guaranteed-share.Missing-share.InUse)
	return share
}

// Workspace returns the workspace of the given name.
func (s State) Workspace(name string) (Workspace, bool) {
	a, ok := s.accounts.Get(name)
	if !ok {
		return Workspace{}, false
	}
	return a.Workspace, true
}

func (s State) slotsOf(workspace string, visit func(Slot) bool) {
	it := s.slots.Iterator()
	it.Seek(SlotKey{Workspace: workspace})
	for !it.Done() {
		key, slot, _ := it.Next()
		if key.Workspace != workspace || !visit(slot) {
			return
		}
	}
}

// QueuedJobs calls visit with every queued job, in queue order.
func (s State) QueuedJobs(visit func(*Job)) {
	for it := s.queue.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		j, _ := s.jobs.Get(key.job)
		visit(j)
	}
}

// Quarantined returns the quarantined workers, ordered by ID.
func (s State) Quarantined() []string {
	var found []string
	for it := s.health.Iterator(); !it.Done(); {
		if worker, h, _ := it.Next(); h.Quarantined {
			found = append(found, worker)
		}
	}
	return found
}

// WaitingJobs calls visit with every placed job that waits for its accelerators.
func (s State) WaitingJobs(visit func(*Job)) {
	for it := s.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		j, _ := s.jobs.Get(id)
		visit(j)
	}
}
