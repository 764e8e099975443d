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
	"github.com/lagoonmill/lagoonmill/internal/replicator"
)

const (
	serviceName    = "lagoonmill.replica"
	deliverMethod  = "Deliver"
	snapshotMethod = "Snapshot"
	queueBatches   = 256
	chunkBytes     = 256 << 10
)

// envelope carries messages with the sender's address, which a new replica does not know otherwise.
type envelope struct {
	Address  string               `cbor:"1,keyasint"`
	Messages []replicator.Message `cbor:"2,keyasint"`
}

// chunk is a piece of a snapshot; the first one carries the message without the snapshot's data.
type chunk struct {
	Address string              `cbor:"1,keyasint"`
	Message *replicator.Message `cbor:"2,keyasint,omitempty"`
	Data    []byte              `cbor:"3,keyasint"`
	Last    bool                `cbor:"4,keyasint"`
}

type receipt struct{}

// Messenger is the transport of one replica. Its address book and its peers are guarded by mu.
type Messenger struct {
	ctx     context.Context
	self    string
	receive func(replicator.Message)

	mu        sync.Mutex
	addresses map[replicator.ReplicaID]string
	peers     map[string]*peer
	heard     map[string]time.Time // by address, when the last messages from there arrived
	ended     sync.WaitGroup
}

// New returns a messenger that tells others to answer at self and passes what it gets to receive.
// Its goroutines end with ctx; Wait waits for them.
func New(ctx context.Context, self string, receive func(replicator.Message)) *Messenger {
	return &Messenger{
		ctx: ctx, self: self, receive: receive,
		addresses: map[replicator.ReplicaID]string{},
		peers:     map[string]*peer{},
		heard:     map[string]time.Time{},
	}
}

// Register adds the messenger's service to a gRPC server that uses encoder.Codec.
func (m *Messenger) Register(server *grpc.Server) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{
			encoder.Stream(deliverMethod, m.serveDeliver),
			encoder.Stream(snapshotMethod, m.serveSnapshot),
		},
	}, m)
}

// Send queues messages for their receivers; it drops those of a peer whose queue is full.
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

// Wait returns when every goroutine of the messenger has ended.
func (m *Messenger) Wait() { m.ended.Wait() }

func (m *Messenger) peer(address string) *peer {
	if p := m.peers[address]; p != nil {
		return p
	}
	p := &peer{address: address, self: m.self, queue: make(chan []replicator.Message, queueBatches), heard: m.lastHeard}
	m.peers[address] = p
	m.ended.Go(func() { p.run(m.ctx) })
	return p
}

func (m *Messenger) learn(id replicator.ReplicaID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses[id] = address
}

func (m *Messenger) hear(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[address] = time.Now()
}

// lastHeard returns when messages from an address last arrived; zero if never.
func (m *Messenger) lastHeard(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[address]
}

func (m *Messenger) serveDeliver(stream grpc.ServerStream) error {
	for {
		var e envelope
		if err := stream.RecvMsg(&e); err != nil {
			return err
		}
		m.hear(e.Address)
		for _, msg := range e.Messages {
			m.learn(msg.From, e.Address)
			m.receive(msg)
		}
	}
}

func (m *Messenger) serveSnapshot(stream grpc.ServerStream) error {
	var whole replicator.Message
	var data []byte
	for {
		var c chunk
		if err := stream.RecvMsg(&c); err != nil {
			return err
		}
		if c.Message != nil {
			whole = *c.Message
			m.learn(whole.From, c.Address)
		}
		data = append(data, c.Data...)
		if c.Last {
			break
		}
	}
	if whole.Snapshot == nil {
		return fmt.Errorf("snapshot stream without its message")
	}
	whole.Snapshot.Data = data
	m.receive(whole)
	return stream.SendMsg(&receipt{})
}

// startSnapshot sends a snapshot on a stream of its own; the caller holds mu.
func (m *Messenger) startSnapshot(address string, msg replicator.Message) {
	m.ended.Go(func() {
		if err := m.sendSnapshot(address, msg); err != nil {
			return // the leader asks again after a pause
		}
	})
}

func (m *Messenger) sendSnapshot(address string, msg replicator.Message) error {
	conn, err := Dial(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := encoder.OpenStream(m.ctx, conn, "/"+serviceName+"/"+snapshotMethod)
	if err != nil {
		return fmt.Errorf("open snapshot stream: %w", err)
	}
	data := msg.Snapshot.Data
	bare := journaler.Snapshot{Index: msg.Snapshot.Index, Term: msg.Snapshot.Term, Members: msg.Snapshot.Members}
	msg.Snapshot = &bare
	first := &msg
	for {
		n := min(len(data), chunkBytes)
		if err := stream.SendMsg(&chunk{Address: m.self, Message: first, Data: data[:n], Last: n == len(data)}); err != nil {
			return fmt.Errorf("send snapshot chunk: %w", err)
		}
		if n == len(data) {
			break
		}
		first, data = nil, data[n:]
	}
	return stream.RecvMsg(&receipt{})
}

// Dial returns a lazy connection to another process of the system.
func Dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(encoder.Codec{})),
		grpc.WithConnectParams(connectParams()),
		grpc.WithUnaryInterceptor(markUnsent),
		grpc.WithStatsHandler(deliveryWatcher{}))
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}
