package executor

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	simTick     timekeeper.Millis = 50
	simTaskTime timekeeper.Millis = 700 // work of each task, once all members of its gang are present
	simStopTime timekeeper.Millis = 200 // how long a stop takes
	simGangWait timekeeper.Millis = 1500
	simMaxLease timekeeper.Millis = 2100
	simPageSize                   = 4 // ends in one listing
)

// simRun is a run on a simRunner.
type simRun struct {
	startedAt timekeeper.Millis
	work      timekeeper.Millis // done so far
	stopAt    timekeeper.Millis // when a stop takes effect; zero if none was requested
}

// simRunner models one incarnation of a runner in simulated time, as the platform specifies it. It is a Runner; faults
// are in the client (see simClient).
type simRunner struct {
	incarnation tracker.Incarnation
	clock       timekeeper.Millis
	epoch       uint64
	leaseEnd    timekeeper.Millis
	running     map[tracker.RunKey]*simRun
	highest     map[tracker.TaskKey]int // last attempt that ended or was stopped
	ends        []tracker.End           // not acknowledged
	endCount    int
}

func newSimRunner(incarnation tracker.Incarnation) *simRunner {
	return &simRunner{incarnation: incarnation, running: map[tracker.RunKey]*simRun{}, highest: map[tracker.TaskKey]int{}}
}

func (r *simRunner) start(o StartRequest) Verdict {
	if o.Epoch < r.epoch {
		return VerdictFenced
	}
	r.epoch = o.Epoch
	r.extendLease(o.LeaseEnd)
	switch {
	case r.running[o.Run] != nil:
		return VerdictDone
	case o.Run.Attempt <= r.highest[o.Run.Task]:
		return VerdictStale
	case o.LeaseEnd <= r.clock:
		return VerdictLeaseExpired
	case len(r.running) >= simCapacity:
		return VerdictNoCapacity
	}
	r.running[o.Run] = &simRun{startedAt: r.clock}
	return VerdictDone
}

// extendLease extends the lease, at most to simMaxLease from now.
func (r *simRunner) extendLease(end timekeeper.Millis) {
	r.leaseEnd = max(r.leaseEnd, min(end, r.clock+simMaxLease))
}

func (r *simRunner) stop(run tracker.RunKey, epoch uint64) Verdict {
	if epoch < r.epoch {
		return VerdictFenced
	}
	r.epoch = epoch
	r.highest[run.Task] = max(r.highest[run.Task], run.Attempt)
	if running := r.running[run]; running != nil && running.stopAt == 0 {
		running.stopAt = r.clock + simStopTime
	}
	return VerdictDone
}

// renew carries out the part of a poll that happens on arrival; listing returns the rest once the poll is answered.
func (r *simRunner) renew(o PollRequest) Verdict {
	if o.Epoch < r.epoch {
		return VerdictFenced
	}
	r.epoch = o.Epoch
	r.extendLease(o.LeaseEnd)
	r.ends = slices.DeleteFunc(r.ends, func(e tracker.End) bool { return e.Number <= o.Acknowledged })
	return VerdictDone
}

func (r *simRunner) listing() Listing {
	l := Listing{Incarnation: r.incarnation, Clock: r.clock, Finished: slices.Clone(r.ends[:min(len(r.ends), simPageSize)]), Partial: len(r.ends) >= simPageSize}
	for _, key := range r.keys() {
		l.Running = append(l.Running, RunStatus{Run: key})
	}
	return l
}

// keys returns the runs in a fixed order.
func (r *simRunner) keys() []tracker.RunKey {
	keys := make([]tracker.RunKey, 0, len(r.running))
	for key := range r.running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareRuns)
	return keys
}

func compareRuns(a, b tracker.RunKey) int {
	return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

func (r *simRunner) end(key tracker.RunKey, kind tracker.EndKind) {
	delete(r.running, key)
	r.highest[key.Task] = max(r.highest[key.Task], key.Attempt)
	r.endCount++
	r.ends = append(r.ends, tracker.End{Number: r.endCount, Run: key, Kind: kind})
}

// simClient is the agent's client of the runner that is current when a request is sent. Each request consumes
// fate, which the simulation sets before.
type simClient struct {
	sim         *simulation
	worker      *simWorker
	incarnation tracker.Incarnation // that the requests are meant for
	fate        fate
}

// fate is what becomes of a request.
type fate int

const (
	fateDelivered   fate = iota
	fateLost             // neither carried out nor answered
	fateUnanswered       // carried out but not answered
	fateLate             // not answered, and carried out some time later
	fateUnavailable      // refused by an unhealthy runner
)

var errNoAnswer = errors.New("no answer")

// deliver carries out a request as fate says.
func (c *simClient) deliver(carryOut func(*simRunner) Verdict) (Verdict, error) {
	receiver := c.worker.runner // the process that has the connection: a late request ends with it
	execute := func() Verdict {
		if receiver.incarnation != c.incarnation || receiver != c.worker.runner {
			return VerdictWrongRunner
		}
		return carryOut(receiver)
	}
	switch c.fate {
	case fateLost:
		return 0, errNoAnswer
	case fateUnanswered:
		execute()
		return 0, errNoAnswer
	case fateLate:
		c.sim.late = append(c.sim.late, execute)
		return 0, errNoAnswer
	case fateUnavailable:
		return VerdictUnavailable, nil
	}
	return execute(), nil
}

func (c *simClient) Start(_ context.Context, o StartRequest) (Verdict, error) {
	return c.deliver(func(r *simRunner) Verdict { return r.start(o) })
}

func (c *simClient) Stop(_ context.Context, run tracker.RunKey, epoch uint64) (Verdict, error) {
	return c.deliver(func(r *simRunner) Verdict { return r.stop(run, epoch) })
}

// Poll is not used: the simulation carries polls out in two parts.
func (c *simClient) Poll(context.Context, PollRequest) (Listing, Verdict, error) {
	return Listing{}, 0, errors.ErrUnsupported
}
