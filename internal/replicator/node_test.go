package replicator

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// counter is a state machine that sums the values of its commands.
type counter struct {
	mu    sync.Mutex
	total uint64
}

func (c *counter) Apply(_ uint64, command []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += binary.BigEndian.Uint64(command)
	return c.total
}

func (c *counter) Capture() func() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data := binary.BigEndian.AppendUint64(nil, c.total)
	return func() ([]byte, error) { return data, nil }
}

func (c *counter) Restore(_ uint64, data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = binary.BigEndian.Uint64(data)
	return nil
}

func (c *counter) Check(data []byte) error {
	if len(data) != 8 {
		return errors.New("not a total")
	}
	return nil
}

// localTransport delivers messages between nodes of one process. mu guards nodes.
type localTransport struct {
	mu    sync.Mutex
	nodes map[ReplicaID]*Node
}

func (t *localTransport) Send(_ Membership, messages []Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		if n := t.nodes[m.To]; n != nil {
			n.Receive(m)
		}
	}
}

// group is a running set of nodes with journals on disk.
type group struct {
	nodes  []*Node
	cancel context.CancelFunc
}

func startGroup(tb testing.TB, n int, snapshotEvery uint64) *group {
	transport := &localTransport{nodes: map[ReplicaID]*Node{}}
	ctx, cancel := context.WithCancel(context.Background())
	g := &group{cancel: cancel}
	for i := range n {
		node := startNode(tb, ctx, transport, tb.TempDir(), uint64(i), snapshotEvery)
		g.nodes = append(g.nodes, node)
	}
	g.nodes[0].Bootstrap("n0", []string{"n0", "n1", "n2"})
	leader := g.leader(tb)
	for i, node := range g.nodes[1:] {
		learner := Member{ID: node.ID(), Address: fmt.Sprint("n", i+1)}
		for _, change := range []func(Membership) Membership{
			func(m Membership) Membership { return m.WithLearner(learner.ID, learner.Address) },
			func(m Membership) Membership { next, _ := m.Promote(learner); return next },
		} {
			g.changeMembership(tb, leader, change)
		}
	}
	return g
}

func startNode(tb testing.TB, ctx context.Context, transport *localTransport, dir string, seed, snapshotEvery uint64) *Node {
	j, err := journaler.Open(dir)
	if err != nil {
		tb.Fatal(err)
	}
	node, err := NewNode(NodeConfig{
		Journal: j, Machine: &counter{}, Transport: transport, Clock: timekeeper.Monotonic{}, Seed: seed, SnapshotEvery: snapshotEvery,
	})
	if err != nil {
		tb.Fatal(err)
	}
	transport.mu.Lock()
	transport.nodes[node.ID()] = node
	transport.mu.Unlock()
	runErr := make(chan error, 1)
	go func() { runErr <- node.Run(ctx) }()
	tb.Cleanup(func() {
		if err := <-runErr; err != nil {
			tb.Errorf("node: %v", err)
		}
		_ = j.Close()
	})
	return node
}

