package locator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// ErrUnavailable tells that no leader answered in time; the call may have been carried out.
var ErrUnavailable = errors.New("no control replica leads that can be reached")

const (
	// tryTimeout bounds one try of a call: some round trips and disk syncs, and short against the callers' patience.
	tryTimeout = 600 * time.Millisecond
	// retryPause is the pause after a try, a fraction of an election.
	retryPause = 40 * time.Millisecond
)

// Standing is what a replica says of itself in every answer.
type Standing struct {
	NotLeader bool     `cbor:"1,keyasint,omitempty"`
	Leader    string   `cbor:"2,keyasint,omitempty"` // address of the leader, where it is known
	Members   []string `cbor:"3,keyasint,omitempty"` // addresses of all members
	Uncertain bool     `cbor:"4,keyasint,omitempty"` // the call may be carried out all the same
}

// Response is an answer of a control replica.
type Response interface {
	// Place returns the standing of the replica that answered.
	Place() Standing
}

// Locator holds the connections to control replicas. It is safe for concurrent use; mu guards all fields below it.
type Locator struct {
	log   logger.Logger
	clock timekeeper.Monotonic

	mu        sync.Mutex
	addresses []string
	conns     map[string]*grpc.ClientConn
	leader    string
	next      int
	heard     timekeeper.Millis // when a leader last answered
	lost      bool              // no leader has answered for a while, and this was logged
}

// New returns a locator that starts with the given addresses.
func New(addresses []string, log logger.Logger) *Locator {
	return &Locator{log: log, addresses: slices.Clone(addresses), conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (l *Locator) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, conn := range l.conns {
		_ = conn.Close()
		delete(l.conns, address)
	}
}

// Add makes further addresses of replicas known.
func (l *Locator) Add(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		if !slices.Contains(l.addresses, address) {
			l.addresses = append(l.addresses, address)
		}
	}
}

// HeardWithin reports whether a leader answered within the span that ends now.
func (l *Locator) HeardWithin(span timekeeper.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard > 0 && l.clock.Now()-l.heard <= span
}

// Limits bound a call beyond its context; a zero field sets no bound.
type Limits struct {
	Hold   time.Duration // how much longer than other calls this one may take, where the leader answers late on purpose
	Unsent time.Duration // how long a leader is looked for while no replica can have taken the call
}

// CallError tells that no leader answered in time.
type CallError struct {
	Sent  bool // a replica may have taken the call, so that it may have been or be carried out
	Cause error
}

// Error returns the text of the error.
func (e *CallError) Error() string { return ErrUnavailable.Error() + ": " + e.Cause.Error() }

// Unwrap returns ErrUnavailable and the cause.
func (e *CallError) Unwrap() []error { return []error{ErrUnavailable, e.Cause} }

// Call calls a method of the leader until one answers, ctx ends or a limit is reached; it then returns a CallError.
func Call[Req any, Resp Response](ctx context.Context, l *Locator, method string, limits Limits, r *Req) (Resp, error) {
	failed := &CallError{}
	began := time.Now()
	for {
		resp, err := try[Req, Resp](ctx, l, method, limits.Hold, r)
		if err == nil && !resp.Place().NotLeader {
			return resp, nil
		}
		failed.Cause = errors.Join(err, ctx.Err())
		failed.Sent = failed.Sent || err != nil && !messenger.Unsent(err) || err == nil && resp.Place().Uncertain
		late := limits.Unsent > 0 && !failed.Sent && time.Since(began) > limits.Unsent
		if late || !pause(ctx) {
			var none Resp
			l.noteLost()
			return none, failed.withCause()
		}
	}
}

func (e *CallError) withCause() *CallError {
	if e.Cause == nil {
		e.Cause = errors.New("the replicas that answer do not lead")
	}
	return e
}

// pause waits before the next try; it returns false when ctx has ended.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

func try[Req any, Resp Response](ctx context.Context, l *Locator, method string, hold time.Duration, r *Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+hold)
	defer cancel()
	var none Resp
	address := l.guess()
	conn, err := l.conn(address)
	if err != nil {
		return none, err
	}
	resp, err := encoder.Call[Req, Resp](ctx, conn, method, r)
	if err != nil {
		l.forget(address, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return none, err
	}
	l.learn(address, (*resp).Place())
	return *resp, nil
}

// conn returns a connection to address; it is dialled when first used.
func (l *Locator) conn(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := messenger.Dial(address)
	if err != nil {
		return nil, err
	}
	l.conns[address] = conn
	return conn, nil
}

// guess returns the replica to ask: the leader last heard of, else each address in turn.
func (l *Locator) guess() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	l.next++
	return l.addresses[l.next%len(l.addresses)]
}

// forget drops the guess of the leader; a connection on which a call got no answer may be silent for good.
func (l *Locator) forget(address string, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
	if conn := l.conns[address]; conn != nil && silent {
		_ = conn.Close()
		delete(l.conns, address)
	}
}

// learn takes what a replica said of the leader and of the members.
func (l *Locator) learn(asked string, s Standing) {
	l.Add(s.Members)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.NotLeader {
		l.leader = s.Leader
		if s.Leader == asked {
			l.leader = ""
		}
		return
	}
	if l.lost || l.heard == 0 {
		l.log.Log(logger.LeaderFound, logger.F("address", asked))
	}
	l.leader, l.heard, l.lost = asked, l.clock.Now(), false
}

func (l *Locator) noteLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost && l.heard > 0 && l.clock.Now()-l.heard > timekeeper.FromDuration(tryTimeout) {
		l.lost = true
		l.log.Log(logger.LeaderLost, logger.F("silence", l.clock.Now()-l.heard))
	}
}
