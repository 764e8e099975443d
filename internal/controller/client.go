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
	ErrUnavailable = errors.New("no control replica leads now")
	ErrUncertain   = errors.New("the command may or may not take effect")
)

const (
	retryInterval = 50 * time.Millisecond
	callTimeout   = 2 * time.Second
	// roundTimeout is short, so that an entry cut off from the leader looks for another before its lease ends.
	roundTimeout = 700 * time.Millisecond
)

// Client calls the control replicas and finds the one that leads. It is safe for concurrent use; mu guards the
// connections and the guess of the leader.
type Client struct {
	seats []string

	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn
	leader   string
	nextSeat int
}

// NewClient returns a client of the replicas at the given addresses.
func NewClient(seats []string) *Client {
	return &Client{seats: seats, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// conn returns a connection to address; it is dialled when first used.
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

// pickReplica returns the replica to ask: the leader last heard of, else each seat in turn.
func (c *Client) pickReplica() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.nextSeat++
	return c.seats[c.nextSeat%len(c.seats)]
}

// updateLeader takes what a replica said about the leader, or that it did not answer.
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

// callLeader makes one call, bounded by callTimeout, of the replica that is thought to lead.
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

// Propose puts a command on the log and returns its answer. ErrUncertain is returned as soon as the command may
// have been taken without an answer; a command with an ID may then be proposed again.
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

// ProposeAgain proposes a command with an ID until it has its answer or ctx ends; a resend is applied once.
func (c *Client) ProposeAgain(ctx context.Context, command registrar.Command) (registrar.Answer, error) {
	if command.ID == "" {
		return registrar.Answer{}, errors.New("a command without an id cannot be proposed again")
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

// Round reports to the leader; it does not try again, since the next round comes soon.
func (c *Client) Round(ctx context.Context, r *RoundRequest) (*RoundResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	response, err := callLeader(ctx, c, methodRound, r, func(r *RoundResponse) *Leadership { return &r.Standing })
	if err != nil {
		return nil, fmt.Errorf("report round: %w", err)
	}
	if response.Standing.NotLeader {
		return response, ErrUnavailable
	}
	return response, nil
}

// Read returns the index up to which a state must have been applied to be current.
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

// Seat changes the seats of the cluster through the leader.
func (c *Client) Seat(ctx context.Context, r *SeatRequest) error {
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

// Status returns the state of the cluster as the leader sees it.
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

// Follow opens a stream of the committed log after an index, from the seat with the given number.
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
		return nil, fmt.Errorf("ask for the log: %w", err)
	}
	if err := stream.CloseSend(); err != nil {
		return nil, fmt.Errorf("close request side: %w", err)
	}
	return &FollowStream{stream: stream}, nil
}

// FollowStream gives the committed log, with snapshots put together.
type FollowStream struct {
	stream grpc.ClientStream
	data   []byte
}

// Next returns the next entries, or a whole snapshot to start from.
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
