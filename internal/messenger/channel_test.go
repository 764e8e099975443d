package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

// endpoint is a messenger that serves behind a proxy, which is how others reach it.
type endpoint struct {
	messenger *Messenger
	proxy     *blackholeProxy
	received  chan replicator.Message
}

func newEndpoint(t *testing.T, ctx context.Context) endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := newBlackholeProxy(t, listener.Addr().String())
	received := make(chan replicator.Message, 1024)
	m := New(ctx, proxy.listener.Addr().String(), func(m replicator.Message) {
		select {
		case received <- m:
		default:
		}
	}, logger.Logger{})
	serve(t, m, listener)
	return endpoint{m, proxy, received}
}

func (e endpoint) members(id replicator.ReplicaID) replicator.Membership {
	return replicator.Membership{Members: []replicator.Member{{ID: id, Address: e.proxy.listener.Addr().String(), Voter: true}}}
}

// TestOneSilentDirectionIsReplacedWhileTheOtherWorks silences the channel from a to b while b goes on sending to a. It
// guards against a replica that takes messages from a peer as a sign that its own channel to that peer works, so that no
// vote arrives any more and nobody is elected.
func TestOneSilentDirectionIsReplacedWhileTheOtherWorks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	a, b := newEndpoint(t, ctx), newEndpoint(t, ctx)
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		for ctx.Err() == nil {
			b.messenger.Send(a.members(1), []replicator.Message{{Kind: replicator.AppendRequest, From: 2, To: 1}})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-sending
		a.messenger.Wait()
		b.messenger.Wait()
	})
	sendUntilReceived(t, a.messenger, b.members(2), b.received, 1)
	<-a.received
	b.proxy.blackhole()
	sendUntilReceived(t, a.messenger, b.members(2), b.received, 2)
}

// TestSenderIsNotStuckOnAChannelThatTakesNothing freezes the channel, so that its flow-control window fills. It guards
// against a sender that waits for that window for good and never opens another channel.
func TestSenderIsNotStuckOnAChannelThatTakesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	a, b := newEndpoint(t, ctx), newEndpoint(t, ctx)
	t.Cleanup(func() { cancel(); a.messenger.Wait(); b.messenger.Wait() })
	sendUntilReceived(t, a.messenger, b.members(2), b.received, 1)
	b.proxy.freeze()
	large := replicator.Message{Kind: replicator.AppendRequest, To: 2, Term: 1, Entries: []journaler.Entry{{Index: 1, Term: 1, Data: make([]byte, 4<<20)}}}
	for range 4 {
		a.messenger.Send(b.members(2), []replicator.Message{large})
	}
	sendUntilReceived(t, a.messenger, b.members(2), b.received, 2)
}

// TestSnapshotOnASilentChannelEnds guards against a snapshot that waits for its answer for good.
func TestSnapshotOnASilentChannelEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	a, b := newEndpoint(t, ctx), newEndpoint(t, ctx)
	t.Cleanup(func() { cancel(); a.messenger.Wait(); b.messenger.Wait() })
	snapshot := &journaler.Snapshot{Index: 1, Term: 1, Data: make([]byte, 32<<20)}
	b.proxy.byteLimit.Store(1 << 20)
	sent := make(chan error, 1)
	go func() {
		sent <- a.messenger.sendSnapshot(b.proxy.listener.Addr().String(), replicator.Message{Kind: replicator.SnapshotRequest, To: 2, Snapshot: snapshot})
	}()
	select {
	case err := <-sent:
		if err == nil {
			t.Error("the snapshot counts as sent, want an error")
		}
	case <-time.After(20 * time.Second):
		t.Error("the snapshot is still being sent after 20 s")
	}
}
