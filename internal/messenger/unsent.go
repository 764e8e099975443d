package messenger

import (
	"context"
	"errors"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// UnsentError tells that a call failed before any byte of it was handed to a connection, so that it has certainly not
// been carried out.
type UnsentError struct{ Cause error }

// Error returns the text of the cause.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// Unsent reports whether a call on a connection of Dial failed without having been sent.
func Unsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// deliveryKey is the key of a call's *atomic.Bool in its context: whether it was handed to a connection.
type deliveryKey struct{}

// markUnsent wraps the error of a call that was never handed to a connection.
func markUnsent(
	ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	var sent atomic.Bool
	err := invoke(context.WithValue(ctx, deliveryKey{}, &sent), method, req, reply, cc, opts...)
	if err != nil && !sent.Load() {
		return &UnsentError{err}
	}
	return err
}

// deliveryWatcher notes calls whose header has been handed to a connection. It tells nothing else.
type deliveryWatcher struct{}

func (deliveryWatcher) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (deliveryWatcher) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(deliveryKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (deliveryWatcher) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (deliveryWatcher) HandleConn(context.Context, stats.ConnStats) {}
