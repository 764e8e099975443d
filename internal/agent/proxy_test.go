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

// newTestProxy returns a proxy in front of backend, its clock, and the address at which it is served.
func newTestProxy(t *testing.T, slots int, backend http.HandlerFunc) (*Proxy, *timekeeper.Manual, string) {
	clock := &timekeeper.Manual{}
	p := NewProxy("inc", clock, logger.Logger{})
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	routes := mux.NewRouter()
	p.Register(routes)
	proxyServer := httptest.NewServer(routes)
	t.Cleanup(proxyServer.Close)
	p.updateBackend(Announcement{Kind: KindRunner, Address: strings.TrimPrefix(backendServer.URL, "http://"), Service: "app", Slots: slots})
	return p, clock, strings.TrimPrefix(proxyServer.URL, "http://")
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(runner.HeaderRequest, r.Header.Get(runner.HeaderRequest))
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte("echo "), body...))
}

func sendTo(address, path, attempt string, once bool, header http.Header) (*runner.Answer, error) {
	return runner.NewClient(4).Do(context.Background(), runner.Request{
		Attempt: attempt, Once: once, Method: http.MethodPost, URL: "http://" + address + path, Body: []byte("x"), Header: header,
	})
}

// TestProxyRefusesRequestsBeyondSlots sends more concurrent requests than there are slots. The excess must be refused
// as not started.
func TestProxyRefusesRequestsBeyondSlots(t *testing.T) {
	var mu sync.Mutex
	concurrent, most := 0, 0
	release := make(chan struct{})
	entered := make(chan struct{}, 10)
	_, _, address := newTestProxy(t, 2, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		concurrent++
		most = max(most, concurrent)
		mu.Unlock()
		entered <- struct{}{}
		<-release
		mu.Lock()
		concurrent--
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
		t.Errorf("%d requests refused and %d concurrent, want 8 and 2", refused, most)
	}
}

// TestProxyRefusesAfterTimeoutOrStop checks that the proxy itself refuses requests once the announcement has expired or
// the agent stops. Entries learn of both only later and may still send requests.
func TestProxyRefusesAfterTimeoutOrStop(t *testing.T) {
	p, clock, address := newTestProxy(t, 8, echo)
	if _, err := sendTo(address, ServePrefix+"/x", "a", false, nil); err != nil {
		t.Fatal(err)
	}
	clock.Advance(AnnouncementTimeout)
	var unstarted *runner.NotStartedError
	if _, err := sendTo(address, ServePrefix+"/x", "b", false, nil); !errors.As(err, &unstarted) {
		t.Errorf("request after the announcement expired gave %v, want not started", err)
	}
	p.updateBackend(p.backend.Load().announcement)
	p.StopAccepting()
	if _, err := sendTo(address, ServePrefix+"/x", "c", false, nil); !errors.As(err, &unstarted) {
		t.Errorf("request after StopAccepting gave %v, want not started", err)
	}
}

// TestFencedAttemptNeverStarts checks that an attempt runs at most once, that Fence returns the answer of an attempt
// that ran, and that an attempt fenced before it started never runs.
func TestFencedAttemptNeverStarts(t *testing.T) {
	runs := 0
	_, _, address := newTestProxy(t, 8, func(w http.ResponseWriter, r *http.Request) {
		runs++
		echo(w, r)
	})
	own := http.Header{HeaderIncarnation: {"inc"}}
	var unstarted *runner.NotStartedError
	if _, err := sendTo(address, ServePrefix+"/x", "ran", true, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := sendTo(address, ServePrefix+"/x", "ran", true, nil); !errors.As(err, &unstarted) || runs != 1 {
		t.Errorf("repeated attempt gave %v after %d runs, want not started after 1", err, runs)
	}
	answer, err := sendTo(address, FencePath, "ran", false, own)
	if err != nil || string(answer.Body) != "echo x" {
		t.Errorf("fence of a finished attempt gave %v, %v, want its answer", answer, err)
	}
	if _, err := sendTo(address, FencePath, "never", false, own); !errors.As(err, &unstarted) {
		t.Errorf("fence of an unknown attempt gave %v, want not started", err)
	}
	if _, err := sendTo(address, ServePrefix+"/x", "never", true, nil); !errors.As(err, &unstarted) || runs != 1 {
		t.Errorf("fenced attempt gave %v after %d runs, want not started after 1", err, runs)
	}
	if _, err := sendTo(address, FencePath, "other", false, http.Header{HeaderIncarnation: {"old"}}); err == nil || errors.As(err, &unstarted) {
		t.Errorf("fence for another incarnation gave %v, want an undecided error", err)
	}
}

// TestFenceOfEvictedAttemptIsUndecided checks that fence does not report an unknown attempt as not started once
// attempts have been evicted.
func TestFenceOfEvictedAttemptIsUndecided(t *testing.T) {
	a := newAttempts()
	for i := range maxAttempts + 1 {
		a.start(string(rune('a'+i%26)) + json.Number(strings.Repeat("1", 1+i%5)).String() + timekeeper.Millis(i).String())
	}
	if _, err, started := a.fence(context.Background(), "unknown"); !started || !errors.Is(err, errAttemptEvicted) {
		t.Errorf("fence gave started %v, %v; want true, errAttemptEvicted", started, err)
	}
}
