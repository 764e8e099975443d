package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/lagoonmill/lagoonmill/internal/agent"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/worker"
)

const (
	leaseCheck  = 20 * time.Millisecond
	maxTaskWait = 10 * time.Second
	keepEnded   = 256
)

// WorkerConfig describes a worker of the platform to imitate.
type WorkerConfig struct {
	Address string
	Agent   string
	Worker  placer.Worker
	Journal string // file that gets a line for each start and end of a task; empty for none
}

// Worker imitates the platform's interface to one worker. A task's payload says how it goes: "sleep 2s" finishes
// after that run time, "fail 2s" fails after it. mu guards the tasks.
type Worker struct {
	config  WorkerConfig
	journal *os.File

	mu      sync.Mutex
	tasks   map[string]*task
	order   []string
	version uint64
	changed chan struct{}
}

type task struct {
	spec     worker.Task
	state    string
	reason   string
	began    time.Time
	ended    time.Time
	leaseEnd time.Time
	fails    bool
	length   time.Duration
}

// TaskEvent is a line of the journal: a task that began or ended.
type TaskEvent struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	At     int64  `json:"at-millis"`
}

// NewWorker returns a worker without tasks.
func NewWorker(config WorkerConfig) (*Worker, error) {
	w := &Worker{config: config, tasks: map[string]*task{}, changed: make(chan struct{})}
	if config.Journal == "" {
		return w, nil
	}
	const mode = 0o640
	var err error
	if w.journal, err = os.OpenFile(config.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode); err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return w, nil
}

// Serve serves the worker interface and announces it until ctx ends.
func (w *Worker) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.config.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: w.Routes(), ReadHeaderTimeout: announceTimeout}
	ended := make(chan error, 3)
	go func() { ended <- server.Serve(listener) }()
	go func() { ended <- w.watch(ctx) }()
	go func() {
		ended <- announceForever(ctx, w.config.Agent, func() agent.Announcement {
			return agent.Announcement{Kind: agent.KindWorker, Address: w.config.Address}
		})
	}()
	select {
	case err := <-ended:
		if ctx.Err() == nil {
			return fmt.Errorf("serve: %w", err)
		}
	case <-ctx.Done():
	}
	return server.Close()
}

// Routes returns the worker interface.
func (w *Worker) Routes() http.Handler {
	r := mux.NewRouter()
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/worker", w.describe).Methods(http.MethodGet)
	v1.HandleFunc("/tasks", w.list).Methods(http.MethodGet)
	v1.HandleFunc("/tasks", w.run).Methods(http.MethodPost)
	v1.HandleFunc("/renew", w.renew).Methods(http.MethodPost)
	v1.HandleFunc("/tasks/{id:.+}/checkpoint", w.checkpoint).Methods(http.MethodPost)
	v1.HandleFunc("/tasks/{id:.+}/throttle", w.throttle).Methods(http.MethodPost)
	v1.HandleFunc("/tasks/{id:.+}/stop", w.stop).Methods(http.MethodPost)
	return r
}

func reply(rw http.ResponseWriter, v any) { _ = json.NewEncoder(rw).Encode(v) }

func (w *Worker) describe(rw http.ResponseWriter, _ *http.Request) { reply(rw, w.config.Worker) }

// parsePayload reads "sleep SPAN" or "fail SPAN"; anything else finishes at once.
func parsePayload(payload string) (length time.Duration, fails bool) {
	verb, span, _ := strings.Cut(payload, " ")
	length, err := time.ParseDuration(span)
	if err != nil {
		length = 0
	}
	return length, verb == "fail"
}

func (w *Worker) run(rw http.ResponseWriter, r *http.Request) {
	var spec worker.Task
	if err := json.NewDecoder(r.Body).Decode(&spec); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.tasks[spec.ID]; old != nil {
		if old.state != worker.StateRunning {
			http.Error(rw, "the task has ended", http.StatusConflict)
		}
		return
	}
	if w.inUse()+spec.Members*spec.Accelerators > w.config.Worker.Accelerators {
		http.Error(rw, "the accelerators are in use", http.StatusConflict)
		return
	}
	t := &task{spec: spec, state: worker.StateRunning, began: time.Now()}
	t.leaseEnd = t.began.Add(spec.Lease.Duration())
	t.length, t.fails = parsePayload(spec.Payload)
	t.length -= spec.Resume.Duration()
	w.tasks[spec.ID] = t
	w.order = append(w.order, spec.ID)
	w.note(t)
}

