package messenger

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/queuer"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
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

// peer sends messages to one address. The goroutine of run owns the channel.
type peer struct {
	address          string
	selfAddress      string
	queue            *queuer.Queue[[]replicator.Message]
	lastReceivedFrom func(address string) time.Time
	log              logger.Logger
	replacements     logger.Throttle

	channel  *channel
	stream   grpc.ClientStream
	lastSent time.Time
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
	defer p.closeChannel()
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.channelDone():
			p.replaceChannel(ctx)
		case <-idle.C:
			if p.channel != nil && p.channel.idle() {
				p.closeChannel()
			}
		case batch := <-p.queue.Items():
			p.queue.Taken(batch)
			p.send(ctx, batch)
		}
	}
}

// channelDone returns a channel that is closed when the peer's channel is given up, or nil without one.
func (p *peer) channelDone() <-chan struct{} {
	if p.channel == nil {
		return nil
	}
	return p.channel.ctx.Done()
}

// send sends a batch. It drops a batch that it cannot send; the protocol retransmits it.
func (p *peer) send(ctx context.Context, batch []replicator.Message) {
	if p.channel != nil && p.channel.ctx.Err() != nil {
		p.replaceChannel(ctx)
	}
	if !p.connect(ctx) {
		return
	}
	p.channel.use()
	if err := p.stream.SendMsg(&envelope{Address: p.selfAddress, Messages: batch}); err != nil {
		p.stream = nil
		return
	}
	p.lastSent = time.Now()
}

func (p *peer) connect(ctx context.Context) bool {
	var err error
	if p.channel == nil {
		if p.channel, err = openChannel(ctx, p.address); err != nil {
			p.channel = nil
			return false
		}
	}
	if p.stream == nil {
		p.stream, err = p.channel.open(deliverMethod)
	}
	if err != nil {
		p.stream = nil
	}
	return err == nil
}

// replaceChannel closes a channel that was given up. The next message opens another one.
func (p *peer) replaceChannel(ctx context.Context) {
	if ctx.Err() == nil {
		p.replacements.Log(p.log, logger.ChannelReplaced, logger.F("address", p.address), logger.F("since-sent", age(p.lastSent)),
			logger.F("since-answered", timekeeper.FromDuration(p.channel.sinceAnswer())), logger.F("since-received", age(p.lastReceivedFrom(p.address))),
			logger.F("error", context.Cause(p.channel.ctx)))
	}
	p.closeChannel()
}

// age returns the time since t, or "never" if t is zero.
func age(t time.Time) any {
	if t.IsZero() {
		return "never"
	}
	return timekeeper.FromDuration(time.Since(t))
}

func (p *peer) closeChannel() {
	if p.channel != nil {
		p.channel.close()
	}
	p.channel, p.stream = nil, nil
}
