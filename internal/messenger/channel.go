package messenger

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

const (
	probeMethod = "Probe"
	// probeInterval is the pause between two probes of a channel, a few heartbeat intervals.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is the time after which a channel without an answer is given up: many round trips, and short against
	// the time for a repair.
	probeTimeout = 750 * time.Millisecond
	// idleTimeout is the time after which an unused channel is closed. It might have stopped working unnoticed.
	idleTimeout = 2 * time.Second
)

// channel is a connection to one address that is probed as long as it is open.
//
// A connection may stop working without an error, and in one direction alone. A probe therefore uses the channel's own
// connection in both directions: what arrives from the other process on another connection proves nothing. A probe is a
// stream of its own, so that large messages do not delay it.
type channel struct {
	conn   *grpc.ClientConn
	ctx    context.Context // done once the channel is closed or has not answered a probe
	cancel context.CancelCauseFunc
	ended  chan struct{} // closed when the goroutine of the probes has ended

	opened     time.Time
	lastUse    atomic.Int64 // nanoseconds since opened
	lastAnswer atomic.Int64 // nanoseconds from opened to the last probe that was answered
}

type probeRequest struct{}

type probeResponse struct{}

func handleProbe(context.Context, *probeRequest) (*probeResponse, error) {
	return &probeResponse{}, nil
}

// openChannel returns a channel to address, which connects on first use. The caller closes it.
func openChannel(ctx context.Context, address string) (*channel, error) {
	conn, err := Dial(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	c := &channel{conn: conn, ctx: ctx, cancel: cancel, ended: make(chan struct{}), opened: time.Now()}
	go c.probeRepeatedly()
	return c, nil
}

// close closes the channel and waits for its goroutine.
func (c *channel) close() {
	c.cancel(nil)
	_ = c.conn.Close()
	<-c.ended
}

// open opens a stream that ends when the channel is given up.
func (c *channel) open(method string) (grpc.ClientStream, error) {
	c.use()
	return encoder.OpenStream(c.ctx, c.conn, "/"+serviceName+"/"+method)
}

// use records that the channel is in use.
func (c *channel) use() { c.lastUse.Store(int64(time.Since(c.opened))) }

func (c *channel) idle() bool {
	return time.Since(c.opened)-time.Duration(c.lastUse.Load()) > idleTimeout
}

// sinceAnswer returns the time since a probe was answered, or since the channel was opened.
func (c *channel) sinceAnswer() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastAnswer.Load())
}

func (c *channel) probeRepeatedly() {
	defer close(c.ended)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		if err := c.probe(); err != nil {
			c.cancel(err)
			return
		}
	}
}

// probe returns an error if the channel does not answer in time. A connection that failed openly is dialled again by
// gRPC and is no reason to give the channel up.
func (c *channel) probe() error {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	_, err := encoder.Call[probeRequest, probeResponse](ctx, c.conn, "/"+serviceName+"/"+probeMethod, &probeRequest{})
	switch status.Code(err) {
	case codes.OK, codes.Unimplemented: // an earlier version has answered
		c.lastAnswer.Store(int64(time.Since(c.opened)))
		return nil
	case codes.DeadlineExceeded:
		return err
	}
	return nil
}
