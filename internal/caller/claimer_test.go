package caller

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

// slowLog applies commands to a state, some of them late and without an answer. mu guards the state.
type slowLog struct {
	mu     sync.Mutex
	state  registrar.State
	hold   chan struct{} // while it is open, a claim is committed only after its proposer gave up
	claims int
}

func (l *slowLog) Propose(ctx context.Context, c registrar.Command) (registrar.Answer, error) {
	if l.hold != nil && c.Requests[0].Phase == registrar.RequestClaimed {
		go func() {
			<-l.hold
			l.apply(c)
		}()
		<-ctx.Done()
		return registrar.Answer{}, errors.New("no answer")
	}
	return l.apply(c), nil
}

func (l *slowLog) apply(c registrar.Command) registrar.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, e := l.state.Apply(l.state.Index+1, c)
	l.state = next
	l.claims++
	return e.Answer
}

// TestLateClaimIsSettled loses the answer to a claim and lets the claim be committed after its end was recorded. Seen
// failing: the end found nothing and was dropped, and the id stayed claimed for as long as the entry lived.
func TestLateClaimIsSettled(t *testing.T) {
	log := &slowLog{state: registrar.New(), hold: make(chan struct{})}
	claimer := NewClaimer(log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = claimer.Run(ctx) }()
	h := NewHandler(Config{Owner: "e/1", Claimer: claimer})
	go func() { _ = h.Run(ctx) }()

	key := registrar.RequestKey{Workspace: "w", Key: "k"}
	// The id was told as not run before, so that the late claim is its second attempt.
	log.apply(registrar.Command{Requests: []registrar.RequestStep{{Key: key, Digest: []byte("d"), Owner: "e/0", Nonce: "old"}}})
	log.apply(registrar.Command{Requests: []registrar.RequestStep{{Key: key, Owner: "e/0", Nonce: "old", Attempt: 1, Phase: registrar.RequestNotRun}}})

	c := &call{key: key, digest: []byte("d"), nonce: "n"}
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	_, err := claimer.Step(short, registrar.RequestStep{Key: key, Digest: c.digest, Owner: h.Owner, Nonce: c.nonce})
	if got := h.claimLost(c, err).outcome; got != OutcomeNotRun {
		t.Errorf("the caller was told %q, want not-run", got)
	}
	time.Sleep(300 * time.Millisecond) // the end is recorded first
	close(log.hold)
	for range 100 {
		log.mu.Lock()
		r, _ := log.state.Request(key)
		log.mu.Unlock()
		if r.Attempt == 2 && r.Phase == registrar.RequestNotRun {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r, _ := log.state.Request(key)
	t.Errorf("the id is %v in attempt %d, want not-run in attempt 2", r.Phase, r.Attempt)
}

// TestStepsShareCommands checks that waiting steps go in one command and each gets its own answer.
func TestStepsShareCommands(t *testing.T) {
	log := &slowLog{state: registrar.New()}
	claimer := NewClaimer(log)
	const steps = 100
	got := make(chan string, steps)
	for i := range steps {
		go func() {
			key := registrar.RequestKey{Workspace: "w", Key: string(rune('a' + i%26))}
			v, err := claimer.Step(context.Background(), registrar.RequestStep{Key: key, Digest: []byte("d"), Owner: "e", Nonce: string(rune(i))})
			if err != nil || v.Request.Key != key {
				t.Errorf("step for %v answered %+v, %v", key, v, err)
			}
			if v.Granted {
				got <- key.Key
				return
			}
			got <- ""
		}()
	}
	for len(claimer.queue) < steps {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = claimer.Run(ctx) }()
	granted := map[string]int{}
	for range steps {
		if key := <-got; key != "" {
			granted[key]++
		}
	}
	want := map[string]int{}
	for i := range 26 {
		want[string(rune('a'+i))] = 1
	}
	if diff := cmp.Diff(want, granted); diff != "" {
		t.Errorf("grants by key (-want +got):\n%s", diff)
	}
	if log.claims != 1 {
		t.Errorf("%d commands, want 1", log.claims)
	}
}
