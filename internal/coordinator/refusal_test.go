package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/meter"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/replicator"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// discard is a transport of a replica that is its own quorum.
type discard struct{}

func (discard) Send(replicator.Membership, []replicator.Message) {}

// newNode returns a replica that has not been started, with an empty machine and a disk of unknown size.
func newNode(t *testing.T) (*replicator.Node, *tracker.Machine) {
	t.Helper()
	return newNodeOn(t, 0)
}

// newNodeOn is like newNode, with a disk of the given size.
func newNodeOn(t *testing.T, diskBytes int64) (*replicator.Node, *tracker.Machine) {
	t.Helper()
	j, err := journaler.OpenNamed(t.TempDir(), "a")
	if err != nil {
		t.Fatal(err)
	}
	machine := tracker.NewMachine()
	node, err := replicator.NewNode(replicator.NodeConfig{
		Journal: j, Machine: machine, Transport: discard{}, Clock: timekeeper.Monotonic{}, Seed: 1, DiskBytes: diskBytes,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() }) // nothing reads it again
	return node, machine
}

// startCoordinator returns a coordinator that leads a log of its own, and a context for calls.
func startCoordinator(t *testing.T) (*Coordinator, context.Context) {
	t.Helper()
	return startCoordinatorOn(t, 0)
}

// startCoordinatorOn is like startCoordinator, with a disk of the given size.
func startCoordinatorOn(t *testing.T, diskBytes int64) (*Coordinator, context.Context) {
	t.Helper()
	node, machine := newNodeOn(t, diskBytes)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("node: %v", err)
		}
	})
	node.BootstrapWith(InitialMembership([]string{"a"}))
	c := New(Settings{Address: "a", Lease: 1000, Voters: 1}, node, machine, logger.Logger{}, meter.Meter{})
	for c.confirm(ctx) != nil && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return c, ctx
}

// configuration returns a configuration with one queue and one workspace.
func configuration(version uint64, prefix, key string) modeler.Configuration {
	return modeler.Configuration{
		Version: version, Services: []string{"app"},
		Queues:     []modeler.Queue{{Name: "q", Host: "h", Prefix: prefix, Service: "app", MaxAttempts: 2, Stretch: 2, Target: 100}},
		Workspaces: []modeler.Workspace{{Name: "w", Keys: []string{key}}},
	}
}

// TestRetryOfTakenJobIsNotRefused submits a job, changes the configuration so that the job would be refused, and repeats
// the call. A call whose earlier attempt may have been taken must end undecided, and any other call be refused.
func TestRetryOfTakenJobIsNotRefused(t *testing.T) {
	const key, otherKey = "k", "l"
	step := modeler.Step{Count: 1, Need: modeler.Resources{Accelerators: 1}, Estimate: 100}
	impossible := modeler.Step{Count: 1, Need: modeler.Resources{Accelerators: 1000}, Estimate: 100}
	tests := []struct {
		name   string
		next   modeler.Configuration // in force when the call is repeated
		taken  bool                  // the first attempt is in the log
		open   bool                  // the first attempt is proposed, and its outcome is not known
		resent bool                  // the entry says that an earlier attempt may have arrived
		step   modeler.Step
		want   Outcome // zero if the outcome is undecided
	}{
		{name: "a revoked key, the job in the log", next: configuration(2, "/q/", otherKey), taken: true, step: step},
		{name: "a removed queue, the job in the log", next: configuration(2, "/other/", key), taken: true, step: step},
		{name: "a revoked key, the job on its way into the log", next: configuration(2, "/q/", otherKey), open: true, step: step},
		{name: "a job that no worker holds, on its way into the log", next: configuration(2, "/q/", key), open: true, step: impossible},
		{name: "a revoked key, an earlier attempt somewhere", next: configuration(2, "/q/", otherKey), resent: true, step: step},
		{name: "a revoked key, no earlier attempt", next: configuration(2, "/q/", otherKey), step: step, want: OutcomeUnauthorized},
		{name: "a removed queue, no earlier attempt", next: configuration(2, "/other/", key), step: step, want: OutcomeNoQueue},
		{name: "a job that no worker holds, no earlier attempt", next: configuration(2, "/q/", key), step: impossible, want: OutcomeRefused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, ctx := startCoordinator(t)
			first := configuration(1, "/q/", key)
			if _, err := c.propose(ctx, tracker.Command{Configure: &first}); err != nil {
				t.Fatal(err)
			}
			if test.taken {
				job := modeler.Job{ID: "job", Queue: "q", Workspace: "w", Steps: []modeler.Step{step}}
				if _, err := c.propose(ctx, tracker.Command{Submit: &job}); err != nil {
					t.Fatal(err)
				}
			}
			if test.open {
				c.submissions.begin(c.node.Status().Term, "job")
			}
			if _, err := c.propose(ctx, tracker.Command{Configure: &test.next}); err != nil {
				t.Fatal(err)
			}
			request := &SubmitRequest{Address: Address{Host: "h", Path: "/q/job", Key: key}, Steps: []modeler.Step{test.step}, Resent: test.resent}
			got, err := c.submit(ctx, request)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, got.Outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			status := got.ReplicaStatus()
			if undecided := test.want == 0; status.Undecided != undecided || status.Uncertain != undecided {
				t.Errorf("undecided %v, uncertain %v, want both %v", status.Undecided, status.Uncertain, undecided)
			}
		})
	}
}

