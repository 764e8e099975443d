package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

type empty struct{}

// TestUnsentReportsCallsNeverHandedToAConnection makes calls that fail before, during and after connecting.
func TestUnsentReportsCallsNeverHandedToAConnection(t *testing.T) {
	release := make(chan struct{})
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}))
	server.RegisterService(&grpc.ServiceDesc{ServiceName: "test", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
		encoder.Unary("Hold", func(context.Context, *empty) (*empty, error) {
			<-release
			return &empty{}, nil
		}),
	}}, nil)
	serving := listen(t)
	go func() { _ = server.Serve(serving) }()
	defer server.Stop()
	defer close(release)
	unresponsive := listen(t) // the kernel accepts connections, but nothing answers on them
	closed := listen(t)
	_ = closed.Close()

	tests := []struct {
		name, address string
		abort         bool // the caller closes the connection before the deadline
		unsent        bool
	}{
		{"the server is not listening", closed.Addr().String(), false, true},
		{"the server sends no HTTP/2 preface", unresponsive.Addr().String(), false, true},
		{"the client closes the connection during the handshake", unresponsive.Addr().String(), true, true},
		{"the server does not answer the call", serving.Addr().String(), false, false},
		{"the client closes the connection before the answer", serving.Addr().String(), true, false},
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
		_, err = encoder.Call[empty, empty](ctx, conn, "/test/Hold", &empty{})
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
