package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's runners in these cases, as a small deployment has them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	worldTick         = 10 * time.Millisecond
	maxHold           = 10 * time.Second
	gangWait          = 3 * time.Second
	stopTime          = 100 * time.Millisecond
	maxListed         = 500
)

// workload is what the spec of a job tells the stand-in runners about its tasks.
type workload struct {
	WorkMs int64 `json:"workMs"`          // how long each task works
	Gang   int   `json:"gang,omitempty"`  // number of members that work only together
	Lasts  bool  `json:"lasts,omitempty"` // the task works until it is stopped, from workMs after its start
}

// run is one run of a task on a runner.
type run struct {
	task      string
	attempt   int
	work      workload
	started   time.Time
	stopAt    time.Time // when a requested stop takes effect; zero if none was requested
	workSince time.Time // when it began to work; zero while a gang is incomplete
}

// end is a row of a runner's list of ends.
type end struct {
	number  int
	task    string
	attempt int
	how     string
}

// world holds all runners of a case. mu guards the runners' state as well, so that gangs end on all of them at once.
type world struct {
	mu      sync.Mutex
	record  *record
	runners []*runner
	specs   map[string]string // of the last start of each job, as the runner was told
}

// runner is a stand-in for one of the platform's runners.
type runner struct {
	world    *world
	name     string
	machine  *side
	capacity capacity
	labels   []string

	id       string
	born     time.Time
	server   *http.Server
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	cut      bool // no packet passes between the runner and any machine
	draining bool
	leavesAt time.Time // while it drains
	sequence int

	token    uint64
	deadline time.Duration // on the runner's clock
	running  map[string]*run
	last     map[string]int // highest attempt that ended or was stopped, by task
	ends     []end
	ended    int
	changed  chan struct{}
}

