package announcer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// serve serves an announcer that knows no replicas and returns its address and its locator.
func serve(t *testing.T) (string, *locator.Locator) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	l := locator.New([]string{address}, logger.Logger{})
	server := New(address, l, logger.Logger{}).Server()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Stop(); l.Close() })
	return address, l
}

// newAnnouncer returns an announcer whose settings name one seed.
func newAnnouncer(t *testing.T, seed string) *Announcer {
	t.Helper()
	l := locator.New([]string{seed}, logger.Logger{})
	t.Cleanup(l.Close)
	return New("127.0.0.1:1", l, logger.Logger{})
}

func status(term uint64, leader string, members ...string) locator.ReplicaStatus {
	return locator.ReplicaStatus{Term: term, Revision: term, Leader: leader, Members: members}
}

// TestSeedRedirectsToAnnouncedReplicas calls a process without a replica, to which replicas were announced.
func TestSeedRedirectsToAnnouncedReplicas(t *testing.T) {
	seed, _ := serve(t)
	newAnnouncer(t, seed).announce(context.Background(), status(3, "127.0.0.1:2", "127.0.0.1:2", "127.0.0.1:3"))
	client := locator.New([]string{seed}, logger.Logger{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if err := locator.FindLeader(ctx, client); err == nil {
		t.Error("a process without a replica claimed to lead")
	}
	want := []string{"127.0.0.1:2", "127.0.0.1:3"}
	if diff := cmp.Diff(want, client.Status().Members); diff != "" {
		t.Errorf("members known to the client (-want +got):\n%s", diff)
	}
}

// TestStaleAnnouncementKeepsLeader announces a leader of an earlier term to a seed.
func TestStaleAnnouncementKeepsLeader(t *testing.T) {
	seed, known := serve(t)
	announcer := newAnnouncer(t, seed)
	announcer.announce(context.Background(), status(5, "127.0.0.1:5", "127.0.0.1:5"))
	announcer.announce(context.Background(), status(4, "127.0.0.1:4", "127.0.0.1:4"))
	want := locator.ReplicaStatus{NotLeader: true, Leader: "127.0.0.1:5", Members: []string{"127.0.0.1:5", "127.0.0.1:4"}, Term: 5, Revision: 5}
	if diff := cmp.Diff(want, known.Status()); diff != "" {
		t.Errorf("status known to the seed (-want +got):\n%s", diff)
	}
}

// TestRecipients checks that a leader announces to every other seed, and a follower only to those that are not members.
func TestRecipients(t *testing.T) {
	l := locator.New([]string{"self", "member", "bare"}, logger.Logger{})
	defer l.Close()
	i := New("self", l, logger.Logger{})
	leading := locator.ReplicaStatus{Members: []string{"self", "member"}}
	following := leading
	following.NotLeader = true
	if diff := cmp.Diff([]string{"member", "bare"}, i.recipients(leading)); diff != "" {
		t.Errorf("recipients of a leader (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"bare"}, i.recipients(following)); diff != "" {
		t.Errorf("recipients of a follower (-want +got):\n%s", diff)
	}
}
