package locator

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// ErrUnavailable tells that no leader answered in time; the call may have been carried out.
var ErrUnavailable = errors.New("no control replica leads that can be reached")

const (
	// AttemptTimeout bounds one try of a call: some round trips and disk syncs, and short against the callers' patience.
	AttemptTimeout = 600 * time.Millisecond
	// probeTimeout bounds the question whether a replica is there: a round trip beside other load.
	probeTimeout = 250 * time.Millisecond
	// probeAfter is the time since the leader's last answer after which it is asked whether it is there.
	probeAfter timekeeper.Millis = 50
	// minSearchTime is how long a leader is looked for at least.
	minSearchTime = 250 * time.Millisecond
	// retryDelay is the pause after a try, a fraction of an election.
	retryDelay = 40 * time.Millisecond
)

// Limits bound a call beyond its context; a zero field sets no bound.
type Limits struct {
	Hold   time.Duration // how much longer than other calls this one may take, where the leader answers late on purpose
	Unsent time.Duration // how long after the leader was lost one is looked for, while no replica can have taken the call
	Greet  bool          // a replica that was not heard just now is asked whether it leads before it gets the call
}

// CallError tells that no leader answered in time.
type CallError struct {
	Sent  bool // a replica may have taken the call, so that it may have been or be carried out
	Cause error
}

// Error returns the text of the error.
func (e *CallError) Error() string { return ErrUnavailable.Error() + ": " + e.Cause.Error() }

// Unwrap returns ErrUnavailable and the cause.
func (e *CallError) Unwrap() []error { return []error{ErrUnavailable, e.Cause} }

// Call calls a method of the leader until one answers, ctx ends or a limit is reached; it then returns a CallError.
func Call[Req any, Resp Response](ctx context.Context, l *Locator, method string, limits Limits, r *Req) (Resp, error) {
	failed := &CallError{}
	began := l.clock.Now()
	for {
		resp, err := attempt[Req, Resp](ctx, l, method, limits, r)
		if err == nil && !resp.ReplicaStatus().NotLeader {
			return resp, nil
		}
		failed.Cause = errors.Join(err, ctx.Err())
		failed.Sent = failed.Sent || err != nil && !messenger.Unsent(err) || err == nil && resp.ReplicaStatus().Uncertain
		late := limits.Unsent > 0 && !failed.Sent && l.searchTimedOut(began, timekeeper.FromDuration(limits.Unsent))
		if late || !waitToRetry(ctx) {
			var none Resp
			l.logLoss()
			return none, failed.withDefaultCause()
		}
	}
}

func (e *CallError) withDefaultCause() *CallError {
	if e.Cause == nil {
		e.Cause = errors.New("the replicas that answer do not lead")
	}
	return e
}

// searchTimedOut reports whether a search that began at a time has gone on for long enough: the leader was lost a span ago.
func (l *Locator) searchTimedOut(began, span timekeeper.Millis) bool {
	now := l.clock.Now()
	if now-began < timekeeper.FromDuration(minSearchTime) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lostSince > 0 && now-l.lostSince > span
}

// waitToRetry waits before the next try; it returns false when ctx has ended.
func waitToRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

func attempt[Req any, Resp Response](ctx context.Context, l *Locator, method string, limits Limits, r *Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, AttemptTimeout+limits.Hold)
	defer cancel()
	var none Resp
	address := l.target()
	conn, err := l.conn(address)
	if err != nil {
		return none, err
	}
	if limits.Greet && !l.HeardWithin(probeAfter) {
		if err := l.probe(ctx, address, conn); err != nil {
			return none, &messenger.UnsentError{Cause: err}
		}
	}
	resp, err := encoder.Call[Req, Resp](ctx, conn, method, r)
	if err != nil {
		l.recordFailure(address, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return none, err
	}
	l.recordStatus(address, (*resp).ReplicaStatus())
	return *resp, nil
}

var errNotLeader = errors.New("the replica does not lead")

// probe asks a replica whether it leads. A call that must not be left undecided goes out only behind such an answer: a
// replica that is down or cut off would else leave every first call of every caller undecided.
func (l *Locator) probe(ctx context.Context, address string, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := encoder.Call[statusRequest, StatusResponse](ctx, conn, methodStatus, &statusRequest{})
	if err != nil {
		l.recordFailure(address, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return err
	}
	l.recordStatus(address, resp.ReplicaStatus())
	if resp.ReplicaStatus().NotLeader {
		return errNotLeader
	}
	return nil
}
