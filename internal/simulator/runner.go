package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/agent"
	"github.com/lagoonmill/lagoonmill/internal/runner"
)

// RunnerConfig configures a simulated backend server.
type RunnerConfig struct {
	Address   string // HOST:PORT to listen on
	Agent     string // HOST:PORT of the agent on the same host
	Service   string
	Slots     int
	Latency   time.Duration // time to process a request
	FaultRate float64       // share of responses, 0 to 1, that are faulty
	Seed      uint64        // of the random faults
	Journal   string        // file to which a RequestEvent is appended for each request; empty for none
}

// Runner simulates a backend server. mu guards rng and previous.
type Runner struct {
	config      RunnerConfig
	journal     *os.File
	draining    atomic.Bool
	lastRequest atomic.Int64 // Unix time in milliseconds of the last request

	mu       sync.Mutex
	rng      *rand.Rand
	previous response
}

// response is the response to one request.
type response struct {
	id   string
	body []byte
}

// RequestEvent is a line of the journal: a request that the backend server ran.
type RequestEvent struct {
	ID   string `json:"id"`
	Once bool   `json:"once"`
	Path string `json:"path"`
	At   int64  `json:"at-millis"`
}

// NewRunner returns a backend server that is not serving yet. It opens the journal.
func NewRunner(config RunnerConfig) (*Runner, error) {
	r := &Runner{config: config, rng: rand.New(rand.NewPCG(config.Seed, 1))}
	if config.Journal == "" {
		return r, nil
	}
	const mode = 0o640
	var err error
	if r.journal, err = os.OpenFile(config.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode); err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return r, nil
}

// Serve serves until ctx ends. It then announces that it is draining, waits for the requests in flight and returns.
func (r *Runner) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.config.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: announceTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	announced := make(chan error, 1)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { announced <- announcePeriodically(background, r.config.Agent, r.announcement) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	r.draining.Store(true)
	_ = announceOnce(background, r.config.Agent, r.announcement())
	err = server.Shutdown(background)
	cancel()
	<-announced
	if err != nil {
		return fmt.Errorf("stop serving: %w", err)
	}
	return nil
}

func (r *Runner) announcement() agent.Announcement {
	return agent.Announcement{
		Kind: agent.KindRunner, Address: r.config.Address, Service: r.config.Service, Slots: r.config.Slots, Draining: r.draining.Load(),
	}
}

// ServeHTTP runs one request: it records the request in the journal, waits for the configured latency, and responds
// with an echo of the request or with a fault.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the request is incomplete and does not run
	}
	id := req.Header.Get(runner.HeaderRequest)
	r.recordRequest(RequestEvent{id, req.Header.Get(runner.HeaderOnce) == runner.Yes, req.URL.Path, time.Now().UnixMilli()})
	time.Sleep(r.config.Latency)
	correct := response{id, fmt.Appendf(nil, "answer to %s %s: %s", req.Method, req.URL.RequestURI(), body)}
	r.respond(w, correct)
}

func (r *Runner) recordRequest(run RequestEvent) {
	r.lastRequest.Store(run.At)
	if r.journal == nil {
		return
	}
	line, err := json.Marshal(run)
	if err != nil {
		panic(err) // cannot happen: all fields are strings, numbers or booleans
	}
	_, _ = r.journal.Write(append(line, '\n'))
}

// Faults that a backend server can inject into a response.
const (
	faultLate             = iota // takes six times the latency
	faultPreviousResponse        // the response to the preceding request
	faultTruncated               // connection closed after half of the body
	faultWrongID                 // request ID that does not match
	faultNoID                    // no request ID
	faultCorrupted               // body does not match its digest
	faultCount
)

// drawFault returns a random fault, or -1 for none, and the correct response to the preceding request. It records
// correct as that of the current one.
func (r *Runner) drawFault(correct response) (fault int, previous response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, r.previous = r.previous, correct
	if r.rng.Float64() >= r.config.FaultRate {
		return -1, previous
	}
	return r.rng.IntN(faultCount), previous
}

func (r *Runner) respond(w http.ResponseWriter, correct response) {
	fault, previous := r.drawFault(correct)
	switch fault {
	case faultLate:
		time.Sleep(r.config.Latency * 5)
		writeResponse(w, correct.id, correct.body, runner.DigestOf(correct.body))
	case faultPreviousResponse:
		writeResponse(w, previous.id, previous.body, runner.DigestOf(previous.body))
	case faultTruncated:
		w.Header().Set("Content-Length", fmt.Sprint(len(correct.body)))
		w.Header().Set(runner.HeaderRequest, correct.id)
		_, _ = w.Write(correct.body[:len(correct.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case faultWrongID:
		writeResponse(w, correct.id+"x", correct.body, "")
	case faultNoID:
		writeResponse(w, "", correct.body, "")
	case faultCorrupted:
		corrupted := append([]byte("!"), correct.body[1:]...)
		writeResponse(w, correct.id, corrupted, runner.DigestOf(correct.body))
	default:
		writeResponse(w, correct.id, correct.body, runner.DigestOf(correct.body))
	}
}

func writeResponse(w http.ResponseWriter, id string, body []byte, digest string) {
	w.Header().Set(runner.HeaderRequest, id)
	if digest != "" {
		w.Header().Set(runner.HeaderDigest, digest)
	}
	_, _ = w.Write(body)
}
