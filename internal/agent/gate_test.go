package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/gorilla/mux"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/runner"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// newGate returns a gate before a backend server, served over HTTP.
func newGate(t *testing.T, slots int, backend http.HandlerFunc) (*Gate, *timekeeper.Manual, string) {
	clock := &timekeeper.Manual{}
	g := NewGate("inc", clock, logger.Logger{})
	behind := httptest.NewServer(backend)
	t.Cleanup(behind.Close)
	routes := mux.NewRouter()
	g.Register(routes)
	front := httptest.NewServer(routes)
	t.Cleanup(front.Close)
	g.takeRunner(Announcement{Kind: KindRunner, Address: strings.TrimPrefix(behind.URL, "http://"), Service: "app", Slots: slots})
	return g, clock, strings.TrimPrefix(front.URL, "http://")
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(runner.HeaderRequest, r.Header.Get(runner.HeaderRequest))
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte("echo "), body...))
}

func sendTo(address, path, attempt string, once bool, header http.Header) (*runner.Answer, error) {
	return runner.NewCaller(4).Do(context.Background(), runner.Request{
		Attempt: attempt, Once: once, Method: http.MethodPost, URL: "http://" + address + path, Body: []byte("x"), Header: header,
	})
}

// TestSlotsAreNeverExceeded sends more requests at once than there are slots: the rest are told as not started.
func TestSlotsAreNeverExceeded(t *testing.T) {
	var mu sync.Mutex
	now, most := 0, 0
	release := make(chan struct{})
	entered := make(chan struct{}, 10)
	_, _, address := newGate(t, 2, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		now++
		most = max(most, now)
		mu.Unlock()
		entered <- struct{}{}
		<-release
		mu.Lock()
		now--
		mu.Unlock()
		echo(w, r)
	})
	results := make(chan error, 10)
	for range 10 {
		go func() {
			_, err := sendTo(address, ServePrefix+"/x", "a", false, nil)
			results <- err
		}()
	}
	refused := 0
	for range 8 {
		var unstarted *runner.NotStartedError
		if err := <-results; errors.As(err, &unstarted) {
			refused++
		}
	}
	<-entered
	<-entered
	close(release)
	<-results
	<-results
	if refused != 8 || most != 2 {
		t.Errorf("%d refused and %d at once, want 8 and 2", refused, most)
	}
}

// TestSilentOrLeavingServerGetsNothing checks the gate itself, which is faster than what entries learn.
func TestSilentOrLeavingServerGetsNothing(t *testing.T) {
	g, clock, address := newGate(t, 8, echo)
	if _, err := sendTo(address, ServePrefix+"/x", "a", false, nil); err != nil {
		t.Fatal(err)
	}
	clock.Advance(AnnounceBound)
	var unstarted *runner.NotStartedError
	if _, err := sendTo(address, ServePrefix+"/x", "b", false, nil); !errors.As(err, &unstarted) {
		t.Errorf("a silent server was asked: %v", err)
	}
	g.takeRunner(g.serving.Load().announcement)
	g.Leave()
	if _, err := sendTo(address, ServePrefix+"/x", "c", false, nil); !errors.As(err, &unstarted) {
		t.Errorf("a leaving agent let a request through: %v", err)
	}
}

// TestFenceAndBeginExcludeEachOther checks that an attempt either runs, once, and its answer can be had again, or
// never runs.
func TestFenceAndBeginExcludeEachOther(t *testing.T) {
	runs := 0
	_, _, address := newGate(t, 8, func(w http.ResponseWriter, r *http.Request) {
		runs++
		echo(w, r)
	})
	own := http.Header{HeaderIncarnation: {"inc"}}
	var unstarted *runner.NotStartedError
	if _, err := sendTo(address, ServePrefix+"/x", "ran", true, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := sendTo(address, ServePrefix+"/x", "ran", true, nil); !errors.As(err, &unstarted) || runs != 1 {
		t.Errorf("the second time gave %v after %d runs", err, runs)
	}
	answer, err := sendTo(address, FencePath, "ran", false, own)
	if err != nil || string(answer.Body) != "echo x" {
		t.Errorf("the fence of an ended attempt gave %v, %v", answer, err)
	}
	if _, err := sendTo(address, FencePath, "never", false, own); !errors.As(err, &unstarted) {
		t.Errorf("the fence of an unknown attempt gave %v", err)
	}
	if _, err := sendTo(address, ServePrefix+"/x", "never", true, nil); !errors.As(err, &unstarted) || runs != 1 {
		t.Errorf("a fenced attempt gave %v after %d runs", err, runs)
	}
	if _, err := sendTo(address, FencePath, "other", false, http.Header{HeaderIncarnation: {"old"}}); err == nil || errors.As(err, &unstarted) {
		t.Errorf("an agent answered for another process: %v", err)
	}
}

// TestForgottenAttemptsAreNotDenied checks that once the table has overflowed an unknown attempt is not told as unstarted.
func TestForgottenAttemptsAreNotDenied(t *testing.T) {
	a := newAttempts()
	for i := range maxAttempts + 1 {
		a.begin(string(rune('a'+i%26)) + json.Number(strings.Repeat("1", 1+i%5)).String() + timekeeper.Millis(i).String())
	}
	if _, err, begun := a.fence(context.Background(), "unknown"); !begun || !errors.Is(err, errForgotten) {
		t.Errorf("fence gave begun %v, %v; want that it is not known", begun, err)
	}
}
