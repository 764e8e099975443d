package announcer

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	serviceName    = "lagoonmill.introducer"
	methodName     = "Announce"
	methodAnnounce = "/" + serviceName + "/" + methodName

	// announceInterval is the pause between two announcements to a seed. It is short against the time that a restarted
	// process has to find the replicas.
	announceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = 600 * time.Millisecond
	// refreshInterval is the pause between two checks whether a locator is out of date.
	refreshInterval = 2 * time.Second
	// refreshAfter is the time without a leader's answer after which a leader is looked for, even if there is no call
	// to make.
	refreshAfter timekeeper.Millis = 5000
	// refreshTimeout bounds one search for the leader.
	refreshTimeout = time.Second
)

// announceRequest announces the replicas that the sender knows.
type announceRequest struct {
	Status locator.ReplicaStatus `cbor:"1,keyasint"`
}

type announceResponse struct{}

// Announcer announces the control replicas to the seeds of its process and accepts announcements of other processes.
// Its locator holds the replicas that it knows.
type Announcer struct {
	self    string // address at which this process receives announcements
	locator *locator.Locator
	log     logger.Logger

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by seed
}

// New returns the announcer of a control process that receives announcements at the address self.
func New(self string, l *locator.Locator, log logger.Logger) *Announcer {
	return &Announcer{self: self, locator: l, log: log, conns: map[string]*grpc.ClientConn{}}
}

// Register adds the service that accepts announcements to a gRPC server, which must use encoder.Codec.
func (a *Announcer) Register(server *grpc.Server) {
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{encoder.Unary(methodName, a.handleAnnounce)},
	}, a)
}

func (a *Announcer) handleAnnounce(_ context.Context, r *announceRequest) (*announceResponse, error) {
	before := a.locator.Status()
	a.locator.Update(r.Status)
	if r.Status.Term > before.Term || r.Status.Revision > before.Revision {
		a.log.Log(logger.ReplicasReceived, logger.F("leader", r.Status.Leader), logger.F("term", r.Status.Term),
			logger.F("revision", r.Status.Revision), logger.F("members", r.Status.Members))
	}
	return &announceResponse{}, nil
}

// Announce sends announcements to the seeds until ctx ends. source returns what this process knows of the replicas.
// Nothing is sent while that names no members.
func (a *Announcer) Announce(ctx context.Context, source func() locator.ReplicaStatus) error {
	defer a.close()
	timekeeper.Repeat(ctx, announceInterval, func() { a.announce(ctx, source()) })
	return nil
}

// announce sends one announcement to each seed that may need it, concurrently, and waits for all.
func (a *Announcer) announce(ctx context.Context, s locator.ReplicaStatus) {
	if len(s.Members) == 0 {
		return
	}
	var sent sync.WaitGroup
	for _, seed := range a.recipients(s) {
		sent.Go(func() { a.send(ctx, seed, s) })
	}
	sent.Wait()
}

// recipients returns the other seeds that need an announcement. A leader announces to all, since a member may have lost
// its disk and with it the membership. Others skip the members.
func (a *Announcer) recipients(s locator.ReplicaStatus) []string {
	return slices.DeleteFunc(a.locator.Seeds(), func(seed string) bool {
		return seed == a.self || s.NotLeader && slices.Contains(s.Members, seed)
	})
}

func (a *Announcer) send(ctx context.Context, seed string, s locator.ReplicaStatus) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	conn, err := a.conn(seed)
	if err == nil {
		_, err = encoder.Call[announceRequest, announceResponse](ctx, conn, methodAnnounce, &announceRequest{s})
	}
	if err != nil {
		a.dropConn(seed) // the seed may be down or gone; the next announcement dials again
	}
}

func (a *Announcer) conn(seed string) (*grpc.ClientConn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if conn := a.conns[seed]; conn != nil {
		return conn, nil
	}
	conn, err := messenger.Dial(seed)
	if err == nil {
		a.conns[seed] = conn
	}
	return conn, err
}

func (a *Announcer) dropConn(seed string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if conn := a.conns[seed]; conn != nil {
		_ = conn.Close()
		delete(a.conns, seed)
	}
}

func (a *Announcer) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.conns {
		_ = conn.Close()
	}
	clear(a.conns)
}

// Server returns a gRPC server for a control process without a replica. It accepts announcements and answers every call
// meant for a replica with what it knows of the replicas.
func (a *Announcer) Server() *grpc.Server {
	server := grpc.NewServer(grpc.ForceServerCodec(encoder.Codec{}), grpc.UnknownServiceHandler(a.redirect))
	a.Register(server)
	return server
}

func (a *Announcer) redirect(_ any, stream grpc.ServerStream) error {
	var ignored struct{}
	if err := stream.RecvMsg(&ignored); err != nil {
		return err
	}
	return stream.SendMsg(&locator.StatusResponse{Reply: locator.Reply{Status: a.locator.Status()}})
}

// Refresh keeps a locator up to date until ctx ends. It looks for the leader when the membership has changed, or when no
// leader has answered for refreshAfter.
func Refresh(ctx context.Context, l *locator.Locator) error {
	timekeeper.Repeat(ctx, refreshInterval, func() {
		if l.MembersOutdated() || !l.LeaderAnsweredWithin(refreshAfter) {
			refresh(ctx, l)
		}
	})
	return nil
}

func refresh(ctx context.Context, l *locator.Locator) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_ = locator.FindLeader(ctx, l) // the locator logs the loss of the leader
}
