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

// Reply is the part that all responses of replicas share. A process without a replica may answer with it alone.
type Reply struct {
	Status ReplicaStatus `cbor:"1,keyasint"`
}

// ReplicaStatus returns the status of the replica that answered.
func (r Reply) ReplicaStatus() ReplicaStatus { return r.Status }

// statusRequest asks a replica for its status.
type statusRequest struct{}

// StatusResponse holds the status of a replica alone.
type StatusResponse struct {
	Reply `cbor:"1,keyasint"`
}

// RegisterStatus adds a service that returns the replica's status to a gRPC server, which must use encoder.Codec.
func RegisterStatus(server *grpc.Server, status func() ReplicaStatus) {
	handle := func(context.Context, *statusRequest) (*StatusResponse, error) {
		return &StatusResponse{Reply{status()}}, nil
	}
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{encoder.Unary(statusMethodName, handle)},
	}, nil)
}

// FindLeader asks replicas for their status until a leader answers or ctx ends. The answer is not confirmed by a quorum.
func FindLeader(ctx context.Context, l *Locator) error {
	_, err := Call[statusRequest, StatusResponse](ctx, l, methodStatus, Limits{}, &statusRequest{})
	return err
}
