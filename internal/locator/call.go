package locator

import (
	"context"
	"errors"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// ErrUnavailable reports that no leader answered in time. The call may have been carried out.
var ErrUnavailable = errors.New("no control replica that leads can be reached")

const (
	// AttemptTimeout bounds one attempt of a call: several round trips and disk syncs, and short against the callers'
	// timeouts.
	AttemptTimeout = 600 * time.Millisecond
	// probeTimeout bounds the probe of a replica: a round trip under load.
	probeTimeout = 250 * time.Millisecond
	// probeAfter is the time since the leader's last answer after which it is probed.
	probeAfter timekeeper.Millis = 50
	// minSearchTime is the shortest time for which a call looks for a leader.
	minSearchTime = 250 * time.Millisecond
	// retryDelay is the pause after an attempt, a fraction of an election.
	retryDelay = 40 * time.Millisecond
)

// Limits bound a call in addition to its context. A zero field changes nothing.
type Limits struct {
	ExtraTimeout  time.Duration // added to the timeout of each attempt, for calls that the leader answers late on purpose
	SearchTimeout time.Duration // ends the search this long after the leader was lost, if no replica can have received the call
	ProbeLeader   bool          // probes a replica that has not just answered, and sends the call only if it leads
}

// CallError reports that no leader answered in time.
type CallError struct {
	Sent  bool // a replica may have received the call, which then may be carried out, now or later
	Cause error
}

// Error implements the error interface.
func (e *CallError) Error() string { return ErrUnavailable.Error() + ": " + e.Cause.Error() }

// Unwrap returns ErrUnavailable and the cause.
func (e *CallError) Unwrap() []error { return []error{ErrUnavailable, e.Cause} }

// Resendable is a request that tells the leader whether an earlier attempt of the same call may have reached a replica.
// The leader must not refuse such a call, since the earlier attempt may be carried out.
type Resendable interface {
	// MarkResent notes that an earlier attempt may have reached a replica.
	MarkResent()
}

// errUndecided is the cause of a call that the leader can neither accept nor refuse.
var errUndecided = errors.New("an earlier attempt may have been taken, and another one would be refused")

// Call calls a method of the leader and retries until a leader answers. It returns a CallError if ctx ends or a limit
// is reached before that, or if the leader says that the outcome of an earlier attempt cannot be told.
func Call[Req any, Resp Response](ctx context.Context, l *Locator, method string, limits Limits, r *Req) (Resp, error) {
	failed := &CallError{}
	started := l.clock.Now()
	for {
		resp, err := attempt[Req, Resp](ctx, l, method, limits, r)
		if err == nil && !resp.ReplicaStatus().NotLeader {
			return resp, nil
		}
		failed.Cause = errors.Join(err, ctx.Err())
		failed.Sent = failed.Sent || err != nil && !messenger.Unsent(err) || err == nil && resp.ReplicaStatus().Uncertain
		if err == nil && resp.ReplicaStatus().Undecided {
			var zero Resp
			return zero, &CallError{Sent: true, Cause: errUndecided}
		}
		if resent, ok := any(r).(Resendable); ok && failed.Sent {
			resent.MarkResent()
		}
		timedOut := limits.SearchTimeout > 0 && !failed.Sent && l.searchTimedOut(started, timekeeper.FromDuration(limits.SearchTimeout))
		if timedOut || !waitToRetry(ctx) {
			var zero Resp
			l.logLoss()
			return zero, failed.withDefaultCause()
		}
	}
}

func (e *CallError) withDefaultCause() *CallError {
	if e.Cause == nil {
		e.Cause = errors.New("no replica that answered leads")
	}
	return e
}

// searchTimedOut reports whether a search should end: it has lasted for minSearchTime, and the leader has been lost for
// longer than span.
func (l *Locator) searchTimedOut(started, span timekeeper.Millis) bool {
	now := l.clock.Now()
	if now-started < timekeeper.FromDuration(minSearchTime) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lostSince > 0 && now-l.lostSince > span
}

// waitToRetry waits for retryDelay. It returns false if ctx ends first.
func waitToRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

func attempt[Req any, Resp Response](ctx context.Context, l *Locator, method string, limits Limits, r *Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, AttemptTimeout+limits.ExtraTimeout)
	defer cancel()
	var zero Resp
	address := l.target()
	c, err := l.acquire(address)
	if err != nil {
		l.recordFailure(address, nil, false)
		return zero, &messenger.UnsentError{Cause: err}
	}
	defer l.release(c)
	if limits.ProbeLeader && !l.LeaderAnsweredWithin(probeAfter) {
		if err := l.probe(ctx, address, c); err != nil {
			return zero, &messenger.UnsentError{Cause: err}
		}
	}
	resp, err := encoder.Call[Req, Resp](ctx, c.conn, method, r)
	if err != nil {
		l.recordFailure(address, c, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return zero, err
	}
	l.recordStatus(address, (*resp).ReplicaStatus())
	return *resp, nil
}

var errNotLeader = errors.New("the replica does not lead")

// probe asks a replica whether it leads. A call whose outcome must be known is sent only after such an answer.
// Otherwise a replica that is down or cut off would leave the outcome of every caller's first call unknown.
func (l *Locator) probe(ctx context.Context, address string, c *connection) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := encoder.Call[statusRequest, StatusResponse](ctx, c.conn, methodStatus, &statusRequest{})
	if err != nil {
		l.recordFailure(address, c, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return err
	}
	l.recordStatus(address, resp.ReplicaStatus())
	if resp.ReplicaStatus().NotLeader {
		return errNotLeader
	}
	return nil
}