func (w *Worker) inUse() int {
	n := 0
	for _, t := range w.tasks {
		if t.state == worker.StateRunning {
			n += t.spec.Members * t.spec.Accelerators
		}
	}
	return n
}

// note records a change of a task's state and wakes those who wait for one. The caller holds mu.
func (w *Worker) note(t *task) {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
	for len(w.order) > keepEnded && w.tasks[w.order[0]].state != worker.StateRunning {
		delete(w.tasks, w.order[0])
		w.order = w.order[1:]
	}
	if w.journal == nil {
		return
	}
	line, err := json.Marshal(TaskEvent{t.spec.ID, w.config.Worker.ID, t.state, t.reason, time.Now().UnixMilli()})
	if err != nil {
		panic(err) // a TaskEvent holds only strings and numbers
	}
	_, _ = w.journal.Write(append(line, '\n'))
}

func (w *Worker) end(t *task, state, reason string) {
	if t.state == worker.StateRunning {
		t.state, t.reason, t.ended = state, reason, time.Now()
		w.note(t)
	}
}

// watch ends tasks whose run time or lease is over.
func (w *Worker) watch(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			w.endDue(now)
		}
	}
}

func (w *Worker) endDue(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Clone(w.order) {
		t := w.tasks[id]
		if t.state != worker.StateRunning {
			continue
		}
		switch {
		case now.After(t.leaseEnd):
			w.end(t, worker.StateStopped, "the lease ended")
		case now.Sub(t.began) < t.length:
		case t.fails:
			w.end(t, worker.StateFailed, "the payload says so")
		default:
			w.end(t, worker.StateFinished, "")
		}
	}
}

func (w *Worker) list(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(r.URL.Query().Get("wait-millis"), 10, 64)
	w.await(r.Context(), after, min(timekeeper.Millis(millis).Duration(), maxTaskWait))
	w.mu.Lock()
	defer w.mu.Unlock()
	list := worker.Tasks{Version: w.version, Tasks: []worker.TaskState{}}
	for _, id := range w.order {
		t := w.tasks[id]
		list.Tasks = append(list.Tasks, worker.TaskState{
			ID: id, State: t.state, Reason: t.reason, Ran: timekeeper.FromDuration(time.Since(t.began)),
			DeclaredCores: t.spec.Members * t.spec.Cores, UsedCores: float64(t.spec.Members * t.spec.Cores),
		})
	}
	reply(rw, list)
}

func (w *Worker) await(ctx context.Context, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		version, changed := w.version, w.changed
		w.mu.Unlock()
		if version > after {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (w *Worker) renew(_ http.ResponseWriter, r *http.Request) {
	var renewal worker.Renewal
	if json.NewDecoder(r.Body).Decode(&renewal) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, lease := range renewal.Leases {
		if t := w.tasks[id]; t != nil {
			t.leaseEnd = time.Now().Add(lease.Duration())
		}
	}
}

// with calls do with the task that the path names, if it is known.
func (w *Worker) with(rw http.ResponseWriter, r *http.Request, do func(*task)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[mux.Vars(r)["id"]]
	if t == nil {
		http.Error(rw, "no such task", http.StatusNotFound)
		return
	}
	do(t)
}

func (w *Worker) checkpoint(rw http.ResponseWriter, r *http.Request) {
	w.with(rw, r, func(t *task) {
		reply(rw, worker.CheckpointResult{Saved: timekeeper.FromDuration(time.Since(t.began))})
	})
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	w.with(rw, r, func(*task) { rw.WriteHeader(http.StatusNoContent) })
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	w.with(rw, r, func(t *task) { w.end(t, worker.StateStopped, "stopped by a call") })
}
