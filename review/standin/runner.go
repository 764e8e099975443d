package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// world is what all runners together have seen.
type world struct {
	rec *recorder

	mu      sync.Mutex
	work    map[string]time.Duration // by job: how long each work unit works; zero: until it is stopped
	running map[string][]string      // by work unit: the runners on which it runs
	starts  map[string]int           // by work unit
	begun   map[string]time.Time     // by job: its first start
	twice   []string                 // starts of a work unit that ran elsewhere
	done    map[string]*doneEnd      // by work unit: its first end "done"
	again   []string                 // starts after an end "done"
}

func newWorld(rec *recorder) *world {
	return &world{rec: rec, work: map[string]time.Duration{}, running: map[string][]string{}, starts: map[string]int{}, begun: map[string]time.Time{}, done: map[string]*doneEnd{}}
}

// doneEnd is the end of a run that is done.
type doneEnd struct {
	attempt int
	runner  string
	noted   bool // ackedSeq has reached this end, and the lease had not lapsed
	starts  []string
}

// startedAfterDone returns the work units that were started after a run of theirs had ended done and whose end was taken
// note of, then or later.
func (w *world) startedAfterDone() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for task, d := range w.done {
		if d.noted && len(d.starts) > 0 {
			list = append(list, fmt.Sprintf("%s: run %d on %s ended done and was taken note of, but %s", task, d.attempt, d.runner, strings.Join(d.starts, ", ")))
		}
	}
	sort.Strings(list)
	return list
}

// noteEnd records that ackedSeq has reached an end.
func (w *world) noteEnd(e end, r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.log("runner %s: end %d (%s run %d %s) is taken note of, lease lapsed before: %v", r.id, e.number, e.task, e.attempt, e.how, e.lapsed)
	if d := w.done[e.task]; d != nil && d.attempt == e.attempt && d.runner == r.id && !e.lapsed {
		d.noted = true
	}
}

func (w *world) started(task string, attempt int, r *runner) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	w.rec.printf("runner %s: %s run %d starts", r.id, task, attempt)
	if others := w.running[task]; len(others) > 0 {
		line := fmt.Sprintf("%s run %d starts on %s while it runs on %s", task, attempt, r.id, strings.Join(others, ", "))
		w.twice = append(w.twice, line)
		w.rec.printf("TWICE: %s", line)
	}
	w.running[task] = append(w.running[task], r.id)
	w.starts[task]++
	if d := w.done[task]; d != nil {
		d.starts = append(d.starts, fmt.Sprintf("run %d started on %s", attempt, r.id))
	}
	if w.begun[job].IsZero() {
		w.begun[job] = time.Now()
	}
	return w.work[job]
}

func (w *world) ended(task string, attempt int, how string, r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.printf("runner %s: %s run %d ends: %s", r.id, task, attempt, how)
	if how == "done" && w.done[task] == nil {
		w.done[task] = &doneEnd{attempt: attempt, runner: r.id}
	}
	for i, id := range w.running[task] {
		if id == r.id {
			w.running[task] = append(w.running[task][:i:i], w.running[task][i+1:]...)
			break
		}
	}
}

func (w *world) setWork(job string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work[job] = d
}

func (w *world) startsOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

func (w *world) ranTwice() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.twice) > 0
}

func (w *world) runnersOf(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.running[task]...)
}

// profile is what a runner says of itself.
type profile struct {
	cpu, memMb, gpu int
	labels          []string
}

type run struct {
	attempt    int
	startedAt  time.Time
	work       time.Duration
	checkpoint string
	stopAt     time.Time
}

type end struct {
	number  int
	task    string
	attempt int
	how     string
	saved   string
	lapsed  bool // the lease has lapsed since
}

// runner is one life of a runner, as PROTOCOL.md describes it.
type runner struct {
	world   *world
	profile profile
	id      string
	zone    string
	address string
	control string // of its machine
	server  *http.Server
	closed  chan struct{}
	once    sync.Once

	mu        sync.Mutex
	born      int64
	boot      time.Time
	seq       int
	draining  bool
	leaveAt   time.Time
	unhealthy bool // answers 503 to starts, and does nothing
	fence     uint64
	lease     int64
	runs      map[string]*run
	highest   map[string]int
	ends      []end
	endCount  int
	news      chan struct{}
	calls     int
}

