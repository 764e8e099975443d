package locator

import (
	"context"
	"errors"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
)

// ErrUnavailable tells that no leader answered in time; the call may have been carried out.
var ErrUnavailable = errors.New("no control replica leads that can be reached")

const (
	// tryTimeout bounds one try of a call: some round trips and disk syncs, and short against the callers' patience.
	tryTimeout = 600 * time.Millisecond
	// retryPause is the pause after a try, a fraction of an election.
	retryPause = 40 * time.Millisecond
)

// Limits bound a call beyond its context; a zero field sets no bound.
type Limits struct {
	Hold   time.Duration // how much longer than other calls this one may take, where the leader answers late on purpose
	Unsent time.Duration // how long a leader is looked for while no replica can have taken the call
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
	began := time.Now()
	for {
		resp, err := try[Req, Resp](ctx, l, method, limits.Hold, r)
		if err == nil && !resp.Place().NotLeader {
			return resp, nil
		}
		failed.Cause = errors.Join(err, ctx.Err())
		failed.Sent = failed.Sent || err != nil && !messenger.Unsent(err) || err == nil && resp.Place().Uncertain
		late := limits.Unsent > 0 && !failed.Sent && time.Since(began) > limits.Unsent
		if late || !pause(ctx) {
			var none Resp
			l.noteLost()
			return none, failed.withCause()
		}
	}
}

func (e *CallError) withCause() *CallError {
	if e.Cause == nil {
		e.Cause = errors.New("the replicas that answer do not lead")
	}
	return e
}

// pause waits before the next try; it returns false when ctx has ended.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

func try[Req any, Resp Response](ctx context.Context, l *Locator, method string, hold time.Duration, r *Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+hold)
	defer cancel()
	var none Resp
	address := l.guess()
	conn, err := l.conn(address)
	if err != nil {
		return none, err
	}
	resp, err := encoder.Call[Req, Resp](ctx, conn, method, r)
	if err != nil {
		l.forget(address, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return none, err
	}
	l.learn(address, (*resp).Place())
	return *resp, nil
}