// TestSubmissionsAreRefusedWithoutRoom fills a small disk with a configuration. It guards against replicas that take what
// their disks have no room for, and then answer nothing any more.
func TestSubmissionsAreRefusedWithoutRoom(t *testing.T) {
	const diskBytes, sourceBytes = 1 << 20, 500 << 10
	c, ctx := startCoordinatorOn(t, diskBytes)
	held := configuration(1, "/q/", "k")
	held.Source = make([]byte, sourceBytes)
	held.Queues[0].Public = true
	next := held
	next.Version = 2
	var outcomes []Outcome
	for _, sent := range []modeler.Configuration{held, next} {
		answer, err := c.configure(ctx, &ConfigureRequest{Configuration: sent})
		if err != nil {
			t.Fatal(err)
		}
		outcomes = append(outcomes, answer.Outcome)
	}
	step := modeler.Step{Count: 1, Need: modeler.Resources{Accelerators: 1}, Estimate: 100}
	if _, err := c.propose(ctx, tracker.Command{Attach: &tracker.Attach{
		Worker: "a", Incarnation: tracker.Incarnation{ID: "a"}, Profile: tracker.Profile{Service: "app", Capacity: modeler.Resources{Accelerators: 1}},
	}}); err != nil {
		t.Fatal(err)
	}
	submitted, err := c.submit(ctx, &SubmitRequest{Address: Address{Host: "h", Path: "/q/job"}, Steps: []modeler.Step{step}})
	if err != nil {
		t.Fatal(err)
	}
	outcomes = append(outcomes, submitted.Outcome)
	if diff := cmp.Diff([]Outcome{OutcomeOK, OutcomeRefused, OutcomeRefused}, outcomes); diff != "" {
		t.Errorf("outcomes of two configurations and a job (-want +got):\n%s", diff)
	}
	if submitted.Reason != noRoom || submitted.RetryAfter == 0 {
		t.Errorf("the job is refused because %q, to be sent again after %v; want %q and a time", submitted.Reason, submitted.RetryAfter, noRoom)
	}
	read, err := c.read(ctx, &ReadRequest{})
	if err != nil || read.Version != 1 || len(read.Source) != sourceBytes {
		t.Errorf("the configuration that is read has version %d and %d bytes, error %v; want the first one", read.Version, len(read.Source), err)
	}
}

// TestRepeatedCancelIsNotRefused cancels a job with a key that no workspace holds. The call is refused, unless an earlier
// attempt of it may have been taken.
func TestRepeatedCancelIsNotRefused(t *testing.T) {
	c, ctx := startCoordinator(t)
	held := configuration(1, "/q/", "k")
	if _, err := c.propose(ctx, tracker.Command{Configure: &held}); err != nil {
		t.Fatal(err)
	}
	for _, resent := range []bool{false, true} {
		request := &CallRequest{Kind: CallCancel, Address: Address{Host: "h", Path: "/q/job", Key: "revoked"}, Resent: resent}
		got, err := c.call(ctx, request)
		if err != nil {
			t.Fatal(err)
		}
		if refused := got.Outcome == OutcomeUnauthorized; refused == resent || got.ReplicaStatus().Undecided != resent {
			t.Errorf("resent %v: outcome %d, undecided %v, want a refusal only of the first attempt", resent, got.Outcome, got.ReplicaStatus().Undecided)
		}
	}
}

// TestSubmissionsForgetEarlierTerms checks that a proposal counts as open until it is settled, and in its term alone.
func TestSubmissionsForgetEarlierTerms(t *testing.T) {
	var s submissions
	s.begin(1, "a")
	s.begin(1, "a")
	s.settle(1, "a")
	if !s.open(1, "a") || s.open(1, "b") || s.open(2, "a") {
		t.Error("the job with a proposal on its way is not open, or another one is")
	}
	s.begin(2, "b")
	s.settle(1, "b")
	if s.open(2, "a") || !s.open(2, "b") {
		t.Error("a job of an earlier term is open, or an outcome of an earlier term settled a proposal")
	}
	s.settleKnown(func(id modeler.JobID) bool { return id == "b" })
	if s.open(2, "b") {
		t.Error("a job that is in the state is open")
	}
}

// The locator marks these requests.
var _ = []locator.Resendable{(*SubmitRequest)(nil), (*CallRequest)(nil)}
