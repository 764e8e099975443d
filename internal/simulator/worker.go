package simulator

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
	expiryCheckInterval = 20 * time.Millisecond
	maxTaskWait         = 10 * time.Second
	maxTasks            = 256 // tasks kept, unless more are running
)

// WorkerConfig configures a simulated worker of the platform.
type WorkerConfig struct {
	Address string        // HOST:PORT to listen on
	Agent   string        // HOST:PORT of the agent on the same host
	Worker  placer.Worker // description and capacity
	Journal string        // file to which a TaskEvent is appended for each start and end of a task; empty for none
}

// Worker simulates the platform's interface to one worker. The payload of a task sets its run time and result: "sleep
// 2s" finishes after 2 s, "fail 2s" fails after 2 s. mu guards the fields below it.
type Worker struct {
	config  WorkerConfig
	journal *os.File

	mu      sync.Mutex
	tasks   map[string]*task
	order   []string      // task IDs in the order of their starts
	version uint64        // incremented with each change of a task's state
	changed chan struct{} // closed and replaced with each change
}

type task struct {
	spec     worker.Task
	state    string
	reason   string
	started  time.Time
	ended    time.Time
	leaseEnd time.Time
	fails    bool          // the task fails after runTime
	runTime  time.Duration // remaining at the start
}

// TaskEvent is a line of the journal: a task that started or ended.
type TaskEvent struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	At     int64  `json:"at-millis"`
}

// NewWorker returns a worker without tasks. It opens the journal.
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

// Serve serves the worker interface and announces it to the agent until ctx ends.
func (w *Worker) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.config.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: w.Routes(), ReadHeaderTimeout: announceTimeout}
	ended := make(chan error, 3)
	go func() { ended <- server.Serve(listener) }()
	go func() { ended <- w.endExpiredTasks(ctx) }()
	go func() {
		ended <- announcePeriodically(ctx, w.config.Agent, func() agent.Announcement {
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

// Routes returns the HTTP handler of the worker interface.
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

// parsePayload parses "sleep DURATION" or "fail DURATION". A task with any other payload ends at once.
func parsePayload(payload string) (runTime time.Duration, fails bool) {
	verb, duration, _ := strings.Cut(payload, " ")
	runTime, err := time.ParseDuration(duration)
	if err != nil {
		runTime = 0
	}
	return runTime, verb == "fail"
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
	t := &task{spec: spec, state: worker.StateRunning, started: time.Now()}
	t.leaseEnd = t.started.Add(spec.Lease.Duration())
	t.runTime, t.fails = parsePayload(spec.Payload)
	t.runTime -= spec.Resume.Duration()
	w.tasks[spec.ID] = t
	w.order = append(w.order, spec.ID)
	w.recordChange(t)
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

// recordChange publishes a change of a task's state to waiting callers and the journal, and forgets the oldest tasks
// beyond maxTasks that have ended. The caller holds mu.
func (w *Worker) recordChange(t *task) {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
	for len(w.order) > maxTasks && w.tasks[w.order[0]].state != worker.StateRunning {
		delete(w.tasks, w.order[0])
		w.order = w.order[1:]
	}
	if w.journal == nil {
		return
	}
	line, err := json.Marshal(TaskEvent{t.spec.ID, w.config.Worker.ID, t.state, t.reason, time.Now().UnixMilli()})
	if err != nil {
		panic(err) // cannot happen: all fields are strings or numbers
	}
	_, _ = w.journal.Write(append(line, '\n'))
}

// endTask ends a task unless it has already ended. The caller holds mu.
func (w *Worker) endTask(t *task, state, reason string) {
	if t.state == worker.StateRunning {
		t.state, t.reason, t.ended = state, reason, time.Now()
		w.recordChange(t)
	}
}

// endExpiredTasks ends tasks whose run time or lease has expired, until ctx ends.
func (w *Worker) endExpiredTasks(ctx context.Context) error {
	timekeeper.Repeat(ctx, expiryCheckInterval, func() { w.endExpired(time.Now()) })
	return nil
}

func (w *Worker) endExpired(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Clone(w.order) {
		t := w.tasks[id]
		if t.state != worker.StateRunning {
			continue
		}
		switch {
		case now.After(t.leaseEnd):
			w.endTask(t, worker.StateStopped, "the lease ended")
		case now.Sub(t.started) < t.runTime:
		case t.fails:
			w.endTask(t, worker.StateFailed, "the payload says so")
		default:
			w.endTask(t, worker.StateFinished, "")
		}
	}
}

func (w *Worker) list(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(r.URL.Query().Get("wait-millis"), 10, 64)
	w.awaitVersion(r.Context(), after, min(timekeeper.Millis(millis).Duration(), maxTaskWait))
	w.mu.Lock()
	defer w.mu.Unlock()
	list := worker.Tasks{Version: w.version, Tasks: []worker.TaskState{}}
	for _, id := range w.order {
		t := w.tasks[id]
		list.Tasks = append(list.Tasks, worker.TaskState{
			ID: id, State: t.state, Reason: t.reason, Ran: timekeeper.FromDuration(time.Since(t.started)),
			DeclaredCores: t.spec.Members * t.spec.Cores, UsedCores: float64(t.spec.Members * t.spec.Cores),
		})
	}
	reply(rw, list)
}

// awaitVersion waits until the version exceeds after, at most for the given time or until ctx ends.
func (w *Worker) awaitVersion(ctx context.Context, after uint64, wait time.Duration) {
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

// withTask calls do with the task named in the path, or responds with 404 if there is none. do runs with mu held.
func (w *Worker) withTask(rw http.ResponseWriter, r *http.Request, do func(*task)) {
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
	w.withTask(rw, r, func(t *task) {
		reply(rw, worker.CheckpointResult{Saved: timekeeper.FromDuration(time.Since(t.started))})
	})
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	w.withTask(rw, r, func(*task) { rw.WriteHeader(http.StatusNoContent) })
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	w.withTask(rw, r, func(t *task) { w.endTask(t, worker.StateStopped, "stopped by a call") })
}
