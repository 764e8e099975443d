package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/meter"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// Settings configure the control role of a deployment.
type Settings struct {
	Address      string            // at which other processes reach this replica
	Lease        timekeeper.Millis // duration granted to agents; bounded by what runners accept
	Voters       int               // target number of voters
	MinDrainTime timekeeper.Millis // minimum time left to a draining worker, even if it reports less or nothing
}

// Coordinator implements the control role on one replica.
type Coordinator struct {
	settings Settings
	node     *replicator.Node
	machine  *tracker.Machine
	log      logger.Logger
	meter    meter.Meter
	clock    timekeeper.Monotonic
	wall     timekeeper.Wall

	confirmer     confirmer
	observer      *observer
	leases        *leases
	starts        *starts
	submissions   submissions
	term          uint64            // that this replica leads, or zero; used by Lead alone
	jobsDroppedAt timekeeper.Millis // when ended jobs were last dropped; used by Lead alone
	waits         waitRecorder      // used by Lead alone
}

// New returns a coordinator for node, which must apply its log to machine.
func New(settings Settings, node *replicator.Node, machine *tracker.Machine, log logger.Logger, m meter.Meter) *Coordinator {
	return &Coordinator{
		settings: settings, node: node, machine: machine, log: log, meter: m,
		confirmer: confirmer{read: node.Read},
		observer:  newObserver(),
		leases:    newLeases(settings.Lease),
		starts:    newStarts(),
	}
}

// Register adds the coordinator's services to a gRPC server, which must use encoder.Codec.
func (c *Coordinator) Register(server *grpc.Server) {
	locator.RegisterStatus(server, c.Status)
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			encoder.Unary("Submit", c.submit),
			encoder.Unary("Call", c.call),
			encoder.Unary("Configure", c.configure),
			encoder.Unary("Read", c.read),
			encoder.Unary("Attach", c.attach),
			encoder.Unary("Watch", c.watch),
			encoder.Unary("Report", c.report),
			encoder.Unary("Leave", c.deregister),
			encoder.Unary("Join", c.join),
			encoder.Unary("Describe", c.describe),
		},
	}, c)
}

// Status returns the leader and the members that this replica knows, whether or not it leads.
func (c *Coordinator) Status() locator.ReplicaStatus {
	status := c.node.Status()
	s := locator.ReplicaStatus{NotLeader: status.Role != replicator.Leader, Term: status.Term, Revision: status.MembershipIndex}
	if leader, ok := status.Members.Member(status.Leader); ok {
		s.Leader = leader.Address
	}
	for _, o := range status.Members.Members {
		s.Members = append(s.Members, o.Address)
	}
	return s
}

// replyStatus returns the status that every reply carries. A leader reports only its term and the revision of the
// membership.
func (c *Coordinator) replyStatus() locator.ReplicaStatus {
	status := c.node.Status()
	if status.Role == replicator.Leader {
		return locator.ReplicaStatus{Term: status.Term, Revision: status.MembershipIndex}
	}
	return c.Status()
}

func (c *Coordinator) reply() locator.Reply { return locator.Reply{Status: c.replyStatus()} }

// notLeader returns the reply of a replica that does not lead, or cannot confirm that it still does.
func (c *Coordinator) notLeader() locator.Reply {
	s := c.replyStatus()
	if !s.NotLeader {
		s = locator.ReplicaStatus{NotLeader: true}
	}
	return locator.Reply{Status: s}
}

// confirm returns nil once a quorum has confirmed that this replica leads and its state includes everything that was
// committed before the call.
func (c *Coordinator) confirm(ctx context.Context) error {
	if c.node.Status().Role != replicator.Leader {
		return replicator.ErrNotLeader
	}
	return c.confirmer.confirm(ctx)
}

// propose appends a command to the log and returns the state machine's answer once the command is committed.
func (c *Coordinator) propose(ctx context.Context, command tracker.Command) (tracker.Answer, error) {
	data, err := encoder.Marshal(command)
	if err != nil {
		return tracker.Answer{}, fmt.Errorf("encode command: %w", err)
	}
	value, err := c.node.Propose(ctx, data)
	return commandAnswer(value, err)
}

// proposeInTerm is like propose, but fails unless this replica leads in the given term.
func (c *Coordinator) proposeInTerm(ctx context.Context, term uint64, command tracker.Command) (tracker.Answer, error) {
	data, err := encoder.Marshal(command)
	if err != nil {
		return tracker.Answer{}, fmt.Errorf("encode command: %w", err)
	}
	value, err := c.node.ProposeInTerm(ctx, term, data)
	return commandAnswer(value, err)
}

func commandAnswer(value any, err error) (tracker.Answer, error) {
	if err != nil {
		return tracker.Answer{}, fmt.Errorf("propose: %w", err)
	}
	answer, ok := value.(tracker.Answer)
	if !ok {
		return tracker.Answer{}, errors.New("the log entry holds no tracker command")
	}
	return answer, nil
}

// transferTimeout bounds the wait for another leader in a planned stop: about the time of an election.
const transferTimeout = time.Second

// TransferLeadership transfers leadership to another voter before a planned stop. It returns once this replica no
// longer leads, after transferTimeout, or at once if there is no other voter.
func (c *Coordinator) TransferLeadership(ctx context.Context) {
	if !c.node.TransferLeadership(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for {
		changed := c.node.Changed()
		if c.node.Status().Role != replicator.Leader {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
