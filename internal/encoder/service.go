package encoder

import (
	"context"

	"google.golang.org/grpc"
)

// Codec is the gRPC codec of the calls between the system's own processes. Its zero value is ready to use.
type Codec struct{}

// Name returns the content subtype of the codec.
func (Codec) Name() string { return "cbor" }

// Marshal encodes one message.
func (Codec) Marshal(v any) ([]byte, error) { return Marshal(v) }

// Unmarshal decodes one message.
func (Codec) Unmarshal(data []byte, v any) error { return Unmarshal(data, v) }

// Unary returns the description of a unary method whose messages are Go structs, so that it needs no generated code.
func Unary[Req, Resp any](name string, handle func(context.Context, *Req) (*Resp, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			req := new(Req)
			if err := dec(req); err != nil {
				return nil, err
			}
			return handle(ctx, req)
		},
	}
}

// Stream returns the description of a bidirectional streaming method.
func Stream(name string, handle func(grpc.ServerStream) error) grpc.StreamDesc {
	return grpc.StreamDesc{
		StreamName:    name,
		ServerStreams: true,
		ClientStreams: true,
		Handler:       func(_ any, s grpc.ServerStream) error { return handle(s) },
	}
}

// Call calls the unary method with the given full name, such as "/control/Propose".
func Call[Req, Resp any](ctx context.Context, conn *grpc.ClientConn, method string, req *Req) (*Resp, error) {
	resp := new(Resp)
	if err := conn.Invoke(ctx, method, req, resp, grpc.ForceCodec(Codec{})); err != nil {
		return nil, err
	}
	return resp, nil
}

// OpenStream opens a bidirectional stream of the method with the given full name.
func OpenStream(ctx context.Context, conn *grpc.ClientConn, method string) (grpc.ClientStream, error) {
	desc := &grpc.StreamDesc{StreamName: method, ServerStreams: true, ClientStreams: true}
	return conn.NewStream(ctx, desc, method, grpc.ForceCodec(Codec{}))
}
