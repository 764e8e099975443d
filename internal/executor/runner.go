package executor

import (
	"context"
	"errors"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// Announcement is a runner's description of itself and its state.
type Announcement struct {
	Incarnation   tracker.Incarnation
	Sequence      int // increases within an incarnation
	Address       string
	Profile       tracker.Profile
	Draining      bool
	Deregistered  bool              // the runner is terminating
	DrainTimeLeft timekeeper.Millis // minimum time left while the runner drains
	Clock         timekeeper.Millis // the runner's clock when it sent the announcement
}

// Check returns an error if a field is out of range.
func (a Announcement) Check() error {
	if a.Sequence < 0 || a.Sequence > maxSequence {
		return errors.New("the sequence number is out of range")
	}
	return (tracker.Attach{Worker: a.Incarnation.ID, Incarnation: a.Incarnation, Profile: a.Profile}).Check()
}

// maxSequence is far above what a runner reaches, so that differences of sequence numbers do not overflow.
const maxSequence = 1 << 53

// disprovedBy reports whether a later announcement of the same incarnation shows that the runner has not terminated
// although it was deregistered. A runner that terminates drains before.
func (a Announcement) disprovedBy(later Announcement) bool {
	return a.Deregistered && !a.Draining && !later.Draining && later.Sequence > a.Sequence
}

// Verdict is the outcome of a request to a runner.
type Verdict uint8

// The outcomes of requests to a runner.
const (
	VerdictDone         Verdict = iota + 1 // the request was carried out, now or earlier
	VerdictFenced                          // the runner has seen a higher fencing token
	VerdictStale                           // this attempt of the task, or a later one, has ended or was stopped
	VerdictLeaseExpired                    // the lease in the request has expired
	VerdictNoCapacity                      // the runner lacks free resources or a valid ticket
	VerdictUnavailable                     // the runner did nothing; the request may succeed later
	VerdictWrongRunner                     // the request is meant for another runner
	VerdictInvalid                         // the request is malformed
)

// String returns the verdict as written to logs.
func (v Verdict) String() string {
	return [...]string{"none", "done", "fenced", "old", "late", "no room", "unhealthy", "other life", "invalid"}[v]
}

// StartRequest asks a runner to start a run. Epoch is the fencing token.
type StartRequest struct {
	Run        tracker.RunKey
	Payload    string
	Checkpoint string
	LeaseEnd   timekeeper.Millis // by the runner's clock
	Epoch      uint64
}

// RunStatus is the state of a run in a listing.
type RunStatus struct {
	Run        tracker.RunKey
	Checkpoint string
	Percent    int
}

// Listing is a runner's response to a poll: the runs that it executes, and the ends that it was not yet allowed to
// discard. A partial listing lacks ends; the runner lists them once those before them may be discarded.
type Listing struct {
	Incarnation tracker.Incarnation
	Clock       timekeeper.Millis
	Running     []RunStatus
	Finished    []tracker.End
	Partial     bool
}

// isOf reports whether an incarnation has made the listing. A listing without a start time is taken as one of the
// incarnation that was asked.
func (l Listing) isOf(i tracker.Incarnation) bool {
	return l.Incarnation.StartedAt == 0 || l.Incarnation.StartedAt == i.StartedAt
}

// PollRequest renews the lease, acknowledges ends and asks for a listing. Epoch is the fencing token.
type PollRequest struct {
	Epoch        uint64
	Acknowledged int               // number of the last end that the runner may discard
	LeaseEnd     timekeeper.Millis // by the runner's clock; zero does not renew the lease
	Wait         timekeeper.Millis // how long the runner may delay its response until a run ends
}

// ErrNotListening is the error of a request that the runner's machine refused, since nothing listens at the address: the
// runner's process has ended.
var ErrNotListening = errors.New("nothing listens at the runner's address")

// Runner sends requests to one incarnation of a runner, and to none that starts later under the same id. An error means
// that no response arrived: the runner may still carry out the request, at once or seconds later.
type Runner interface {
	Start(ctx context.Context, request StartRequest) (Verdict, error)
	Stop(ctx context.Context, run tracker.RunKey, epoch uint64) (Verdict, error)
	Poll(ctx context.Context, request PollRequest) (Listing, Verdict, error)
}

// Dialer returns a client of the runner that sent the announcement.
type Dialer func(Announcement) Runner
