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
	return NewClient(4).Do(context.Background(), Request{Attempt: "id", Once: once, Method: http.MethodPost, URL: url, Body: []byte("b")})
}

// TestMismatchedAnswersAreDiscarded checks that Do fails with ErrMismatched for answers with a wrong or missing id, and
// for truncated or corrupted ones.
func TestMismatchedAnswersAreDiscarded(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"another id": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRequest, "other") },
		"no id":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"truncated body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequest, "id")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"truncated chunked body": func(w http.ResponseWriter, _ *http.Request) {
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

// TestRestVerifiesDigest checks that Rest of an answer above MaxBufferedBytes fails at its end if the digest differs.
func TestRestVerifiesDigest(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), MaxBufferedBytes/5)
	for _, intact := range []bool{true, false} {
		url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequest, "id")
			w.Header().Set(HeaderDigest, DigestOf(body))
			if intact {
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
		if intact && (err != nil || len(a.Body)+len(rest) != len(body)) {
			t.Errorf("intact answer: got %d bytes and error %v, want the whole body", len(a.Body)+len(rest), err)
		}
		if !intact && !errors.Is(err, ErrMismatched) {
			t.Errorf("corrupted answer: got error %v, want ErrMismatched", err)
		}
	}
}

// TestOnceIsNotRetried checks that the HTTP library does not retry a request that must not run twice, of any method,
// when the server closes the connection after reading the request.
func TestOnceIsNotRetried(t *testing.T) {
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
		client := NewClient(4)
		header := http.Header{"Idempotency-Key": {"k"}}
		for i := range 2 {
			_, err := client.Do(context.Background(), Request{Attempt: fmt.Sprint(i), Once: true, Method: method, URL: url, Header: header})
			if i == 1 && err == nil {
				t.Error("a closed connection gave no error")
			}
		}
		if n := seen.Load(); n != 2 {
			t.Errorf("%s: the server got %d requests from two calls, want 2", method, n)
		}
	}
}

// TestOnlyDialFailuresAreNotStarted checks that a refused connection gives a NotStartedError and that a connection
// closed without an answer does not.
func TestOnlyDialFailuresAreNotStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	var notStarted *NotStartedError
	if _, err := do("http://"+address, true); !errors.As(err, &notStarted) || !notStarted.ConnectFailed() {
		t.Errorf("a refused connection gave %v, want a NotStartedError with ConnectFailed", err)
	}
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	if _, err := do(url, true); err == nil || errors.As(err, &notStarted) {
		t.Errorf("a connection closed without an answer gave %v, want another error than NotStartedError", err)
	}
}