// maxChannels is the number of channels that a runner accepts at the same time.
const maxChannels = 64

// limitedListener accepts a channel only while fewer than cap(room) are open.
type limitedListener struct {
	net.Listener
	room chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.room <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitedConn{Conn: conn, room: l.room}, nil
}

type limitedConn struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}

func newRunner(w *world, p profile, id, zone, ip string, ports ports) (*runner, error) {
	r := &runner{
		world: w, profile: p, id: id, zone: zone, address: fmt.Sprintf("%s:%d", ip, ports.app), control: fmt.Sprintf("%s:%d", ip, ports.control),
		closed: make(chan struct{}), born: time.Now().UnixMilli(), boot: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, news: make(chan struct{}),
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST /v1/run-start", r.start)
	routes.HandleFunc("POST /v1/run-stop", r.stop)
	routes.HandleFunc("POST /v1/hold", r.hold)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r.server = &http.Server{Handler: routes}
	limited := &limitedListener{Listener: listener, room: make(chan struct{}, maxChannels)}
	go func() { _ = r.server.Serve(limited) }()
	go r.repeat(10*time.Millisecond, r.tick)
	go r.repeat(1500*time.Millisecond, func() { r.beat() })
	return r, nil
}

func (r *runner) repeat(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-r.closed:
			return
		case <-ticker.C:
		}
	}
}

// close ends the life of the runner. Everything that runs on it ends with it.
func (r *runner) close() {
	r.once.Do(func() {
		close(r.closed)
		_ = r.server.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for task, run := range r.runs {
			r.world.ended(task, run.attempt, "ended with its runner", r)
		}
		r.runs = map[string]*run{}
	})
}

func (r *runner) clock() int64 { return time.Since(r.boot).Milliseconds() }

func (r *runner) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls > 2 && r.lease > 0
}

// tick ends runs that are done, stopped or whose lease has lapsed.
func (r *runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock() > r.lease {
		for i := range r.ends {
			r.ends[i].lapsed = true
		}
	}
	for task, run := range r.runs {
		switch {
		case !run.stopAt.IsZero() && time.Now().After(run.stopAt):
			r.end(task, "stopped")
		case run.work > 0 && time.Since(run.startedAt) >= run.work:
			r.end(task, "done")
		case r.clock() > r.lease:
			r.end(task, "lapsed")
		}
	}
}

func (r *runner) end(task, how string) {
	run := r.runs[task]
	delete(r.runs, task)
	r.world.ended(task, run.attempt, how, r)
	r.highest[task] = max(r.highest[task], run.attempt)
	r.endCount++
	r.ends = append(r.ends, end{number: r.endCount, task: task, attempt: run.attempt, how: how, saved: run.checkpoint})
	close(r.news)
	r.news = make(chan struct{})
}

// beat sends a check-in and reports whether it was acknowledged within a second.
func (r *runner) beat() bool {
	r.mu.Lock()
	r.seq++
	body := map[string]any{
		"service": service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": r.profile.cpu, "memMb": r.profile.memMb, "gpu": r.profile.gpu}, "labels": r.profile.labels,
		"clockMs": r.clock(), "seq": r.seq, "born": r.born,
	}
	if r.draining {
		body["state"] = "draining"
		body["remainingMs"] = max(time.Until(r.leaveAt).Milliseconds(), 0)
	}
	r.mu.Unlock()
	data, _ := json.Marshal(body)
	status, _, err := call(http.MethodPost, r.control, "", "/v1/Instances.Heartbeat/"+r.id, string(data), nil, time.Second)
	return err == nil && status/100 == 2
}

// drain reports draining until that is acknowledged. The runner will leave after the given time.
func (r *runner) drain(after time.Duration) {
	r.mu.Lock()
	r.draining, r.leaveAt = true, time.Now().Add(after)
	r.mu.Unlock()
	for !r.beat() {
		time.Sleep(200 * time.Millisecond)
	}
	r.world.rec.printf("runner %s: reports draining, acknowledged", r.id)
}

