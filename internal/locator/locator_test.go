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

type ask struct{}

type answer struct {
	Status Standing `cbor:"1,keyasint"`
	Name   string   `cbor:"2,keyasint"`
}

func (a answer) ReplicaStatus() Standing { return a.Status }

const method = "/test/Ask"

// serveReplica serves one replica that answers as its function says, and greets as standing says if that is given.
func serveReplica(t *testing.T, handle func(context.Context, *ask) (*answer, error), standing ...func() Standing) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}))
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "test", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{encoder.Unary("Ask", handle)},
	}, nil)
	for _, greet := range standing {
		RegisterStatus(server, greet)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func callOnce(t *testing.T, l *Locator) (answer, error) {
	t.Helper()
	const patience = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return Call[ask, answer](ctx, l, method, Limits{}, &ask{})
}

// TestLeaderIsFound starts from a replica that does not lead and from an address where nobody answers.
func TestLeaderIsFound(t *testing.T) {
	leader := serveReplica(t, func(context.Context, *ask) (*answer, error) { return &answer{Name: "leader"}, nil })
	follower := serveReplica(t, func(context.Context, *ask) (*answer, error) {
		return &answer{Status: Standing{NotLeader: true, Leader: leader, Members: []string{leader}}}, nil
	})
	l := New([]string{"127.0.0.1:1", follower}, logger.Logger{})
	defer l.Close()
	got, err := callOnce(t, l)
	if err != nil || got.Name != "leader" {
		t.Fatalf("got %+v, error %v", got, err)
	}
	if !l.HeardWithin(1000) {
		t.Error("the leader's answer was not noted")
	}
}

// TestSilentLeaderIsLeft has the known leader stop answering; the call goes to another one.
func TestSilentLeaderIsLeft(t *testing.T) {
	silent := make(chan struct{})
	defer close(silent)
	first := true
	old := serveReplica(t, func(ctx context.Context, _ *ask) (*answer, error) {
		if first {
			first = false
			return &answer{Name: "old"}, nil
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
	l.SetSeeds([]string{serveReplica(t, func(context.Context, *ask) (*answer, error) { return &answer{Name: "next"}, nil })})
	got, err := callOnce(t, l)
	if err != nil || got.Name != "next" {
		t.Fatalf("got %+v, error %v", got, err)
	}
}

// TestNoLeaderIsAnError ends with the caller's time, and tells whether a replica may have taken the call.
func TestNoLeaderIsAnError(t *testing.T) {
	follower := serveReplica(t, func(context.Context, *ask) (*answer, error) {
		return &answer{Status: Standing{NotLeader: true}}, nil
	})
	loser := serveReplica(t, func(context.Context, *ask) (*answer, error) {
		return &answer{Status: Standing{NotLeader: true, Uncertain: true}}, nil
	})
	mute := serveReplica(t, func(ctx context.Context, _ *ask) (*answer, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	tests := []struct {
		name, address string
		sent          bool
	}{
		{"nobody listens", "127.0.0.1:1", false},
		{"it does not lead", follower, false},
		{"it lost its leadership with the call on its log", loser, true},
		{"it does not answer", mute, true},
	}
	for _, test := range tests {
		l := New([]string{test.address}, logger.Logger{})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := Call[ask, answer](ctx, l, method, Limits{}, &ask{})
		var failed *CallError
		if !errors.Is(err, ErrUnavailable) || !errors.As(err, &failed) || failed.Sent != test.sent {
			t.Errorf("%s: error %v, want sent %v", test.name, err, test.sent)
		}
		cancel()
		l.Close()
	}
}

// TestCallIsNotSentToASilentLeader has the known leader fall silent. A call that must not be left undecided does not
// go out to it, so that the caller may be told that it was not taken; it goes to the next leader under Greet.
func TestCallIsNotSentToASilentLeader(t *testing.T) {
	var silent atomic.Bool
	var asked atomic.Int32
	old := serveReplica(t, func(ctx context.Context, _ *ask) (*answer, error) {
		asked.Add(1)
		if silent.Load() {
			<-ctx.Done()
		}
		return &answer{Name: "old"}, ctx.Err()
	}, func() Standing {
		for silent.Load() {
			time.Sleep(time.Millisecond)
		}
		return Standing{}
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
	_, err := Call[ask, answer](ctx, l, method, Limits{Unsent: 300 * time.Millisecond, Greet: true}, &ask{})
	var failed *CallError
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error %v, want one that says that nothing was sent", err)
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("the silent leader got %d calls, want the first alone", n)
	}
	l.SetSeeds([]string{serveReplica(t, func(context.Context, *ask) (*answer, error) { return &answer{Name: "next"}, nil },
		func() Standing { return Standing{Term: 2} })})
	got, err := Call[ask, answer](ctx, l, method, Limits{Greet: true}, &ask{})
	if err != nil || got.Name != "next" {
		t.Errorf("got %+v, error %v", got, err)
	}
}

// TestCallsEndAtOnceOnceTheLeaderIsLongLost has the second of two calls wait no longer than one look takes.
func TestCallsEndAtOnceOnceTheLeaderIsLongLost(t *testing.T) {
	l := New([]string{"127.0.0.1:1"}, logger.Logger{})
	defer l.Close()
	l.recordStatus("127.0.0.1:1", Standing{Term: 1})
	const span = 600 * timekeeper.Millis(1)
	l.recordFailure("127.0.0.1:1", false)
	began := l.lostSince
	if l.searchTimedOut(began, span) {
		t.Error("the search ends before it has begun")
	}
	l.lostSince -= 2 * span // the leader was lost long ago
	if now := l.clock.Now(); l.searchTimedOut(now, span) || !l.searchTimedOut(now-timekeeper.FromDuration(minSearchTime), span) {
		t.Error("a search for a leader that was lost long ago is not as short as a search may be")
	}
	l.recordStatus("127.0.0.1:1", Standing{Term: 2})
	if l.searchTimedOut(began-span, span) {
		t.Error("the search is given up although a leader has answered")
	}
}

// TestSearchEndsEarlyWhileNothingWasSent ends long before the caller's time where no replica takes the call.
func TestSearchEndsEarlyWhileNothingWasSent(t *testing.T) {
	l := New([]string{"127.0.0.1:1"}, logger.Logger{})
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := Call[ask, answer](ctx, l, method, Limits{Unsent: 50 * time.Millisecond}, &ask{})
	if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		t.Errorf("error %v, context %v", err, ctx.Err())
	}
}

// TestMembershipIsBounded learns many generations of replicas; the newest are kept, and those that are behind are
// told from those that are not.
func TestMembershipIsBounded(t *testing.T) {
	l := New([]string{"seed"}, logger.Logger{})
	defer l.Close()
	for revision := range uint64(100) {
		l.Update(Standing{NotLeader: true, Revision: revision + 1, Members: []string{fmt.Sprintf("replica-%d", revision)}})
	}
	known := l.Standing()
	if len(known.Members) != maxMembers || known.Members[0] != "replica-99" {
		t.Errorf("%d members are known, the first is %s", len(known.Members), known.Members[0])
	}
	if l.MembersOutdated() {
		t.Error("the locator holds the newest membership and thinks itself behind")
	}
	l.Update(Standing{NotLeader: true, Revision: 101})
	if !l.MembersOutdated() {
		t.Error("a newer membership exists and the locator does not know")
	}
}
