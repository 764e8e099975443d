package replicator

import (
	"context"
	"encoding/binary"
	"io/fs"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/journaler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// sized is a state machine whose state has the size that the last command gives.
type sized struct{ size atomic.Uint64 }

func (s *sized) Apply(_ uint64, command []byte) any {
	s.size.Store(binary.BigEndian.Uint64(command))
	return nil
}

func (s *sized) Capture() func() ([]byte, error) {
	size := s.size.Load()
	return func() ([]byte, error) { return make([]byte, size), nil }
}

func (s *sized) Restore(_ uint64, data []byte) error {
	s.size.Store(uint64(len(data)))
	return nil
}

func (s *sized) Check([]byte) error { return nil }

// startSized starts a node that is its own quorum on a disk of the given size, and returns it with its data folder.
func startSized(t *testing.T, diskBytes int64) (*Node, string) {
	t.Helper()
	dir := t.TempDir()
	j, err := journaler.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	node, err := NewNode(NodeConfig{Journal: j, Machine: &sized{}, Transport: &localTransport{}, Clock: timekeeper.Monotonic{}, Seed: 1, DiskBytes: diskBytes})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("node: %v", err)
		}
		_ = j.Close()
	})
	node.Bootstrap("n0", []string{"n0"})
	(&group{nodes: []*Node{node}}).leader(t)
	return node, dir
}

// proposeSize proposes a command of the given length that sets the size of the state.
func proposeSize(t *testing.T, node *Node, size uint64, length int) {
	t.Helper()
	command := make([]byte, length)
	binary.BigEndian.PutUint64(command, size)
	if _, err := node.Propose(context.Background(), command); err != nil {
		t.Fatal(err)
	}
}

// TestLargeEntriesDoNotFillTheDisk proposes several times the disk's size, in fewer entries than a snapshot is taken
// after. It guards against a log that is compacted by the number of its entries alone.
func TestLargeEntriesDoNotFillTheDisk(t *testing.T) {
	const diskBytes, entryLength, entries = 64 << 20, 512 << 10, 160
	node, dir := startSized(t, diskBytes)
	most := int64(0)
	for range entries {
		proposeSize(t, node, 1000, entryLength)
		most = max(most, folderBytes(t, dir))
	}
	if most > diskBytes {
		t.Errorf("the data folder grew to %d bytes, the disk has %d", most, diskBytes)
	}
}

func folderBytes(t *testing.T, dir string) int64 {
	t.Helper()
	total := int64(0)
	err := filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if info, err := entry.Info(); err == nil && !entry.IsDir() { // a file that was removed meanwhile takes no space
			total += info.Size()
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return total
}

// TestRoomReturnsOnceTheStateShrinks guards against a replica that goes on refusing after the state has become smaller,
// since nothing large is proposed any more and no snapshot is due.
func TestRoomReturnsOnceTheStateShrinks(t *testing.T) {
	const diskBytes = 4 << 20
	node, _ := startSized(t, diskBytes)
	proposeSize(t, node, diskBytes/2, diskBytes/growthDivisor)
	waitForRoom(t, node, false)
	proposeSize(t, node, 1, 8)
	waitForRoom(t, node, true)
}

func waitForRoom(t *testing.T, node *Node, want bool) {
	t.Helper()
	for range 3000 {
		if node.HasRoom() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("HasRoom is not %v after 30 s", want)
}
