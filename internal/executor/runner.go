package executor

import (
	"context"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// Announcement is what a runner says of itself.
type Announcement struct {
	Life     tracker.Life
	Sequence int // rises within a life
	Address  string
	Profile  tracker.Profile
	Draining bool
	Left     bool              // it ends now
	Leaving  timekeeper.Millis // what is left at least while it drains
	Clock    timekeeper.Millis // the runner's clock as it sent the announcement
}

// Verdict is what a runner did with an order.
type Verdict uint8

// The verdicts of runners.
const (
	VerdictDone      Verdict = iota + 1 // the order was carried out, now or before
	VerdictFenced                       // a higher fencing token was seen
	VerdictOld                          // the run, or a later one, has ended there or was stopped
	VerdictLate                         // the lease in the order has ended
	VerdictNoRoom                       // the runner has no room, or no valid ticket
	VerdictUnhealthy                    // nothing was done now
	VerdictOtherLife                    // the runner is not the one meant
	VerdictInvalid                      // the order cannot be read
)

// String returns the verdict as it stands in logs.
func (v Verdict) String() string {
	return [...]string{"none", "done", "fenced", "old", "late", "no room", "unhealthy", "other life", "invalid"}[v]
}

// StartOrder asks a runner to begin a run.
type StartOrder struct {
	Run        tracker.RunKey
	Payload    string
	Checkpoint string
	Lease      timekeeper.Millis // end, by the runner's clock
	Epoch      uint64
}

// Running is a run that a runner lists.
type Running struct {
	Run        tracker.RunKey
	Checkpoint string
	Percent    int
}

// Listing is what a runner answers to a hold.
type Listing struct {
	Life     tracker.Life
	Clock    timekeeper.Millis
	Running  []Running
	Finished []tracker.End
}

// HoldOrder renews the lease, forgets ends and asks for what is there.
type HoldOrder struct {
	Epoch     uint64
	Forgotten int               // number of the last end that may be forgotten
	Lease     timekeeper.Millis // end, by the runner's clock; zero renews nothing
	Wait      timekeeper.Millis // how long the answer may wait for an end
}

// Runner gives orders to the runner of one life. An error tells that there was no answer: the order may be carried
// out all the same, now or seconds later.
type Runner interface {
	Start(ctx context.Context, order StartOrder) (Verdict, error)
	Stop(ctx context.Context, run tracker.RunKey, epoch uint64) (Verdict, error)
	Hold(ctx context.Context, order HoldOrder) (Listing, Verdict, error)
}

// Dialer makes the client of a runner from its announcement.
type Dialer func(Announcement) Runner