func (g *group) changeMembership(tb testing.TB, leader *Node, change func(Membership) Membership) {
	for range 200 {
		err := leader.ChangeMembership(context.Background(), func(m Membership) (Membership, error) { return change(m), nil })
		if err == nil {
			return
		}
		if !errors.Is(err, ErrChangePending) {
			tb.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	tb.Fatal("another membership change was still in progress after 200 attempts")
}

func (g *group) leader(tb testing.TB) *Node {
	for range 1000 {
		for _, n := range g.nodes {
			if n.Status().Role == Leader {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatal("no leader within 10 s")
	return nil
}

// read returns an index that a quorum confirmed. It retries with the next leader after ErrNotLeader and fails the test
// on any other error.
func (g *group) read(tb testing.TB) uint64 {
	for range 100 {
		index, err := g.leader(tb).Read(context.Background())
		if err == nil {
			return index
		}
		if !errors.Is(err, ErrNotLeader) {
			tb.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatal("no leader confirmed a read")
	return 0
}

// TestNodesAgreeAcrossSnapshotsAndLeadershipTransfer proposes from many goroutines during snapshots and a leadership
// transfer. It checks by the totals that every node applied each acknowledged command once.
func TestNodesAgreeAcrossSnapshotsAndLeadershipTransfer(t *testing.T) {
	g := startGroup(t, 3, 50)
	defer g.cancel()
	const writers, each = 8, 60
	var wait sync.WaitGroup
	var mu sync.Mutex
	acked, uncertain := uint64(0), uint64(0)
	for range writers {
		wait.Go(func() {
			for range each {
				_, err := g.leader(t).Propose(context.Background(), binary.BigEndian.AppendUint64(nil, 1))
				mu.Lock()
				if err == nil {
					acked++
				} else if errors.Is(err, ErrUncertain) {
					uncertain++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	if !g.leader(t).TransferLeadership(context.Background()) {
		t.Error("leadership transfer found no suitable voter")
	}
	wait.Wait()
	index := g.read(t)
	for _, n := range g.nodes {
		for range 500 {
			if n.view.Load().applied >= index {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		c := n.machine.(*counter)
		c.mu.Lock()
		total := c.total
		c.mu.Unlock()
		if total < acked || total > acked+uncertain {
			t.Errorf("a node applied %d commands; %d were acknowledged and %d are uncertain", total, acked, uncertain)
		}
	}
}

// BenchmarkCommit measures commits on three nodes with journals on disk, by the number of concurrent proposers.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprint("proposers=", proposers), func(b *testing.B) {
			g := startGroup(b, 3, 0)
			defer g.cancel()
			leader := g.leader(b)
			command := binary.BigEndian.AppendUint64(nil, 1)
			h := hdr.New(1, int64(10*time.Second), 3)
			var mu sync.Mutex
			work := make(chan struct{})
			var wait sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				wait.Go(func() {
					for range work {
						start := time.Now()
						if _, err := leader.Propose(context.Background(), command); err != nil {
							b.Error(err)
						}
						mu.Lock()
						_ = h.RecordValue(int64(time.Since(start)))
						mu.Unlock()
					}
				})
			}
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			wait.Wait()
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
		})
	}
}

// BenchmarkRestart measures opening a journal and restoring its state, by the number of entries, with and without a
// snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []uint64{1_000, 10_000, 100_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%v", entries, snapshot), func(b *testing.B) {
				dir := b.TempDir()
				fillJournal(b, dir, entries, snapshot)
				b.ResetTimer()
				for range b.N {
					j, err := journaler.Open(dir)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := NewNode(NodeConfig{Journal: j, Machine: &counter{}, Transport: &localTransport{}, Clock: timekeeper.Monotonic{}}); err != nil {
						b.Fatal(err)
					}
					_ = j.Close()
				}
			})
		}
	}
}

func fillJournal(b *testing.B, dir string, entries uint64, snapshot bool) {
	const perBatch, bytes = 100, 300
	j, err := journaler.Open(dir)
	if err != nil {
		b.Fatal(err)
	}
	for i := uint64(1); i <= entries; i += perBatch {
		batch := journaler.Batch{State: journaler.HardState{Term: 1}}
		for k := i; k < i+perBatch; k++ {
			batch.Entries = append(batch.Entries, journaler.Entry{Index: k, Term: 1, Data: make([]byte, bytes)})
		}
		if err := j.Append(batch); err != nil {
			b.Fatal(err)
		}
	}
	if snapshot {
		if err := j.SaveSnapshot(journaler.Snapshot{Index: entries, Term: 1, Data: make([]byte, 8)}); err != nil {
			b.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		b.Fatal(err)
	}
}

// TestSnapshotThatCannotBeRestoredEndsNoReplica sends a replica a snapshot whose data is no state.
func TestSnapshotThatCannotBeRestoredEndsNoReplica(t *testing.T) {
	g := startGroup(t, 1, 0)
	defer g.cancel()
	node := g.nodes[0]
	members := Membership{Members: []Member{{ID: 7, Address: "a", Voter: true}}}
	node.Receive(Message{
		Kind: SnapshotRequest, From: 7, To: node.ID(), Term: node.Status().Term + 1,
		Snapshot: &journaler.Snapshot{Index: 1000, Term: 1, Members: members.encode(), Data: []byte("odd")},
	})
	time.Sleep(100 * time.Millisecond)
	if g.read(t); node.Refused() != 1 {
		t.Errorf("%d messages refused, want 1", node.Refused())
	}
}

// TestNodeRetriesWritesWhileDiskIsFull makes three writes fail with ErrDiskFull. It guards against a node that stops on
// a full disk instead of continuing once there is free space.
func TestNodeRetriesWritesWhileDiskIsFull(t *testing.T) {
	j, err := journaler.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	node, err := NewNode(NodeConfig{Journal: j, Machine: &counter{}, Transport: &localTransport{}, Clock: timekeeper.Monotonic{}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	const refusals = 3
	refused := make(chan struct{}, refusals)
	node.append = func(b journaler.Batch) error {
		if len(b.Entries) > 0 && b.Entries[0].Kind == EntryCommand {
			select {
			case refused <- struct{}{}:
				return fmt.Errorf("write record: %w", journaler.ErrDiskFull)
			default:
			}
		}
		return j.Append(b)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Errorf("node: %v", err)
		}
		_ = j.Close()
	})
	node.Bootstrap("n0", []string{"n0"})
	(&group{nodes: []*Node{node}}).leader(t)
	got, err := node.Propose(ctx, binary.BigEndian.AppendUint64(nil, 7))
	if err != nil || got != uint64(7) {
		t.Fatalf("Propose = %v, %v; want 7, nil", got, err)
	}
	if len(refused) != refusals {
		t.Errorf("%d writes were refused, want %d", len(refused), refusals)
	}
}
