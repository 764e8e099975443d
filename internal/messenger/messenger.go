package messenger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/queuer"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

const (
	serviceName    = "lagoonmill.replica"
	deliverMethod  = "Deliver"
	snapshotMethod = "Snapshot"
	queueBatches   = 256
	queueBytes     = 8 << 20 // of the entries that wait for one peer
	chunkBytes     = 256 << 10

	// MaxMessageBytes is the largest message that a process of the system receives.
	MaxMessageBytes = 16 << 20
)

// envelope holds messages and the sender's address, which a new replica has no other way to learn.
type envelope struct {
	Address  string               `cbor:"1,keyasint"`
	Messages []replicator.Message `cbor:"2,keyasint"`
}

// chunk is a part of a snapshot. The first chunk also holds the message, without the snapshot's data.
type chunk struct {
	Address string              `cbor:"1,keyasint"`
	Message *replicator.Message `cbor:"2,keyasint,omitempty"`
	Data    []byte              `cbor:"3,keyasint"`
	Last    bool                `cbor:"4,keyasint"`
}

type snapshotAck struct{}

// Messenger is the transport of one replica. mu guards addresses, peers and lastReceived.
type Messenger struct {
	ctx         context.Context
	selfAddress string
	receive     func(replicator.Message)
	log         logger.Logger

	mu           sync.Mutex
	addresses    map[replicator.ReplicaID]string
	peers        map[string]*peer
	lastReceived map[string]time.Time // time of the last messages, by sender address
	goroutines   sync.WaitGroup

	snapshotFailures logger.Throttle
}

// New returns a messenger that gives selfAddress as the sender's address and passes each received message to receive.
// Its goroutines end when ctx is done; Wait waits for them.
func New(ctx context.Context, selfAddress string, receive func(replicator.Message), log logger.Logger) *Messenger {
	return &Messenger{
		ctx: ctx, selfAddress: selfAddress, receive: receive, log: log,
		addresses:    map[replicator.ReplicaID]string{},
		peers:        map[string]*peer{},
		lastReceived: map[string]time.Time{},
	}
}

// Register adds the messenger's service to a gRPC server that uses encoder.Codec.
func (m *Messenger) Register(server *grpc.Server) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{encoder.Unary(probeMethod, handleProbe)},
		Streams: []grpc.StreamDesc{
			encoder.Stream(deliverMethod, m.serveDeliver),
			encoder.Stream(snapshotMethod, m.serveSnapshot),
		},
	}, m)
}

// Send queues messages for their receivers. It drops messages to an unknown address or to a peer with a full queue.
func (m *Messenger) Send(members replicator.Membership, messages []replicator.Message) {
	if len(messages) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	grouped := map[string][]replicator.Message{}
	for _, msg := range messages {
		address := m.address(members, msg.To)
		if address == "" {
			continue
		}
		if msg.Snapshot != nil {
			m.startSnapshot(address, msg)
			continue
		}
		grouped[address] = append(grouped[address], msg)
	}
	for address, batch := range grouped {
		m.peer(address).enqueue(batch)
	}
}

func (m *Messenger) address(members replicator.Membership, id replicator.ReplicaID) string {
	if o, ok := members.Member(id); ok {
		return o.Address
	}
	return m.addresses[id]
}

// Wait waits until all goroutines of the messenger have ended.
func (m *Messenger) Wait() { m.goroutines.Wait() }

func (m *Messenger) peer(address string) *peer {
	if p := m.peers[address]; p != nil {
		return p
	}
	p := &peer{
		address: address, selfAddress: m.selfAddress, queue: queuer.New(queueBatches, queueBytes, batchBytes),
		lastReceivedFrom: m.lastReceivedFrom, log: m.log,
	}
	m.peers[address] = p
	m.goroutines.Go(func() { p.run(m.ctx) })
	return p
}

func (m *Messenger) setAddress(id replicator.ReplicaID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses[id] = address
}

func (m *Messenger) recordReceived(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReceived[address] = time.Now()
}

// lastReceivedFrom returns the time of the last messages from address, or zero if there were none.
func (m *Messenger) lastReceivedFrom(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastReceived[address]
}

func (m *Messenger) serveDeliver(stream grpc.ServerStream) error {
	for {
		var e envelope
		if err := stream.RecvMsg(&e); err != nil {
			return err
		}
		m.recordReceived(e.Address)
		for _, msg := range e.Messages {
			m.setAddress(msg.From, e.Address)
			m.receive(msg)
		}
	}
}

func (m *Messenger) serveSnapshot(stream grpc.ServerStream) error {
	var msg replicator.Message
	var data []byte
	for {
		var c chunk
		if err := stream.RecvMsg(&c); err != nil {
			return err
		}
		if c.Message != nil {
			msg = *c.Message
			m.setAddress(msg.From, c.Address)
		}
		data = append(data, c.Data...)
		if c.Last {
			break
		}
	}
	if msg.Snapshot == nil {
		return fmt.Errorf("no chunk of the snapshot stream holds the snapshot's message")
	}
	msg.Snapshot.Data = data
	m.receive(msg)
	return stream.SendMsg(&snapshotAck{})
}

// startSnapshot sends a snapshot in the background, on a stream of its own. The caller holds mu.
func (m *Messenger) startSnapshot(address string, msg replicator.Message) {
	m.goroutines.Go(func() {
		index := msg.Snapshot.Index
		if err := m.sendSnapshot(address, msg); err != nil && m.ctx.Err() == nil { // the leader sends it again later
			m.snapshotFailures.Log(m.log, logger.SnapshotNotSent, logger.F("address", address), logger.F("index", index), logger.F("error", err))
		}
	})
}

func (m *Messenger) sendSnapshot(address string, msg replicator.Message) error {
	c, err := openChannel(m.ctx, address)
	if err != nil {
		return err
	}
	defer c.close()
	stream, err := c.open(snapshotMethod)
	if err != nil {
		return fmt.Errorf("open snapshot stream: %w", err)
	}
	data := msg.Snapshot.Data
	header := journaler.Snapshot{Index: msg.Snapshot.Index, Term: msg.Snapshot.Term, Members: msg.Snapshot.Members}
	msg.Snapshot = &header
	first := &msg
	for {
		n := min(len(data), chunkBytes)
		if err := stream.SendMsg(&chunk{Address: m.selfAddress, Message: first, Data: data[:n], Last: n == len(data)}); err != nil {
			return fmt.Errorf("send snapshot chunk: %w", err)
		}
		if n == len(data) {
			break
		}
		first, data = nil, data[n:]
	}
	return stream.RecvMsg(&snapshotAck{})
}

// Dial returns a connection to another process of the system. It connects on first use. The error of a unary call on it
// that was never sent is an *UnsentError.
func Dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(encoder.Codec{}), grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithConnectParams(connectParams()),
		grpc.WithUnaryInterceptor(wrapUnsent),
		grpc.WithStatsHandler(sentRecorder{}))
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}