// leave deregisters the runner and ends it: at once if that is acknowledged within a second, else after a while.
func (r *runner) leave(else_ time.Duration) {
	r.world.rec.printf("runner %s: sends Instances.Deregister", r.id)
	body := fmt.Sprintf(`{"born":%d}`, r.born)
	status, _, err := call(http.MethodPost, r.control, "", "/v1/Instances.Deregister/"+r.id, body, nil, time.Second)
	if err == nil && status/100 == 2 {
		r.world.rec.printf("runner %s: is acknowledged and ends", r.id)
		r.close()
		return
	}
	r.world.rec.printf("runner %s: gets no acknowledgement within a second (%v)", r.id, err)
	time.Sleep(else_)
	r.world.rec.printf("runner %s: ends anyway", r.id)
	r.close()
}

func (r *runner) setUnhealthy(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhealthy = on
	r.world.rec.printf("runner %s: unhealthy: %v", r.id, on)
}

type request struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Lease      int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fencingToken"`
	Acked      int    `json:"ackedSeq"`
	Wait       int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

// read decodes a request, and answers one for another runner.
func (r *runner) read(out http.ResponseWriter, in *http.Request) (request, bool) {
	var q request
	if err := json.NewDecoder(in.Body).Decode(&q); err != nil {
		r.reply(out, http.StatusBadRequest, map[string]any{})
		return q, false
	}
	if id := in.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
		r.reply(out, http.StatusMisdirectedRequest, map[string]any{})
		return q, false
	}
	return q, true
}

// reply writes a response. The caller holds mu, or does not need the clock to be exact.
func (r *runner) reply(out http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = r.clock(), r.born
	data, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (r *runner) start(out http.ResponseWriter, in *http.Request) {
	q, ok := r.read(out, in)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unhealthy {
		r.world.rec.printf("runner %s: rejects the start of %s run %d with 503 and does nothing", r.id, q.Task, q.Attempt)
		r.reply(out, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	if q.Fence < r.fence {
		r.reply(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.fence = q.Fence
	r.lease = max(r.lease, min(q.Lease, r.clock()+maxHold))
	old, running := r.runs[q.Task]
	switch {
	case running && old.attempt == q.Attempt:
	case q.Attempt <= r.highest[q.Task]:
		r.reply(out, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case q.Lease < r.clock():
		r.reply(out, http.StatusConflict, map[string]any{"reason": "late"})
		return
	default:
		r.runs[q.Task] = &run{attempt: q.Attempt, startedAt: time.Now(), checkpoint: q.Checkpoint, work: r.world.started(q.Task, q.Attempt, r)}
	}
	r.reply(out, http.StatusOK, map[string]any{})
}

func (r *runner) stop(out http.ResponseWriter, in *http.Request) {
	q, ok := r.read(out, in)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Fence < r.fence {
		r.reply(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.fence = q.Fence
	r.highest[q.Task] = max(r.highest[q.Task], q.Attempt)
	if run, running := r.runs[q.Task]; running && run.attempt <= q.Attempt && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(100 * time.Millisecond) // at most stopTimeoutMs, 200
	}
	r.reply(out, http.StatusOK, map[string]any{})
}

func (r *runner) hold(out http.ResponseWriter, in *http.Request) {
	q, ok := r.read(out, in)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Fence < r.fence {
		r.reply(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.fence = q.Fence
	r.calls++
	r.lease = max(r.lease, min(q.Lease, r.clock()+maxHold))
	for len(r.ends) > 0 && r.ends[0].number <= q.Acked {
		r.world.noteEnd(r.ends[0], r)
		r.ends = r.ends[1:]
	}
	if len(r.ends) == 0 && q.Wait > 0 {
		news := r.news
		r.mu.Unlock()
		select {
		case <-news:
		case <-time.After(time.Duration(min(q.Wait, 2000)) * time.Millisecond):
		case <-in.Context().Done():
		case <-r.closed:
		}
		r.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range r.runs {
		percent := 100
		if run.work > 0 {
			percent = int(min(time.Since(run.startedAt)*100/run.work, 100))
		}
		running = append(running, []any{task, run.attempt, run.checkpoint, percent, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	r.reply(out, http.StatusOK, map[string]any{"running": running, "finished": finished})
}
