package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

type nothing struct{}

// TestUnsentTellsWhatReachedAConnection makes calls that end at every stage of their way.
func TestUnsentTellsWhatReachedAConnection(t *testing.T) {
	release := make(chan struct{})
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}))
	server.RegisterService(&grpc.ServiceDesc{ServiceName: "test", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
		encoder.Unary("Hold", func(context.Context, *nothing) (*nothing, error) {
			<-release
			return &nothing{}, nil
		}),
	}}, nil)
	serving := listen(t)
	go func() { _ = server.Serve(serving) }()
	defer server.Stop()
	defer close(release)
	mute := listen(t) // takes connections and never says a word
	closed := listen(t)
	_ = closed.Close()

	tests := []struct {
		name, address string
		abort         bool // the caller closes the connection before the time is over
		unsent        bool
	}{
		{"nobody listens", closed.Addr().String(), false, true},
		{"the other side does not greet", mute.Addr().String(), false, true},
		{"the connection is closed while it is being made", mute.Addr().String(), true, true},
		{"the other side does not answer", serving.Addr().String(), false, false},
		{"the connection is closed before the answer", serving.Addr().String(), true, false},
	}
	for _, test := range tests {
		conn, err := Dial(test.address)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		if test.abort {
			time.AfterFunc(100*time.Millisecond, func() { _ = conn.Close() })
		}
		_, err = encoder.Call[nothing, nothing](ctx, conn, "/test/Hold", &nothing{})
		if err == nil || Unsent(err) != test.unsent {
			t.Errorf("%s: error %v, want unsent %v", test.name, err, test.unsent)
		}
		cancel()
		_ = conn.Close()
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}
