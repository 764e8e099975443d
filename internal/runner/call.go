package runner

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
	// MaxBufferedBytes is the largest answer that is checked whole before its first byte goes on.
	MaxBufferedBytes = 1 << 20
)

// Request is a request as the caller gave it, with the identity of this attempt.
type Request struct {
	Attempt string // travels in HeaderRequest
	Once    bool   // must not run twice
	Method  string
	URL     string
	Header  http.Header
	Body    []byte
}

// Answer is an answer of which the header, and up to MaxBufferedBytes of the body, have been checked. Rest is nil
// where Body is the whole; else it gives the remainder, ends with an error where the answer is cut short or
// damaged, and must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// Send writes status and body to w. With an error the answer was cut short or damaged after its beginning had gone
// out: the caller must break the connection, so that no part passes for the whole.
func (a *Answer) Send(w http.ResponseWriter) error {
	if a.Rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
		return nil
	}
	defer func() { _ = a.Rest.Close() }()
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	if _, err := io.Copy(w, a.Rest); err != nil {
		return fmt.Errorf("send rest of answer: %w", err)
	}
	return nil
}

// A NotStartedError tells that the request was certainly not handed over.
type NotStartedError struct {
	Cause error
	dial  bool
}

// ConnectFailed reports whether not even a connection was made, so that the other side said nothing.
func (e *NotStartedError) ConnectFailed() bool { return e.dial }

// Error returns the cause.
func (e *NotStartedError) Error() string { return "request not started: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// ErrMismatched tells that an answer belongs to another request, or is not whole; it is discarded.
var ErrMismatched = errors.New("the answer is not the whole answer to this request")

// Caller makes calls over a bounded set of connections. It is safe for concurrent use.
type Caller struct {
	pooled     *http.Transport
	once       *http.Transport
	mismatched atomic.Uint64
}

// NewCaller returns a caller that opens at most limit connections a host for requests that may be repeated, and
// keeps as many idle. A request that must not run twice gets a connection of its own, on which the library never
// sends again by itself.
func NewCaller(limit int) *Caller {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Caller{
		pooled: &http.Transport{DialContext: dial, MaxConnsPerHost: limit, MaxIdleConnsPerHost: limit, IdleConnTimeout: idleTimeout, DisableCompression: true},
		once:   &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

// Mismatched returns the number of answers that were discarded.
func (c *Caller) Mismatched() uint64 { return c.mismatched.Load() }

// Close closes idle connections.
func (c *Caller) Close() {
	c.pooled.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// hopHeaders are not passed on; Idempotency-Key is among them since the HTTP library takes it as leave to send again.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", "Idempotency-Key", "X-Idempotency-Key", "Content-Length",
}

// Do makes one attempt. The connection of an attempt that fails in any way is never used again.
func (c *Caller) Do(ctx context.Context, r Request) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &NotStartedError{Cause: fmt.Errorf("make request: %w", err)}
	}
	req.GetBody = nil
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(HeaderRequest, r.Attempt)
	transport := c.pooled
	if r.Once {
		req.Header.Set(HeaderOnce, Yes)
		transport = c.once
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, classify(err)
	}
	return c.take(r, resp)
}

// classify tells failures to connect, after which nothing was sent, from all others.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotStartedError{err, true}
	}
	return fmt.Errorf("exchange with server: %w", err)
}

// take checks an answer: its identity, then its length and digest, which for a large one go on in Rest.
func (c *Caller) take(r Request, resp *http.Response) (*Answer, error) {
	if resp.Header.Get(HeaderStarted) == No {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBytes))
		_ = resp.Body.Close()
		return nil, &NotStartedError{Cause: errors.New(strings.TrimSpace(string(text)))}
	}
	if got := resp.Header.Get(HeaderRequest); got != r.Attempt {
		c.mismatched.Add(1)
		_ = resp.Body.Close() // unread, so that the connection goes too
		return nil, fmt.Errorf("%w: it carries the id %q", ErrMismatched, got)
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBytes))
	if err != nil {
		_ = resp.Body.Close()
		c.mismatched.Add(1)
		return nil, fmt.Errorf("%w: cut short after %d bytes: %w", ErrMismatched, len(head), err)
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: head}
	check := newDigest(resp.Header.Get(HeaderDigest))
	check.write(head)
	if len(head) == MaxBufferedBytes {
		answer.Rest = &checkedBody{body: resp.Body, check: check, caller: c}
		return answer, nil
	}
	_ = resp.Body.Close()
	if err := check.verify(); err != nil {
		c.mismatched.Add(1)
		return nil, err
	}
	return answer, nil
}

// digest compares a body with the sha-256 that its header gives, if it gives one.
type digest struct {
	want []byte
	sum  interface {
		io.Writer
		Sum([]byte) []byte
	}
}

const digestPrefix = "sha-256=:"

func newDigest(header string) *digest {
	d := &digest{}
	rest, ok := strings.CutPrefix(header, digestPrefix)
	if !ok {
		return d
	}
	want, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(rest, ":"))
	if err != nil {
		want = []byte{}
	}
	d.want, d.sum = want, sha256.New()
	return d
}

func (d *digest) write(p []byte) {
	if d.sum != nil {
		_, _ = d.sum.Write(p)
	}
}

func (d *digest) verify() error {
	if d.sum != nil && !bytes.Equal(d.sum.Sum(nil), d.want) {
		return fmt.Errorf("%w: its digest differs", ErrMismatched)
	}
	return nil
}

// DigestOf returns the value of HeaderDigest for a body.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return digestPrefix + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// checkedBody gives the remainder of a large answer and an error at its end where the digest differs.
type checkedBody struct {
	body   io.ReadCloser
	check  *digest
	caller *Caller
}

// Read reads on; io.EOF means that length and digest were right.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.check.write(p[:n])
	if errors.Is(err, io.EOF) {
		if bad := b.check.verify(); bad != nil {
			b.caller.mismatched.Add(1)
			return n, bad
		}
	}
	return n, err
}

// Close ends the answer; the connection is used again only if the body was read to its end.
func (b *checkedBody) Close() error { return b.body.Close() }
