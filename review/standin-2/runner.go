package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxEndsListed     = 500
	maxWait           = 2 * time.Second
	lastingStartup    = 500 * time.Millisecond
	progressInterval  = 50 * time.Millisecond
)

// runnerSettings describe a runner. The driver passes them to the runner's process as JSON.
type runnerSettings struct {
	ID, Service, Zone, Address, Control string
	Rack                                string
	Cores, MemoryMB, Accelerators       int
	MaxHold, StopTime                   time.Duration
}

// taskSpec is the part of a job's payload that tells the stand-in how its tasks behave.
type taskSpec struct {
	Lasting bool `json:"lasting,omitempty"` // runs until it is stopped
	WorkMS  int  `json:"workMs,omitempty"`
}

// execution is a run that the runner executes.
type execution struct {
	task     string
	attempt  int
	spec     taskSpec
	begun    time.Time
	stopping bool
}

func (e *execution) percent(now time.Time) int {
	total := time.Duration(e.spec.WorkMS) * time.Millisecond
	if e.spec.Lasting {
		total = lastingStartup
	}
	if total <= 0 {
		return 100
	}
	return int(min(100*now.Sub(e.begun)/total, 100))
}

type runEnd struct {
	number  int
	task    string
	attempt int
	how     string
}

// runner is a stand-in for the platform's runner, in the invoke mode and without a guard of its capacity.
type runner struct {
	settings runnerSettings
	started  time.Time

	mu       sync.Mutex
	fence    uint64
	leaseEnd time.Duration // by the runner's clock
	runs     map[string]*execution
	ended    map[string]int // by task: highest attempt that was stopped or has ended
	ends     []runEnd
	lastEnd  int
	changed  chan struct{} // closed at each end
}

// event is a line that a runner's process writes for the driver.
type event struct {
	At      int64 // Unix milliseconds
	Runner  string
	What    string // begun, ended or ready
	Task    string
	Attempt int
	How     string
	Spec    string
}

func runRunner(text string) error {
	var s runnerSettings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return fmt.Errorf("read the settings: %w", err)
	}
	r := &runner{settings: s, started: time.Now(), runs: map[string]*execution{}, ended: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.handle(r.start))
	mux.HandleFunc("POST /v1/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /v1/hold", r.handle(r.hold))
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	go r.checkIn()
	go r.work()
	go r.obey()
	return http.ListenAndServe(s.Address, mux)
}

func (r *runner) emit(e event) {
	e.At, e.Runner = time.Now().UnixMilli(), r.settings.ID
	line, _ := json.Marshal(e)
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// obey carries out the commands of the driver: "fail TASK" ends a run as failed.
func (r *runner) obey() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if task, ok := strings.CutPrefix(lines.Text(), "fail "); ok {
			r.mu.Lock()
			if e := r.runs[task]; e != nil {
				r.end(e, "failed")
			}
			r.mu.Unlock()
		}
	}
	os.Exit(0) // the driver has ended
}

func (r *runner) clock() time.Duration { return time.Since(r.started) }

func (r *runner) checkIn() {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": r.settings.Service, "addr": r.settings.Address, "zone": r.settings.Zone, "version": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "seq": seq, "clockMs": r.clock().Milliseconds(), "born": r.started.UnixMilli(),
			"capacity": map[string]int{"cpu": r.settings.Cores, "memMb": r.settings.MemoryMB, "gpu": r.settings.Accelerators},
			"labels":   []string{"a", r.settings.Rack},
		})
		response, err := client.Post("http://"+r.settings.Control+"/v1/Instances.Heartbeat/"+r.settings.ID, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		time.Sleep(heartbeatInterval)
	}
}

