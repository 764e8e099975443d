package introducer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// serve serves an introducer that knows nobody and returns its address and what it knows.
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

// newTeller returns an introducer whose settings name one seed.
func newTeller(t *testing.T, seed string) *Introducer {
	t.Helper()
	l := locator.New([]string{seed}, logger.Logger{})
	t.Cleanup(l.Close)
	return New("127.0.0.1:1", l, logger.Logger{})
}

func standing(term uint64, leader string, members ...string) locator.Standing {
	return locator.Standing{Term: term, Revision: term, Leader: leader, Members: members}
}

// TestSeedPointsOnToWhomItWasTold asks a process without a replica for a leader that it was told of.
func TestSeedPointsOnToWhomItWasTold(t *testing.T) {
	seed, _ := serve(t)
	newTeller(t, seed).announce(context.Background(), standing(3, "127.0.0.1:2", "127.0.0.1:2", "127.0.0.1:3"))
	asker := locator.New([]string{seed}, logger.Logger{})
	defer asker.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if err := locator.Hello(ctx, asker); err == nil {
		t.Error("a process without a replica claimed to lead")
	}
	want := []string{"127.0.0.1:2", "127.0.0.1:3"}
	if diff := cmp.Diff(want, asker.Standing().Members); diff != "" {
		t.Errorf("members known to the asker (-want +got):\n%s", diff)
	}
}

// TestOldNewsChangesNoLeader tells a seed of a leader whose term is over.
func TestOldNewsChangesNoLeader(t *testing.T) {
	seed, known := serve(t)
	teller := newTeller(t, seed)
	teller.announce(context.Background(), standing(5, "127.0.0.1:5", "127.0.0.1:5"))
	teller.announce(context.Background(), standing(4, "127.0.0.1:4", "127.0.0.1:4"))
	want := locator.Standing{NotLeader: true, Leader: "127.0.0.1:5", Members: []string{"127.0.0.1:5", "127.0.0.1:4"}, Term: 5, Revision: 5}
	if diff := cmp.Diff(want, known.Standing()); diff != "" {
		t.Errorf("what the seed knows (-want +got):\n%s", diff)
	}
}

// TestAudience has leaders tell every other seed, and others only those that are no members.
func TestAudience(t *testing.T) {
	l := locator.New([]string{"self", "member", "bare"}, logger.Logger{})
	defer l.Close()
	i := New("self", l, logger.Logger{})
	leading := locator.Standing{Members: []string{"self", "member"}}
	following := leading
	following.NotLeader = true
	if diff := cmp.Diff([]string{"member", "bare"}, i.recipients(leading)); diff != "" {
		t.Errorf("a leader tells (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"bare"}, i.recipients(following)); diff != "" {
		t.Errorf("a follower tells (-want +got):\n%s", diff)
	}
}
