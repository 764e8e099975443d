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
	// MaxBufferedBytes bounds the part of an answer's body that is buffered. Only a shorter body is verified completely
	// before its first byte is passed on.
	MaxBufferedBytes = 1 << 20
)

// Request is a caller's request, with the id of this attempt.
type Request struct {
	Attempt string // id, sent in HeaderRequest
	Once    bool   // must not run twice
	Method  string
	URL     string
	Header  http.Header
	Body    []byte
}

// Answer is a backend server's answer whose id has been verified. Body holds the first MaxBufferedBytes of the body. If
// Rest is nil, Body is complete and verified. Otherwise Rest reads the remainder, fails at its end if the answer was
// truncated or corrupted, and must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// Send writes status and body to w. An error means that the answer was found truncated or corrupted after a part of it
// was sent: the caller must abort the connection, so that the client does not take that part for the whole answer.
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

// A NotStartedError reports that the request was provably not passed to the backend server.
type NotStartedError struct {
	Cause         error
	connectFailed bool
}

// ConnectFailed reports whether no connection was made, so that the error does not come from the peer.
func (e *NotStartedError) ConnectFailed() bool { return e.connectFailed }

// Error returns a message that includes the cause.
func (e *NotStartedError) Error() string { return "request not started: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// ErrMismatched reports that an answer belongs to another request, is truncated or is corrupted. The answer is
// discarded.
var ErrMismatched = errors.New("the answer is not the whole answer to this request")

// Client sends requests over a bounded number of connections. It is safe for concurrent use.
type Client struct {
	pooled     *http.Transport
	once       *http.Transport
	mismatched atomic.Uint64
}

// NewClient returns a Client that opens at most limit connections per host for requests that may be repeated, and
// keeps as many idle. A request that must not run twice gets a new connection, since the HTTP library retries by itself
// only on reused ones.
func NewClient(limit int) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		pooled: &http.Transport{DialContext: dial, MaxConnsPerHost: limit, MaxIdleConnsPerHost: limit, IdleConnTimeout: idleTimeout, DisableCompression: true},
		once:   &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

// Mismatched returns the number of answers discarded with ErrMismatched.
func (c *Client) Mismatched() uint64 { return c.mismatched.Load() }

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// strippedHeaders are not forwarded. Idempotency-Key is among them since the HTTP library retries requests that have
// it.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", "Idempotency-Key", "X-Idempotency-Key", "Content-Length",
}

// Do makes one attempt. It returns a *NotStartedError if the request was not passed to the backend server, and an error
// that wraps ErrMismatched if the answer was discarded. It never reuses the connection of a failed attempt.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &NotStartedError{Cause: fmt.Errorf("make request: %w", err)}
	}
	req.GetBody = nil
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for _, name := range strippedHeaders {
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
	return c.checkResponse(r, resp)
}

// classify returns a *NotStartedError for a failure to connect, since then nothing was sent, and wraps other errors.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotStartedError{err, true}
	}
	return fmt.Errorf("exchange with server: %w", err)
}

// checkResponse verifies the id, length and digest of an answer. For a large one, Rest verifies length and digest.
func (c *Client) checkResponse(r Request, resp *http.Response) (*Answer, error) {
	if resp.Header.Get(HeaderStarted) == No {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBytes))
		_ = resp.Body.Close()
		return nil, &NotStartedError{Cause: errors.New(strings.TrimSpace(string(text)))}
	}
	if got := resp.Header.Get(HeaderRequest); got != r.Attempt {
		c.mismatched.Add(1)
		_ = resp.Body.Close() // the body is unread, so this closes the connection too
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
		answer.Rest = &checkedBody{body: resp.Body, check: check, client: c}
		return answer, nil
	}
	_ = resp.Body.Close()
	if err := check.verify(); err != nil {
		c.mismatched.Add(1)
		return nil, err
	}
	return answer, nil
}

// digest verifies a body against the SHA-256 in HeaderDigest, if there is one.
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

// checkedBody reads the remainder of a large answer and returns an error instead of io.EOF if the digest differs.
type checkedBody struct {
	body   io.ReadCloser
	check  *digest
	client *Client
}

// Read implements io.Reader. io.EOF means that length and digest match.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.check.write(p[:n])
	if errors.Is(err, io.EOF) {
		if bad := b.check.verify(); bad != nil {
			b.client.mismatched.Add(1)
			return n, bad
		}
	}
	return n, err
}

// Close closes the body. The connection is reused only if the body was read to its end.
func (b *checkedBody) Close() error { return b.body.Close() }