// work ends runs that are done, and all runs when the lease has expired.
func (r *runner) work() {
	for range time.Tick(progressInterval) {
		r.mu.Lock()
		now := time.Now()
		lapsed := r.clock() > r.leaseEnd
		for _, e := range r.runs {
			switch {
			case lapsed:
				r.end(e, "lapsed")
			case !e.spec.Lasting && !e.stopping && e.percent(now) >= 100:
				r.end(e, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (r *runner) end(e *execution, how string) {
	delete(r.runs, e.task)
	r.ended[e.task] = max(r.ended[e.task], e.attempt)
	r.lastEnd++
	r.ends = append(r.ends, runEnd{r.lastEnd, e.task, e.attempt, how})
	close(r.changed)
	r.changed = make(chan struct{})
	r.emit(event{What: "ended", Task: e.task, Attempt: e.attempt, How: how})
}

// order is the body of any call to the runner.
type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fencingToken"`
	Acked    int    `json:"ackedSeq"`
	Wait     int    `json:"waitMs"`
}

type answer map[string]any

func (r *runner) handle(call func(context.Context, order) (int, answer)) http.HandlerFunc {
	return func(out http.ResponseWriter, request *http.Request) {
		if id := request.Header.Get("X-Expect-Instance"); id != "" && id != r.settings.ID {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		status, a := call(request.Context(), o)
		a["clockMs"], a["born"] = r.clock().Milliseconds(), r.started.UnixMilli()
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(a)
	}
}

// fenced records the epoch number of an order and reports whether a higher one was seen. The caller holds mu.
func (r *runner) fenced(o order) bool {
	if o.Fence < r.fence {
		return true
	}
	r.fence = o.Fence
	return false
}

// extend extends the lease. The caller holds mu.
func (r *runner) extend(o order) {
	wanted := time.Duration(o.Deadline) * time.Millisecond
	r.leaseEnd = max(r.leaseEnd, min(wanted, r.clock()+r.settings.MaxHold))
}

func refusal(reason string) (int, answer) { return http.StatusConflict, answer{"reason": reason} }

func (r *runner) start(_ context.Context, o order) (int, answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(o) {
		return refusal("fence")
	}
	r.extend(o)
	if r.clock() > r.leaseEnd {
		return refusal("late")
	}
	if e := r.runs[o.Task]; e != nil && e.attempt == o.Attempt {
		return http.StatusOK, answer{}
	}
	if o.Attempt <= r.ended[o.Task] || r.runs[o.Task] != nil {
		return refusal("old")
	}
	e := &execution{task: o.Task, attempt: o.Attempt, begun: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &e.spec); err != nil {
		return http.StatusBadRequest, answer{}
	}
	r.runs[o.Task] = e
	r.emit(event{What: "begun", Task: o.Task, Attempt: o.Attempt, Spec: o.Spec})
	return http.StatusOK, answer{}
}

func (r *runner) stop(_ context.Context, o order) (int, answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(o) {
		return refusal("fence")
	}
	r.ended[o.Task] = max(r.ended[o.Task], o.Attempt)
	e := r.runs[o.Task]
	if e == nil || e.attempt > o.Attempt || e.stopping {
		return http.StatusOK, answer{}
	}
	e.stopping = true
	time.AfterFunc(r.settings.StopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[e.task] == e {
			r.end(e, "stopped")
		}
	})
	return http.StatusOK, answer{}
}

func (r *runner) hold(ctx context.Context, o order) (int, answer) {
	r.mu.Lock()
	if r.fenced(o) {
		r.mu.Unlock()
		return refusal("fence")
	}
	if o.Deadline > 0 {
		r.extend(o)
	}
	for len(r.ends) > 0 && r.ends[0].number <= o.Acked {
		r.ends = r.ends[1:]
	}
	changed, waits := r.changed, len(r.ends) == 0 && o.Wait > 0
	r.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.Wait)*time.Millisecond, maxWait)):
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, e := range r.runs {
		running = append(running, []any{e.task, e.attempt, "", e.percent(now), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEndsListed)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, answer{"running": running, "finished": finished}
}
