package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	proposeTimeout = 5 * time.Second
	// maxTickAge is the maximum age of the node's last tick at which its view of its own leadership is used. A process
	// that was paused must not grant leases on a stale view.
	maxTickAge         = 250 * timekeeper.Millis(1)
	snapshotChunkBytes = 256 << 10
)

// Server is the control role of one process. mu guards the fields below it.
type Server struct {
	node    *replicator.Node
	machine *registrar.Machine
	clock   timekeeper.Clock
	wall    timekeeper.Clock
	log     logger.Logger
	address string

	mu           sync.Mutex
	term         uint64 // term of liveness; zero while this replica does not lead
	liveness     *Liveness
	takeoverWall timekeeper.Millis // wall clock at takeover, or the state's time if that is later
	takeover     timekeeper.Millis // monotonic clock at takeover
}

// NewServer returns the control role for a running node. Other processes reach it at address.
func NewServer(node *replicator.Node, machine *registrar.Machine, address string, log logger.Logger) *Server {
	return &Server{
		node: node, machine: machine, address: address, log: log,
		clock: timekeeper.Monotonic{}, wall: timekeeper.Wall{},
	}
}

// Register adds the control service to a gRPC server that uses encoder.Codec.
func (s *Server) Register(server *grpc.Server) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			encoder.Unary(methodPropose, s.propose),
			encoder.Unary(methodHeartbeat, s.heartbeat),
			encoder.Unary(methodRead, s.read),
			encoder.Unary(methodProbe, s.probe),
			encoder.Unary(methodJoin, s.join),
			encoder.Unary(methodSeat, s.changeSeats),
			encoder.Unary(methodStatus, s.status),
		},
		Streams: []grpc.StreamDesc{encoder.Stream(methodFollow, s.follow)},
	}, s)
}

func (s *Server) leadership() Leadership {
	status := s.node.Status()
	leadership := Leadership{Term: status.Term, NotLeader: status.Role != replicator.Leader}
	if m, ok := status.Members.Member(status.Leader); ok {
		leadership.Leader = m.Address
	}
	return leadership
}

// leaderLiveness returns the Liveness of the current term and true while this replica leads. It starts a new one in
// each term. The caller holds mu.
func (s *Server) leaderLiveness() (*Liveness, bool) {
	status := s.node.Status()
	if status.Role != replicator.Leader {
		s.term, s.liveness = 0, nil
		return nil, false
	}
	if s.term != status.Term {
		now := s.clock.Now()
		s.term, s.liveness, s.takeover = status.Term, NewLiveness(now), now
		s.takeoverWall = max(s.wall.Now(), s.machine.State().Now)
	}
	return s.liveness, true
}

// logTime returns the wall clock at takeover plus the monotonic time since then, so that later jumps of the wall clock
// have no effect. The caller holds mu.
func (s *Server) logTime() timekeeper.Millis { return s.takeoverWall + s.clock.Now() - s.takeover }

func (s *Server) propose(ctx context.Context, r *ProposeRequest) (*ProposeResponse, error) {
	var command registrar.Command
	if err := encoder.Unmarshal(r.Command, &command); err != nil {
		return nil, fmt.Errorf("read command: %w", err)
	}
	return s.submit(ctx, command)
}

// submit sets a command's time and version and proposes it.
func (s *Server) submit(ctx context.Context, command registrar.Command) (*ProposeResponse, error) {
	s.mu.Lock()
	liveness, leads := s.leaderLiveness()
	if leads && command.Attach != nil {
		liveness.AgentAttached(s.clock.Now(), command.Attach.ID)
	}
	command.At, command.Version = s.logTime(), registrar.Version
	s.mu.Unlock()
	response := &ProposeResponse{Leadership: s.leadership()}
	if !leads {
		response.Leadership.NotLeader = true
		return response, nil
	}
	data, err := encoder.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := s.node.Propose(ctx, data)
	switch {
	case err == nil:
		response.Answer = answer.(registrar.Answer)
	case errors.Is(err, replicator.ErrNotLeader):
		response.Leadership = s.leadership()
		response.Leadership.NotLeader = true
	case errors.Is(err, replicator.ErrOverloaded):
		response.Overload = true
	default:
		response.Uncertain = true
	}
	return response, nil
}

// heartbeat answers an entry's heartbeat. It denies leadership if this replica's view is stale or the entry has seen a
// later term.
func (s *Server) heartbeat(_ context.Context, r *HeartbeatRequest) (*HeartbeatResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	liveness, leads := s.leaderLiveness()
	leadership := s.leadership()
	if !leads || !s.tickIsRecent() || leadership.Term < r.Term {
		leadership.NotLeader = true
		return &HeartbeatResponse{Leadership: leadership, Serial: r.Serial}, nil
	}
	response := liveness.HandleHeartbeat(s.clock.Now(), *r, s.machine.State())
	response.Leadership, response.CommitIndex = leadership, s.node.Status().CommitIndex
	return &response, nil
}

// tickIsRecent reports whether the node's view of its own leadership is recent enough to be used.
func (s *Server) tickIsRecent() bool { return s.clock.Now()-s.node.LastTick() < maxTickAge }

func (s *Server) read(ctx context.Context, _ *ReadRequest) (*ReadResponse, error) {
	index, err := s.node.Read(ctx)
	response := &ReadResponse{Leadership: s.leadership(), Index: index}
	if err != nil {
		response.Leadership.NotLeader = true
	}
	return response, nil
}

func (s *Server) probe(context.Context, *ProbeRequest) (*ProbeResponse, error) {
	return &ProbeResponse{ID: s.node.ID(), HasCluster: len(s.node.Status().Members.Members) > 0}, nil
}

// follow streams the committed log. Every replica serves it, which keeps this traffic off the leader.
func (s *Server) follow(stream grpc.ServerStream) error {
	var r FollowRequest
	if err := stream.RecvMsg(&r); err != nil {
		return fmt.Errorf("read follow request: %w", err)
	}
	for {
		entries, snapshot, changed := s.node.Committed(r.After)
		switch {
		case snapshot != nil:
			if err := sendSnapshot(stream, snapshot.Index, snapshot.Data); err != nil {
				return err
			}
			r.After = snapshot.Index
		case len(entries) > 0:
			if err := stream.SendMsg(&FollowItem{Entries: entries}); err != nil {
				return fmt.Errorf("send entries: %w", err)
			}
			r.After = entries[len(entries)-1].Index
		default:
			select {
			case <-changed:
			case <-stream.Context().Done():
				return stream.Context().Err()
			case <-s.node.Done():
				return replicator.ErrStopped
			}
		}
	}
}

func sendSnapshot(stream grpc.ServerStream, index uint64, data []byte) error {
	for {
		n := min(len(data), snapshotChunkBytes)
		item := &FollowItem{SnapshotIndex: index, Snapshot: data[:n], SnapshotLast: n == len(data)}
		if err := stream.SendMsg(item); err != nil {
			return fmt.Errorf("send snapshot: %w", err)
		}
		if item.SnapshotLast {
			return nil
		}
		data = data[n:]
	}
}

func (s *Server) status(context.Context, *StatusRequest) (*StatusResponse, error) {
	status := s.node.Status()
	response := &StatusResponse{
		Leadership: s.leadership(), Self: s.address, Role: status.Role.String(), CommitIndex: status.CommitIndex, LastIndex: status.LastIndex,
		Members: status.Members.Members, Seats: status.Members.Seats,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if liveness, leads := s.leaderLiveness(); leads {
		response.Entries = liveness.Entries(s.clock.Now())
	}
	return response, nil
}
