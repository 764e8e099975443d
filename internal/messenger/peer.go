package messenger

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/queuer"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

const (
	redialBaseDelay  = 50 * time.Millisecond
	redialMaxDelay   = 250 * time.Millisecond
	connectTimeout   = time.Second
	redialJitter     = 0.2
	redialMultiplier = 1.6
)

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: redialBaseDelay, Multiplier: redialMultiplier, Jitter: redialJitter, MaxDelay: redialMaxDelay},
		MinConnectTimeout: connectTimeout,
	}
}

// receiveTimeout is the time without messages from a peer after which its connection is replaced: a few heartbeat
// intervals. A connection can stop working without an error; then only missing messages reveal it.
const receiveTimeout = time.Second

// peer sends messages to one address. The goroutine of run owns the connection.
type peer struct {
	address          string
	selfAddress      string
	queue            *queuer.Queue[[]replicator.Message]
	lastReceivedFrom func(address string) time.Time

	conn     *grpc.ClientConn
	stream   grpc.ClientStream
	dialedAt time.Time
}

func (p *peer) enqueue(batch []replicator.Message) { p.queue.Offer(batch) }

func batchBytes(batch []replicator.Message) int {
	size := 0
	for _, m := range batch {
		size += m.Bytes()
	}
	return size
}

func (p *peer) run(ctx context.Context) {
	defer p.closeConnection()
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-p.queue.Items():
			p.queue.Taken(batch)
			p.send(ctx, batch)
		}
	}
}

// send sends a batch. It opens a connection if there is none or if the receive timeout of the current one has expired.
// It drops a batch that it cannot send; the protocol retransmits it.
func (p *peer) send(ctx context.Context, batch []replicator.Message) {
	if p.receiveTimedOut() {
		p.closeConnection()
	}
	if !p.connect(ctx) {
		return
	}
	if err := p.stream.SendMsg(&envelope{Address: p.selfAddress, Messages: batch}); err != nil {
		p.stream = nil
	}
}

// receiveTimedOut reports whether the connection and the last message from the peer are both older than receiveTimeout.
func (p *peer) receiveTimedOut() bool {
	return p.conn != nil && time.Since(p.dialedAt) > receiveTimeout && time.Since(p.lastReceivedFrom(p.address)) > receiveTimeout
}

func (p *peer) connect(ctx context.Context) bool {
	var err error
	if p.conn == nil {
		if p.conn, err = Dial(p.address); err != nil {
			return false
		}
		p.dialedAt = time.Now()
	}
	if p.stream == nil {
		p.stream, err = encoder.OpenStream(ctx, p.conn, "/"+serviceName+"/"+deliverMethod)
	}
	return err == nil
}

func (p *peer) closeConnection() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.conn, p.stream = nil, nil
}
