package messenger

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

const (
	firstRedial    = 50 * time.Millisecond
	longestRedial  = time.Second
	connectTimeout = time.Second
	redialJitter   = 0.2
	redialFactor   = 1.6
)

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: firstRedial, Multiplier: redialFactor, Jitter: redialJitter, MaxDelay: longestRedial},
		MinConnectTimeout: connectTimeout,
	}
}

// peer sends to one address; its goroutine owns the connection.
type peer struct {
	address string
	self    string
	queue   chan []replicator.Message
}

func (p *peer) enqueue(batch []replicator.Message) {
	select {
	case p.queue <- batch:
	default:
	}
}

func (p *peer) run(ctx context.Context) {
	conn, err := Dial(p.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var stream grpc.ClientStream
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-p.queue:
			stream = p.send(ctx, conn, stream, batch)
		}
	}
}

// send tries the open stream, opens one where there is none, and returns the stream to use next.
func (p *peer) send(ctx context.Context, conn *grpc.ClientConn, stream grpc.ClientStream, batch []replicator.Message) grpc.ClientStream {
	if stream == nil {
		var err error
		if stream, err = encoder.OpenStream(ctx, conn, "/"+serviceName+"/"+deliverMethod); err != nil {
			return nil
		}
	}
	if err := stream.SendMsg(&envelope{Address: p.self, Messages: batch}); err != nil {
		return nil
	}
	return stream
}
