package imitator

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

// RunnerConfig describes a backend server to imitate.
type RunnerConfig struct {
	Address   string
	Agent     string
	Service   string
	Slots     int
	Latency   time.Duration
	FaultRate float64 // share of answers, 0 to 1, that are wrong in some way
	Seed      uint64
	Journal   string // file that gets a line for each request that runs; empty for none
}

// Runner imitates a backend server. mu guards the random numbers and the last answer.
type Runner struct {
	config  RunnerConfig
	journal *os.File
	leaving atomic.Bool
	last    atomic.Int64 // wall clock in milliseconds of the last new request

	mu       sync.Mutex
	rng      *rand.Rand
	previous answer
}

// answer is what the backend server says to one request.
type answer struct {
	id   string
	body []byte
}

// Run is a line of the journal: a request that ran.
type Run struct {
	ID   string `json:"id"`
	Once bool   `json:"once"`
	Path string `json:"path"`
	At   int64  `json:"at-millis"`
}

// NewRunner returns a backend server.
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

// Serve serves until ctx ends: it then says that it is leaving, ends what is in flight, and returns.
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
	go func() { announced <- announceForever(background, r.config.Agent, r.announcement) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	r.leaving.Store(true)
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
		Kind: agent.KindRunner, Address: r.config.Address, Service: r.config.Service, Slots: r.config.Slots, Leaving: r.leaving.Load(),
	}
}

// ServeHTTP runs one request: it notes that it ran, works, and answers with an echo, or wrongly.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the request did not arrive whole and is not run
	}
	id := req.Header.Get(runner.HeaderRequest)
	r.note(Run{id, req.Header.Get(runner.HeaderOnce) == runner.Yes, req.URL.Path, time.Now().UnixMilli()})
	time.Sleep(r.config.Latency)
	right := answer{id, fmt.Appendf(nil, "answer to %s %s: %s", req.Method, req.URL.RequestURI(), body)}
	r.respond(w, right)
}

func (r *Runner) note(run Run) {
	r.last.Store(run.At)
	if r.journal == nil {
		return
	}
	line, err := json.Marshal(run)
	if err != nil {
		panic(err) // a Run holds only strings and numbers
	}
	_, _ = r.journal.Write(append(line, '\n'))
}

// The faults of a backend server.
const (
	faultLate = iota
	faultCrossed
	faultShort
	faultWrongID
	faultNoID
	faultDamaged
	faults
)

// draw returns a fault or -1, and the answer that was right for the request before.
func (r *Runner) draw(right answer) (fault int, previous answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, r.previous = r.previous, right
	if r.rng.Float64() >= r.config.FaultRate {
		return -1, previous
	}
	return r.rng.IntN(faults), previous
}

func (r *Runner) respond(w http.ResponseWriter, right answer) {
	fault, previous := r.draw(right)
	switch fault {
	case faultLate:
		time.Sleep(r.config.Latency * 5)
		write(w, right.id, right.body, runner.DigestOf(right.body))
	case faultCrossed:
		write(w, previous.id, previous.body, runner.DigestOf(previous.body))
	case faultShort:
		w.Header().Set("Content-Length", fmt.Sprint(len(right.body)))
		w.Header().Set(runner.HeaderRequest, right.id)
		_, _ = w.Write(right.body[:len(right.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case faultWrongID:
		write(w, right.id+"x", right.body, "")
	case faultNoID:
		write(w, "", right.body, "")
	case faultDamaged:
		damaged := append([]byte("!"), right.body[1:]...)
		write(w, right.id, damaged, runner.DigestOf(right.body))
	default:
		write(w, right.id, right.body, runner.DigestOf(right.body))
	}
}

func write(w http.ResponseWriter, id string, body []byte, digest string) {
	w.Header().Set(runner.HeaderRequest, id)
	if digest != "" {
		w.Header().Set(runner.HeaderDigest, digest)
	}
	_, _ = w.Write(body)
}
