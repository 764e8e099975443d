package messenger

import (
	"context"
	"errors"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// UnsentError is the error of a call that failed before any of it was handed to a connection, so that the server cannot
// have executed it.
type UnsentError struct{ Cause error }

// Error returns the text of the cause after "not sent: ".
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// Unsent reports whether err is the error of a call on a connection from Dial that was never sent.
func Unsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// sentKey is the context key of a call's *atomic.Bool, which is true once the call was handed to a connection.
type sentKey struct{}

// wrapUnsent is a client interceptor that wraps the error of a call that was never handed to a connection.
func wrapUnsent(
	ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	var sent atomic.Bool
	err := invoke(context.WithValue(ctx, sentKey{}, &sent), method, req, reply, cc, opts...)
	if err != nil && !sent.Load() {
		return &UnsentError{err}
	}
	return err
}

// sentRecorder is a stats handler that records which calls have had their header handed to a connection.
type sentRecorder struct{}

func (sentRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentRecorder) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sentRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentRecorder) HandleConn(context.Context, stats.ConnStats) {}
