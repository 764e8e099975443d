package messenger

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

// blackholeProxy forwards bytes to target. After blackhole, connections that were open stay open but drop all bytes. After
// freeze, they take no more bytes. Each connection freezes once it has carried byteLimit bytes one way, if that is set.
type blackholeProxy struct {
	listener net.Listener
	target   string

	byteLimit atomic.Int64

	mu         sync.Mutex
	blackholed chan struct{} // closed to drop all bytes on the connections made so far
	frozen     chan struct{} // closed to take no more bytes on the connections made so far
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &blackholeProxy{listener: listener, target: target, blackholed: make(chan struct{}), frozen: make(chan struct{})}
	go p.accept()
	return p
}

func (p *blackholeProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		blackholed, frozen := p.blackholed, p.frozen
		p.mu.Unlock()
		go forward(out, in, blackholed, frozen, p.byteLimit.Load())
		go forward(in, out, blackholed, frozen, p.byteLimit.Load())
	}
}

func forward(to io.Writer, from io.Reader, blackholed, frozen <-chan struct{}, byteLimit int64) {
	buffer := make([]byte, 4096)
	carried := int64(0)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if carried += int64(n); byteLimit > 0 && carried > byteLimit {
			return
		}
		select {
		case <-frozen:
			return
		case <-blackholed:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *blackholeProxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.blackholed)
	p.blackholed = make(chan struct{})
}

func (p *blackholeProxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.frozen)
	p.frozen = make(chan struct{})
}

func serve(t *testing.T, m *Messenger, listener net.Listener) {
	t.Helper()
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}))
	m.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
}

// TestBlackholedConnectionIsReplaced sends over a connection that drops all bytes without an error. It guards against a
// messenger that keeps a connection until it returns an error.
func TestBlackholedConnectionIsReplaced(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan replicator.Message, 1024)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	receiver := New(ctx, listener.Addr().String(), func(m replicator.Message) {
		select {
		case received <- m:
		default:
		}
	}, logger.Logger{})
	serve(t, receiver, listener)
	proxy := newBlackholeProxy(t, listener.Addr().String())
	sender := New(ctx, "127.0.0.1:1", func(replicator.Message) {}, logger.Logger{})
	t.Cleanup(func() { cancel(); sender.Wait() })
	members := replicator.Membership{Members: []replicator.Member{{ID: 2, Address: proxy.listener.Addr().String(), Voter: true}}}

	sendUntilReceived(t, sender, members, received, 1)
	proxy.blackhole()
	sendUntilReceived(t, sender, members, received, 2)
}

// sendUntilReceived resends a message with the given term until it arrives.
func sendUntilReceived(t *testing.T, sender *Messenger, members replicator.Membership, got <-chan replicator.Message, term uint64) {
	t.Helper()
	const timeout = 20 * time.Second
	timedOut := time.After(timeout)
	for {
		sender.Send(members, []replicator.Message{{Kind: replicator.AppendRequest, To: 2, Term: term}})
		select {
		case m := <-got:
			if m.Term == term {
				return
			}
		case <-timedOut:
			t.Fatalf("no message of term %d arrived within 20 s", term)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
