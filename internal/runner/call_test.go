package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func do(url string, once bool) (*Answer, error) {
	return NewCaller(4).Do(context.Background(), Request{Attempt: "id", Once: once, Method: http.MethodPost, URL: url, Body: []byte("b")})
}

// TestWrongAnswersAreDiscarded gives every kind of wrong answer.
func TestWrongAnswersAreDiscarded(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"another id": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRequest, "other") },
		"no id":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"cut short": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequest, "id")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"cut chunked": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequest, "id")
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"damaged": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequest, "id")
			w.Header().Set(HeaderDigest, DigestOf([]byte("right")))
			_, _ = w.Write([]byte("wrong"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			if a, err := do(serve(t, h), false); !errors.Is(err, ErrMismatched) {
				t.Errorf("got %+v, %v; want ErrMismatched", a, err)
			}
		})
	}
}

// TestLargeAnswersEndWithAnErrorWhenDamaged streams more than is buffered.
func TestLargeAnswersEndWithAnErrorWhenDamaged(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), MaxBufferedBytes/5)
	for _, right := range []bool{true, false} {
		url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequest, "id")
			w.Header().Set(HeaderDigest, DigestOf(body))
			if right {
				_, _ = w.Write(body)
				return
			}
			_, _ = w.Write(append([]byte("x"), body[1:]...))
		})
		a, err := do(url, false)
		if err != nil {
			t.Fatal(err)
		}
		rest, err := io.ReadAll(a.Rest)
		_ = a.Rest.Close()
		if right && (err != nil || len(a.Body)+len(rest) != len(body)) {
			t.Errorf("a right answer gave %d bytes, %v", len(a.Body)+len(rest), err)
		}
		if !right && !errors.Is(err, ErrMismatched) {
			t.Errorf("a damaged answer ended with %v", err)
		}
	}
}

// TestOnceIsSentOnce closes the connection after reading the request, for every method, with and without body: the
// library must not send again by itself.
func TestOnceIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		var seen atomic.Int32
		url := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if seen.Add(1) == 1 {
				w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		})
		caller := NewCaller(4)
		header := http.Header{"Idempotency-Key": {"k"}}
		for i := range 2 {
			_, err := caller.Do(context.Background(), Request{Attempt: fmt.Sprint(i), Once: true, Method: method, URL: url, Header: header})
			if i == 1 && err == nil {
				t.Error("a closed connection gave no error")
			}
		}
		if n := seen.Load(); n != 2 {
			t.Errorf("%s: two calls were sent %d times", method, n)
		}
	}
}

// TestOnlyDialFailuresAreNotStarted tells a refused connection from one that broke off.
func TestOnlyDialFailuresAreNotStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	var unstarted *NotStartedError
	if _, err := do("http://"+address, true); !errors.As(err, &unstarted) || !unstarted.ConnectFailed() {
		t.Errorf("a refused connection gave %v", err)
	}
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	if _, err := do(url, true); err == nil || errors.As(err, &unstarted) {
		t.Errorf("a connection that broke off gave %v", err)
	}
}
