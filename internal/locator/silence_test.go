package locator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// silencer is a listener whose accepted connections can go silent: nothing that is written on them arrives any more.
type silencer struct {
	net.Listener

	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	silent chan struct{} // closed once the connection is silent
}

// Accept implements net.Listener.
func (s *silencer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{conn, make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// silence makes the open connections silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		close(c.silent)
	}
	s.conns = nil
}

// serveSilencer serves a replica that answers with the given response.
func serveSilencer(t *testing.T, answer func() response) *silencer {
	t.Helper()
	s := &silencer{Listener: listen(t)}
	serveOn(t, s, func(context.Context, *request) (*response, error) {
		r := answer()
		return &r, nil
	})
	return s
}

// TestCallDoesNotTryEachSilentConnectionInTurn lets the connections to all replicas go silent after they have been idle.
// It guards against a call that learns only from a timeout for each address that its connection is dead, so that calls
// fail for many seconds although a leader is there.
func TestCallDoesNotTryEachSilentConnectionInTurn(t *testing.T) {
	const followers = 5
	var leading atomic.Bool
	var seeds []string
	var replicas []*silencer
	for range followers {
		s := serveSilencer(t, func() response { return response{Status: ReplicaStatus{NotLeader: true}} })
		replicas, seeds = append(replicas, s), append(seeds, s.Addr().String())
	}
	leader := serveSilencer(t, func() response { return response{Status: ReplicaStatus{NotLeader: !leading.Load()}} })
	replicas, seeds = append(replicas, leader), append(seeds, leader.Addr().String())
	l := New(seeds, logger.Logger{})
	defer l.Close()

	search, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := Call[request, response](search, l, method, Limits{}, &request{}); err == nil {
		t.Fatal("a call was answered without a leader")
	}
	time.Sleep(idleTimeout.Duration() + 100*time.Millisecond)
	for _, s := range replicas {
		s.silence()
	}
	leading.Store(true)
	start := time.Now()
	if _, err := callOnce(t, l); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > AttemptTimeout {
		t.Errorf("the call took %v, want less than the timeout of one attempt, %v", took, AttemptTimeout)
	}
}

// TestTimeoutDoesNotCloseANewerConnection guards against calls on a connection that works and that fail since an earlier
// call, on the connection before it, has timed out.
func TestTimeoutDoesNotCloseANewerConnection(t *testing.T) {
	s := serveSilencer(t, func() response { return response{} })
	address := s.Addr().String()
	l := New([]string{address}, logger.Logger{})
	defer l.Close()
	before, err := l.acquire(address)
	if err != nil {
		t.Fatal(err)
	}
	l.recordFailure(address, before, true)
	newer, err := l.acquire(address)
	if err != nil {
		t.Fatal(err)
	}
	l.recordFailure(address, before, true)
	if again, err := l.acquire(address); err != nil || again != newer {
		t.Errorf("the newer connection was replaced, error %v", err)
	}
}
