package messenger

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

// relay passes bytes on until it is silenced: connections that are open then stay open and carry nothing any more.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{} // closed to silence the connections made so far
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{listener: listener, target: target, silent: make(chan struct{})}
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		silent := r.silent
		r.mu.Unlock()
		go pass(out, in, silent)
		go pass(in, out, silent)
	}
}

func pass(to io.Writer, from io.Reader, silent <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func serve(t *testing.T, m *Messenger, listener net.Listener) {
	t.Helper()
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}))
	m.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
}

// TestSilentConnectionIsReplaced sends over a connection that stops carrying bytes without an error. It fails with a
// messenger that keeps a connection until an error shows.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan replicator.Message, 1024)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	receiver := New(ctx, listener.Addr().String(), func(m replicator.Message) {
		select {
		case got <- m:
		default:
		}
	})
	serve(t, receiver, listener)
	between := newRelay(t, listener.Addr().String())
	sender := New(ctx, "127.0.0.1:1", func(replicator.Message) {})
	t.Cleanup(func() { cancel(); sender.Wait() })
	members := replicator.Membership{Members: []replicator.Member{{ID: 2, Address: between.listener.Addr().String(), Voter: true}}}

	await(t, sender, members, got, 1)
	between.silence()
	await(t, sender, members, got, 2)
}

// await sends a message of a term again and again until it arrives.
func await(t *testing.T, sender *Messenger, members replicator.Membership, got <-chan replicator.Message, term uint64) {
	t.Helper()
	const patience = 20 * time.Second
	late := time.After(patience)
	for {
		sender.Send(members, []replicator.Message{{Kind: replicator.AppendRequest, To: 2, Term: term}})
		select {
		case m := <-got:
			if m.Term == term {
				return
			}
		case <-late:
			t.Fatalf("no message of term %d arrived", term)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
