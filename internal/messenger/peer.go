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
	longestRedial  = 250 * time.Millisecond
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

// silenceLimit is how long a peer may be silent, while messages are sent to it, before its connection is replaced: a
// few heartbeats. A connection may stop working without an error, and then only its silence shows it.
const silenceLimit = time.Second

// peer sends to one address; its goroutine owns the connection.
type peer struct {
	address string
	self    string
	queue   chan []replicator.Message
	heard   func(address string) time.Time

	conn   *grpc.ClientConn
	stream grpc.ClientStream
	dialed time.Time
}

func (p *peer) enqueue(batch []replicator.Message) {
	select {
	case p.queue <- batch:
	default:
	}
}

func (p *peer) run(ctx context.Context) {
	defer p.hangUp()
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-p.queue:
			p.send(ctx, batch)
		}
	}
}

// send passes a batch on, on a new connection where there is none or the present one seems dead. What cannot be sent
// is lost; the protocol sends it again.
func (p *peer) send(ctx context.Context, batch []replicator.Message) {
	if p.silent() {
		p.hangUp()
	}
	if !p.connect(ctx) {
		return
	}
	if err := p.stream.SendMsg(&envelope{Address: p.self, Messages: batch}); err != nil {
		p.stream = nil
	}
}

// silent reports whether nothing was heard from the peer for too long on a connection that had the time to work.
func (p *peer) silent() bool {
	return p.conn != nil && time.Since(p.dialed) > silenceLimit && time.Since(p.heard(p.address)) > silenceLimit
}

func (p *peer) connect(ctx context.Context) bool {
	var err error
	if p.conn == nil {
		if p.conn, err = Dial(p.address); err != nil {
			return false
		}
		p.dialed = time.Now()
	}
	if p.stream == nil {
		p.stream, err = encoder.OpenStream(ctx, p.conn, "/"+serviceName+"/"+deliverMethod)
	}
	return err == nil
}

func (p *peer) hangUp() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.conn, p.stream = nil, nil
}
