package locator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

type request struct{}

type response struct {
	Status ReplicaStatus `cbor:"1,keyasint"`
	Name   string        `cbor:"2,keyasint"`
}

func (r response) ReplicaStatus() ReplicaStatus { return r.Status }

const method = "/test/Ask"

// serveReplica serves a replica that handles calls by handle and returns its address. Each status function answers
// probes.
func serveReplica(t *testing.T, handle func(context.Context, *request) (*response, error), status ...func() ReplicaStatus) string {
	t.Helper()
	return serve(t, handle, status...)
}

// serve is serveReplica for requests of any type.
func serve[Req any](t *testing.T, handle func(context.Context, *Req) (*response, error), status ...func() ReplicaStatus) string {
	t.Helper()
	listener := listen(t)
	serveOn(t, listener, handle, status...)
	return listener.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serveOn is like serve on a given listener.
func serveOn[Req any](t *testing.T, listener net.Listener, handle func(context.Context, *Req) (*response, error), status ...func() ReplicaStatus) {
	t.Helper()
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}))
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "test", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{encoder.Unary("Ask", handle)},
	}, nil)
	for _, f := range status {
		RegisterStatus(server, f)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
}

func callOnce(t *testing.T, l *Locator) (response, error) {
	t.Helper()
	const timeout = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return Call[request, response](ctx, l, method, Limits{}, &request{})
}

// TestCallFindsLeader starts from a follower and from an address where nothing listens.
func TestCallFindsLeader(t *testing.T) {
	leader := serveReplica(t, func(context.Context, *request) (*response, error) { return &response{Name: "leader"}, nil })
	follower := serveReplica(t, func(context.Context, *request) (*response, error) {
		return &response{Status: ReplicaStatus{NotLeader: true, Leader: leader, Members: []string{leader}}}, nil
	})
	l := New([]string{"127.0.0.1:1", follower}, logger.Logger{})
	defer l.Close()
	got, err := callOnce(t, l)
	if err != nil || got.Name != "leader" {
		t.Fatalf("got %+v, error %v", got, err)
	}
	if !l.LeaderAnsweredWithin(1000) {
		t.Error("the leader's answer was not recorded")
	}
}

// TestCallGoesToNextLeader has the known leader stop answering. The call goes to the next one.
func TestCallGoesToNextLeader(t *testing.T) {
	silent := make(chan struct{})
	defer close(silent)
	first := true
	old := serveReplica(t, func(ctx context.Context, _ *request) (*response, error) {
		if first {
			first = false
			return &response{Name: "old"}, nil
		}
		select {
		case <-silent:
		case <-ctx.Done():
		}
		return nil, errors.New("never answered in time")
	})
	l := New([]string{old}, logger.Logger{})
	defer l.Close()
	if _, err := callOnce(t, l); err != nil {
		t.Fatal(err)
	}
	l.SetSeeds([]string{serveReplica(t, func(context.Context, *request) (*response, error) { return &response{Name: "next"}, nil })})
	got, err := callOnce(t, l)
	if err != nil || got.Name != "next" {
		t.Fatalf("got %+v, error %v", got, err)
	}
}

// TestCallFailsWithoutLeader checks that a call fails when its context ends, and that the error says whether a replica
// may have received the call.
func TestCallFailsWithoutLeader(t *testing.T) {
	follower := serveReplica(t, func(context.Context, *request) (*response, error) {
		return &response{Status: ReplicaStatus{NotLeader: true}}, nil
	})
	deposed := serveReplica(t, func(context.Context, *request) (*response, error) {
		return &response{Status: ReplicaStatus{NotLeader: true, Uncertain: true}}, nil
	})
	unresponsive := serveReplica(t, func(ctx context.Context, _ *request) (*response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	tests := []struct {
		name, address string
		sent          bool
	}{
		{"nothing listens at the address", "127.0.0.1:1", false},
		{"the replica does not lead", follower, false},
		{"the replica lost leadership after it appended the call", deposed, true},
		{"the replica does not answer", unresponsive, true},
	}
	for _, test := range tests {
		l := New([]string{test.address}, logger.Logger{})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := Call[request, response](ctx, l, method, Limits{}, &request{})
		var failed *CallError
		if !errors.Is(err, ErrUnavailable) || !errors.As(err, &failed) || failed.Sent != test.sent {
			t.Errorf("%s: error %v, want sent %v", test.name, err, test.sent)
		}
		cancel()
		l.Close()
	}
}

// TestProbedCallIsNotSentToSilentLeader has the known leader fall silent. A call with ProbeLeader is not sent to it, so
// that the caller learns that nothing was sent. With another leader, the call goes there.
func TestProbedCallIsNotSentToSilentLeader(t *testing.T) {
	var silent atomic.Bool
	var calls atomic.Int32
	old := serveReplica(t, func(ctx context.Context, _ *request) (*response, error) {
		calls.Add(1)
		if silent.Load() {
			<-ctx.Done()
		}
		return &response{Name: "old"}, ctx.Err()
	}, func() ReplicaStatus {
		for silent.Load() {
			time.Sleep(time.Millisecond)
		}
		return ReplicaStatus{}
	})
	t.Cleanup(func() { silent.Store(false) })
	l := New([]string{old}, logger.Logger{})
	defer l.Close()
	if _, err := callOnce(t, l); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	silent.Store(true)
	time.Sleep(2 * probeAfter.Duration())
	_, err := Call[request, response](ctx, l, method, Limits{SearchTimeout: 300 * time.Millisecond, ProbeLeader: true}, &request{})
	var failed *CallError
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error %v, want a CallError with Sent false", err)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("the silent leader got %d calls, want only the first", n)
	}
	l.SetSeeds([]string{serveReplica(t, func(context.Context, *request) (*response, error) { return &response{Name: "next"}, nil },
		func() ReplicaStatus { return ReplicaStatus{Term: 2} })})
	got, err := Call[request, response](ctx, l, method, Limits{ProbeLeader: true}, &request{})
	if err != nil || got.Name != "next" {
		t.Errorf("got %+v, error %v", got, err)
	}
}

// TestSearchIsShortOnceTheLeaderIsLongLost checks that a search takes minSearchTime if the leader was lost long ago.
func TestSearchIsShortOnceTheLeaderIsLongLost(t *testing.T) {
	l := New([]string{"127.0.0.1:1"}, logger.Logger{})
	defer l.Close()
	l.recordStatus("127.0.0.1:1", ReplicaStatus{Term: 1})
	const span = 600 * timekeeper.Millis(1)
	l.recordFailure("127.0.0.1:1", nil, false)
	lostSince := l.lostSince
	if l.searchTimedOut(lostSince, span) {
		t.Error("the search ends as soon as it starts")
	}
	l.lostSince -= 2 * span // the leader was lost long ago
	if now := l.clock.Now(); l.searchTimedOut(now, span) || !l.searchTimedOut(now-timekeeper.FromDuration(minSearchTime), span) {
		t.Error("a search for a leader that was lost long ago does not end after minSearchTime")
	}
	l.recordStatus("127.0.0.1:1", ReplicaStatus{Term: 2})
	if l.searchTimedOut(lostSince-span, span) {
		t.Error("the search ends although a leader has answered")
	}
}

// TestSearchEndsEarlyIfNothingWasSent checks that a call fails long before its context ends if no replica received it.
func TestSearchEndsEarlyIfNothingWasSent(t *testing.T) {
	l := New([]string{"127.0.0.1:1"}, logger.Logger{})
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := Call[request, response](ctx, l, method, Limits{SearchTimeout: 50 * time.Millisecond}, &request{})
	if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		t.Errorf("error %v, context %v", err, ctx.Err())
	}
}