type capacity struct {
	CPU    int `json:"cpu"`
	Memory int `json:"memMb"`
	GPU    int `json:"gpu"`
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// boot starts a life of the runner under the given id. Nothing of an earlier life is left.
func (r *runner) boot(id string) error {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	listener, err := net.Listen("tcp", r.machine.app)
	if err != nil {
		return err
	}
	r.id, r.born, r.listener, r.cut, r.draining, r.sequence = id, time.Now(), listener, false, false, 0
	r.token, r.deadline, r.running, r.last, r.ends, r.ended = 0, 0, map[string]*run{}, map[string]int{}, nil, 0
	r.changed = make(chan struct{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.handle(r.start))
	mux.HandleFunc("POST /v1/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /v1/hold", r.hold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	r.server = &http.Server{Handler: r.unlessCut(mux)}
	go func(s *http.Server, l net.Listener) { _ = s.Serve(l) }(r.server, listener)
	go r.heartbeats(r.ctx, id)
	r.world.record.line("runner %s: starts as %s, born %d", r.name, id, r.born.UnixMilli())
	return nil
}

// crash ends the runner's life: nothing is sent, and what ran is gone.
func (r *runner) crash() {
	r.world.mu.Lock()
	r.cancel()
	for _, x := range r.running {
		r.world.breakGang(x)
	}
	r.running = map[string]*run{}
	server := r.server
	r.world.record.line("runner %s: crashes", r.name)
	r.world.mu.Unlock()
	_ = server.Close()
}

// drain announces that the runner drains and will be gone after a time.
func (r *runner) drain(left time.Duration) {
	r.world.mu.Lock()
	r.draining, r.leavesAt = true, time.Now().Add(left)
	r.world.record.line("runner %s: drains, %v left", r.name, left)
	ctx, id := r.ctx, r.id
	r.world.mu.Unlock()
	r.heartbeat(ctx, &http.Client{Timeout: time.Second}, id)
}

// setCut cuts the runner off from all machines, or joins it again. It runs on meanwhile.
func (r *runner) setCut(cut bool) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.cut = cut
	r.world.record.line("runner %s: cut off: %v", r.name, cut)
}

func (r *runner) isCut() bool {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	return r.cut
}

// unlessCut answers nothing while the runner is cut off. What came in meanwhile is lost.
func (r *runner) unlessCut(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) {
		if r.isCut() {
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(out, q)
	})
}

func (r *runner) heartbeats(ctx context.Context, id string) {
	client := &http.Client{Timeout: time.Second}
	for {
		if !r.isCut() {
			r.heartbeat(ctx, client, id)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (r *runner) heartbeat(ctx context.Context, client *http.Client, id string) {
	r.world.mu.Lock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	document := map[string]any{
		"service": serviceName, "addr": r.machine.app, "zone": r.machine.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": r.capacity, "labels": r.labels, "clockMs": r.clock().Milliseconds(), "seq": r.sequence, "born": r.born.UnixMilli(),
	}
	if r.draining {
		document["remainingMs"] = max(time.Until(r.leavesAt).Milliseconds(), 0)
	}
	r.world.mu.Unlock()
	body, _ := json.Marshal(document)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.machine.control+"/v1/Instances.Heartbeat/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	q.Header.Set("Content-Type", "application/json")
	if response, err := client.Do(q); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    uint64 `json:"fencingToken"`
	Acked    int    `json:"ackedSeq"`
	Wait     int64  `json:"waitMs"`
}

// handle decodes an order and answers it with a status and a reason.
func (r *runner) handle(do func(order) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, q *http.Request) {
		var o order
		if !r.read(out, q, &o) {
			return
		}
		r.world.mu.Lock()
		status, reason := http.StatusConflict, "fence"
		if o.Token >= r.token {
			r.token = o.Token
			status, reason = do(o)
		}
		r.world.record.line("runner %s: %s %s#%d token %d -> %d %s", r.name, strings.TrimPrefix(q.URL.Path, "/v1/run-"), o.Task, o.Attempt, o.Token, status, reason)
		body := map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born.UnixMilli()}
		r.world.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		reply(out, status, body)
	}
}

// read decodes an order that is meant for this life of the runner.
func (r *runner) read(out http.ResponseWriter, q *http.Request, o *order) bool {
	if q.Header.Get("X-Expect-Instance") != r.id {
		reply(out, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if err := json.NewDecoder(q.Body).Decode(o); err != nil {
		reply(out, http.StatusBadRequest, map[string]any{})
		return false
	}
	return true
}

func reply(out http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(data)))
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

// start starts a run. The caller holds mu.
func (r *runner) start(o order) (int, string) {
	deadline := min(time.Duration(o.Deadline)*time.Millisecond, r.clock()+maxHold)
	if deadline <= r.clock() {
		return http.StatusConflict, "late"
	}
	if x := r.running[o.Task]; x != nil && x.attempt == o.Attempt {
		return http.StatusOK, ""
	}
	r.deadline = max(r.deadline, deadline)
	if x := r.running[o.Task]; r.last[o.Task] >= o.Attempt || x != nil && x.attempt > o.Attempt {
		return http.StatusConflict, "old"
	}
	job, _, _ := strings.Cut(o.Task, ".")
	r.world.specs[job] = o.Spec
	var w workload
	if json.Unmarshal([]byte(o.Spec), &w) != nil {
		w = workload{WorkMs: 500}
	}
	r.running[o.Task] = &run{task: o.Task, attempt: o.Attempt, work: w, started: time.Now()}
	return http.StatusOK, ""
}

// stop stops a run, or keeps it from ever starting. The caller holds mu.
func (r *runner) stop(o order) (int, string) {
	if x := r.running[o.Task]; x != nil && x.attempt == o.Attempt {
		if x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
		return http.StatusOK, ""
	}
	r.last[o.Task] = max(r.last[o.Task], o.Attempt)
	return http.StatusOK, ""
}

// hold renews the lease and lists runs and ends, at the latest after the time that the order allows to wait for an end.
func (r *runner) hold(out http.ResponseWriter, q *http.Request) {
	var o order
	if !r.read(out, q, &o) {
		return
	}
	r.world.mu.Lock()
	if o.Token < r.token {
		clock := r.clock().Milliseconds()
		r.world.mu.Unlock()
		reply(out, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	r.token = o.Token
	if o.Deadline > 0 {
		r.deadline = max(r.deadline, min(time.Duration(o.Deadline)*time.Millisecond, r.clock()+maxHold))
	}
	for len(r.ends) > 0 && r.ends[0].number <= o.Acked {
		r.world.record.line("runner %s: the end %d of %s#%d is taken note of", r.name, r.ends[0].number, r.ends[0].task, r.ends[0].attempt)
		r.ends = r.ends[1:]
	}
	changed, news := r.changed, len(r.ends) > 0
	r.world.mu.Unlock()
	if o.Wait > 0 && !news {
		select {
		case <-changed:
		case <-q.Context().Done():
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
	}
	if r.isCut() {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reply(out, http.StatusOK, r.lists())
}

func (r *runner) lists() map[string]any {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.running {
		running = append(running, []any{x.task, x.attempt, "", x.percent(), 1000})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born.UnixMilli(), "running": running, "finished": finished}
}

func (x *run) percent() int {
	if x.workSince.IsZero() || x.work.WorkMs <= 0 {
		return 0
	}
	return int(min(time.Since(x.workSince).Milliseconds()*100/x.work.WorkMs, 100))
}

// finish ends a run. The caller holds mu.
func (r *runner) finish(x *run, how string) {
	delete(r.running, x.task)
	r.last[x.task] = max(r.last[x.task], x.attempt)
	r.ended++
	r.ends = append(r.ends, end{r.ended, x.task, x.attempt, how})
	r.world.record.line("runner %s: end %d of %s#%d: %s", r.name, r.ended, x.task, x.attempt, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// gangOf names the gang that a run belongs to.
func gangOf(x *run) string {
	return fmt.Sprintf("%s#%d", x.task[:strings.LastIndexByte(x.task, '.')], x.attempt)
}

// members returns the runs of the gang that x belongs to, by their runners. The caller holds mu.
func (w *world) members(x *run) map[*run]*runner {
	found := map[*run]*runner{}
	for _, r := range w.runners {
		for _, o := range r.running {
			if x.work.Gang > 0 && gangOf(o) == gangOf(x) {
				found[o] = r
			}
		}
	}
	return found
}

// breakGang ends the other members of a gang of which x has gone. The caller holds mu.
func (w *world) breakGang(x *run) {
	for o, r := range w.members(x) {
		if o != x {
			r.finish(o, "broken")
		}
	}
}

// play lets the runs work until ctx ends.
func (w *world) play(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(worldTick)
		w.step()
	}
}

func (w *world) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range w.runners {
		for _, x := range r.running {
			if r.running[x.task] == x {
				w.stepRun(r, x, now)
			}
		}
	}
}

func (w *world) stepRun(r *runner, x *run, now time.Time) {
	switch {
	case r.clock() > r.deadline:
		r.finish(x, "lapsed")
		w.breakGang(x)
		return
	case !x.stopAt.IsZero() && now.After(x.stopAt):
		r.finish(x, "stopped")
		w.breakGang(x)
		return
	case x.workSince.IsZero() && (x.work.Gang == 0 || len(w.members(x)) == x.work.Gang):
		x.workSince = now
		for o := range w.members(x) {
			o.workSince = now
		}
	case x.workSince.IsZero() && now.Sub(x.started) > gangWait:
		r.finish(x, "alone")
		return
	}
	if x.work.Lasts || x.workSince.IsZero() || now.Sub(x.workSince).Milliseconds() < x.work.WorkMs {
		return
	}
	for o, other := range w.members(x) {
		if o != x {
			other.finish(o, "done")
		}
	}
	r.finish(x, "done")
}
