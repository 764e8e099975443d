package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

// Errors of calls to the control replicas.
var (
	ErrUnavailable = errors.New("no control replica is known to lead")
	ErrUncertain   = errors.New("the command may or may not take effect")
)

const (
	retryInterval = 50 * time.Millisecond
	callTimeout   = 2 * time.Second
	// heartbeatTimeout is short, so that an entry cut off from the leader tries another replica before its lease
	// expires.
	heartbeatTimeout = 700 * time.Millisecond
)

// Client calls the control replicas and finds the leader among them. It is safe for concurrent use. mu guards the
// fields below it.
type Client struct {
	seats []string

	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn
	leader   string
	nextSeat int
}

// NewClient returns a client of the control replicas at the given seat addresses.
func NewClient(seats []string) *Client {
	return &Client{seats: seats, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections. A later call opens new ones.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// conn returns the connection to address and opens it on first use.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := messenger.Dial(address)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// pickReplica returns the address of the presumed leader, or else the next seat in turn.
func (c *Client) pickReplica() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.nextSeat++
	return c.seats[c.nextSeat%len(c.seats)]
}

// updateLeader records the leadership that the replica at asked has reported; nil stands for a failed call.
func (c *Client) updateLeader(asked string, reported *Leadership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case reported == nil:
		if c.leader == asked {
			c.leader = ""
		}
	case !reported.NotLeader:
		c.leader = asked
	case reported.Leader != asked:
		c.leader = reported.Leader
	default:
		c.leader = ""
	}
}

// callLeader calls the presumed leader once, with a timeout of callTimeout.
func callLeader[Req, Resp any](ctx context.Context, c *Client, method string, r *Req, leadership func(*Resp) *Leadership) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := c.pickReplica()
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	response, err := encoder.Call[Req, Resp](ctx, conn, "/"+serviceName+"/"+method, r)
	if err != nil {
		c.updateLeader(address, nil)
		return nil, err
	}
	c.updateLeader(address, leadership(response))
	return response, nil
}

// Propose commits a command and returns its answer. It retries until a leader accepts the command, or returns
// ErrUnavailable when ctx ends. It returns ErrUncertain if the command may have been accepted without an answer. The
// caller may then resend a command with an ID.
func (c *Client) Propose(ctx context.Context, command registrar.Command) (registrar.Answer, error) {
	data, err := encoder.Marshal(command)
	if err != nil {
		return registrar.Answer{}, fmt.Errorf("encode command: %w", err)
	}
	leadership := func(r *ProposeResponse) *Leadership { return &r.Leadership }
	for {
		response, err := callLeader(ctx, c, methodPropose, &ProposeRequest{Command: data}, leadership)
		switch {
		case err != nil && !messenger.Unsent(err):
			return registrar.Answer{}, fmt.Errorf("%w: %w", ErrUncertain, err)
		case err == nil && response.Uncertain:
			return registrar.Answer{}, ErrUncertain
		case err == nil && !response.Leadership.NotLeader && !response.Overload:
			return response.Answer, nil
		}
		if err := waitRetry(ctx); err != nil {
			return registrar.Answer{}, err
		}
	}
}

// ProposeWithRetry proposes a command with an ID and resends it until there is an answer or ctx ends. The command is
// applied at most once.
func (c *Client) ProposeWithRetry(ctx context.Context, command registrar.Command) (registrar.Answer, error) {
	if command.ID == "" {
		return registrar.Answer{}, errors.New("a command without an id cannot be retried")
	}
	for {
		answer, err := c.Propose(ctx, command)
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		if err := waitRetry(ctx); err != nil {
			return registrar.Answer{}, fmt.Errorf("%w: %w", ErrUncertain, err)
		}
	}
}

func waitRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	case <-time.After(retryInterval):
		return nil
	}
}

// Heartbeat sends an entry's heartbeat to the leader. It does not retry, since the next one is due after
// HeartbeatInterval. The response is not nil if the replica answered that it does not lead.
func (c *Client) Heartbeat(ctx context.Context, r *HeartbeatRequest) (*HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := callLeader(ctx, c, methodHeartbeat, r, func(r *HeartbeatResponse) *Leadership { return &r.Leadership })
	if err != nil {
		return nil, fmt.Errorf("send heartbeat to leader: %w", err)
	}
	if response.Leadership.NotLeader {
		return response, ErrUnavailable
	}
	return response, nil
}

// Read returns the index that a state must have applied for a linearizable read. It retries until ctx ends.
func (c *Client) Read(ctx context.Context) (uint64, error) {
	for {
		response, err := callLeader(ctx, c, methodRead, &ReadRequest{}, func(r *ReadResponse) *Leadership { return &r.Leadership })
		if err == nil && !response.Leadership.NotLeader {
			return response.Index, nil
		}
		if err := waitRetry(ctx); err != nil {
			return 0, err
		}
	}
}

// ChangeSeat adds or removes a seat of the cluster. It retries until ctx ends, unless the leader refuses.
func (c *Client) ChangeSeat(ctx context.Context, r *SeatRequest) error {
	for {
		response, err := callLeader(ctx, c, methodSeat, r, func(r *JoinResponse) *Leadership { return &r.Leadership })
		if err == nil && response.Refused != "" {
			return errors.New(response.Refused)
		}
		if err == nil && !response.Leadership.NotLeader {
			return nil
		}
		if err := waitRetry(ctx); err != nil {
			return err
		}
	}
}

// Status returns the leader's view of the cluster. It retries until ctx ends.
func (c *Client) Status(ctx context.Context) (*StatusResponse, error) {
	for {
		response, err := callLeader(ctx, c, methodStatus, &StatusRequest{}, func(r *StatusResponse) *Leadership { return &r.Leadership })
		if err == nil && !response.Leadership.NotLeader {
			return response, nil
		}
		if err := waitRetry(ctx); err != nil {
			return nil, err
		}
	}
}

// Follow opens a stream of the committed log after an index, from the replica at seat number seat modulo the number of
// seats. The stream ends with ctx.
func (c *Client) Follow(ctx context.Context, seat int, after uint64) (*FollowStream, error) {
	conn, err := c.conn(c.seats[seat%len(c.seats)])
	if err != nil {
		return nil, err
	}
	stream, err := encoder.OpenStream(ctx, conn, "/"+serviceName+"/"+methodFollow)
	if err != nil {
		return nil, fmt.Errorf("open log stream: %w", err)
	}
	if err := stream.SendMsg(&FollowRequest{After: after}); err != nil {
		return nil, fmt.Errorf("send follow request: %w", err)
	}
	if err := stream.CloseSend(); err != nil {
		return nil, fmt.Errorf("close send side of log stream: %w", err)
	}
	return &FollowStream{stream: stream}, nil
}

// FollowStream reads the committed log. It reassembles the chunks of snapshots.
type FollowStream struct {
	stream grpc.ClientStream
	data   []byte
}

// Next returns the next entries or a complete snapshot that replaces the state so far.
func (f *FollowStream) Next() (*FollowItem, error) {
	for {
		item := &FollowItem{}
		if err := f.stream.RecvMsg(item); err != nil {
			return nil, fmt.Errorf("read log stream: %w", err)
		}
		if item.SnapshotIndex == 0 {
			return item, nil
		}
		f.data = append(f.data, item.Snapshot...)
		if item.SnapshotLast {
			item.Snapshot, f.data = f.data, nil
			return item, nil
		}
	}
}