// TestMembershipIsBounded reports many generations of replicas. The newest are kept, and MembersOutdated tells whether
// a newer one exists.
func TestMembershipIsBounded(t *testing.T) {
	l := New([]string{"seed"}, logger.Logger{})
	defer l.Close()
	for revision := range uint64(100) {
		l.Update(ReplicaStatus{NotLeader: true, Revision: revision + 1, Members: []string{fmt.Sprintf("replica-%d", revision)}})
	}
	known := l.Status()
	if len(known.Members) != maxMembers || known.Members[0] != "replica-99" {
		t.Errorf("%d members are known, the first is %s", len(known.Members), known.Members[0])
	}
	if l.MembersOutdated() {
		t.Error("the newest membership is known but counts as outdated")
	}
	l.Update(ReplicaStatus{NotLeader: true, Revision: 101})
	if !l.MembersOutdated() {
		t.Error("a newer membership was reported but the known one does not count as outdated")
	}
}

// resendable is a request that records whether the locator marked it.
type resendable struct {
	Resent bool `cbor:"1,keyasint,omitempty"`
}

func (r *resendable) MarkResent() { r.Resent = true }

// TestRefusalAfterLostAttemptIsUndecided loses the answer to the first attempt of a call. The second attempt must say that
// there was one, and the call must end at once, as sent, when the leader says that it cannot decide.
func TestRefusalAfterLostAttemptIsUndecided(t *testing.T) {
	var attempts atomic.Int32
	leader := serve(t, func(_ context.Context, r *resendable) (*response, error) {
		if attempts.Add(1) == 1 {
			return nil, errors.New("the answer is lost")
		}
		if !r.Resent {
			return &response{Name: "refused"}, nil
		}
		return &response{Status: ReplicaStatus{NotLeader: true, Uncertain: true, Undecided: true}}, nil
	})
	l := New([]string{leader}, logger.Logger{})
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got, err := Call[resendable, response](ctx, l, method, Limits{}, &resendable{})
	var failed *CallError
	if !errors.As(err, &failed) || !failed.Sent || attempts.Load() != 2 {
		t.Errorf("got %+v, error %v after %d attempts, want an error that says that the call was sent, after 2", got, err, attempts.Load())
	}
}

// TestOddAddressesDoNotHideTheLeader merges a status with odd addresses into a locator that then has to find the leader.
func TestOddAddressesDoNotHideTheLeader(t *testing.T) {
	leader := serveReplica(t, func(context.Context, *request) (*response, error) { return &response{Name: "leader"}, nil })
	for _, odd := range []string{"127.0.0.1:99999", "127.0.0.1:0", "\x7f", "%zz", "::1", ""} {
		l := New([]string{leader}, logger.Logger{})
		l.Update(ReplicaStatus{NotLeader: true, Leader: odd, Members: []string{odd}, Term: 1 << 63, Revision: 1 << 63})
		if got := l.Status(); got.Leader != "" || len(got.Members) > 0 {
			t.Errorf("%q: the locator hands out %+v, want no address", odd, got)
		}
		l.leader = odd // as set by a replica that answered
		if got, err := callOnce(t, l); err != nil || got.Name != "leader" {
			t.Errorf("%q: got %+v, error %v", odd, got, err)
		}
		l.Close()
	}
}
