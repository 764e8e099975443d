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

// slowLog is a proposer that applies commands to a state and can delay the commit of claims. mu guards state and
// commits.
type slowLog struct {
	mu      sync.Mutex
	state   registrar.State
	hold    chan struct{} // if not nil, claims are applied only after it is closed, and their proposals get no answer
	commits int
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
	l.commits++
	return e.Answer
}

// TestLateClaimGetsOutcome loses the answer to a claim and commits the claim after its outcome was proposed. It guards
// against an outcome that finds no claim and is dropped, which left the id claimed until the entry ended.
func TestLateClaimGetsOutcome(t *testing.T) {
	log := &slowLog{state: registrar.New(), hold: make(chan struct{})}
	claimer := NewClaimer(log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = claimer.Run(ctx) }()
	h := NewHandler(Config{Owner: "e/1", Claimer: claimer})
	go func() { _ = h.Run(ctx) }()

	key := registrar.RequestKey{Workspace: "w", Key: "k"}
	// An earlier attempt ended as not run, so that the late claim is the second attempt.
	log.apply(registrar.Command{Requests: []registrar.RequestStep{{Key: key, Digest: []byte("d"), Owner: "e/0", Nonce: "old"}}})
	log.apply(registrar.Command{Requests: []registrar.RequestStep{{Key: key, Owner: "e/0", Nonce: "old", Attempt: 1, Phase: registrar.RequestNotRun}}})

	c := &call{key: key, digest: []byte("d"), nonce: "n"}
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	_, err := claimer.Step(short, registrar.RequestStep{Key: key, Digest: c.digest, Owner: h.Owner, Nonce: c.nonce})
	if got := h.abandonClaim(c, err).outcome; got != OutcomeNotRun {
		t.Errorf("outcome %q, want not-run", got)
	}
	time.Sleep(300 * time.Millisecond) // the outcome is committed before the claim
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
	t.Errorf("request is %v in attempt %d, want not-run in attempt 2", r.Phase, r.Attempt)
}

// TestStepsAreBatched checks that queued steps are proposed in one command and that each gets its own answer.
func TestStepsAreBatched(t *testing.T) {
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
	if log.commits != 1 {
		t.Errorf("%d commands, want 1", log.commits)
	}
}
