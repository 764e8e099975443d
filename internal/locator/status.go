package locator

import (
	"context"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
)

const (
	serviceName      = "lagoonmill.locator"
	statusMethodName = "Hello"
	methodStatus     = "/" + serviceName + "/" + statusMethodName
)

// Reply is the part that all answers of replicas share; a process that is no replica may answer with it alone.
type Reply struct {
	Status Standing `cbor:"1,keyasint"`
}

// ReplicaStatus returns the standing of the replica that answered.
func (r Reply) ReplicaStatus() Standing { return r.Status }

// statusRequest asks a replica for its standing.
type statusRequest struct{}

// StatusResponse is an answer that holds nothing but the standing.
type StatusResponse struct {
	Reply `cbor:"1,keyasint"`
}

// RegisterStatus has a replica tell its standing to whoever asks. The server uses encoder.Codec.
func RegisterStatus(server *grpc.Server, standing func() Standing) {
	hello := func(context.Context, *statusRequest) (*StatusResponse, error) {
		return &StatusResponse{Reply{standing()}}, nil
	}
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{encoder.Unary(statusMethodName, hello)},
	}, nil)
}

// Hello asks for the leader until one answers or ctx ends. The answer is not confirmed by a quorum.
func Hello(ctx context.Context, l *Locator) error {
	_, err := Call[statusRequest, StatusResponse](ctx, l, methodStatus, Limits{}, &statusRequest{})
	return err
}
