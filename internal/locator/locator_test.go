package locator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

type ask struct{}

type answer struct {
	Standing Standing `cbor:"1,keyasint"`
	Name     string   `cbor:"2,keyasint"`
}

func (a answer) Place() Standing { return a.Standing }

const method = "/test/Ask"

// serveReplica serves one replica that answers as its function says.
func serveReplica(t *testing.T, handle func(context.Context, *ask) (*answer, error)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}))
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "test", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{encoder.Unary("Ask", handle)},
	}, nil)
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
		return &answer{Standing: Standing{NotLeader: true, Leader: leader, Members: []string{leader}}}, nil
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
		return &answer{Standing: Standing{NotLeader: true}}, nil
	})
	loser := serveReplica(t, func(context.Context, *ask) (*answer, error) {
		return &answer{Standing: Standing{NotLeader: true, Uncertain: true}}, nil
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
		l.Learn(Standing{NotLeader: true, Revision: revision + 1, Members: []string{fmt.Sprintf("replica-%d", revision)}})
	}
	known := l.Standing()
	if len(known.Members) != maxMembers || known.Members[0] != "replica-99" {
		t.Errorf("%d members are known, the first is %s", len(known.Members), known.Members[0])
	}
	if l.Behind() {
		t.Error("the locator holds the newest membership and thinks itself behind")
	}
	l.Learn(Standing{NotLeader: true, Revision: 101})
	if !l.Behind() {
		t.Error("a newer membership exists and the locator does not know")
	}
}
