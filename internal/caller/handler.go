package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/lagoonmill/lagoonmill/internal/agent"
	"github.com/lagoonmill/lagoonmill/internal/authenticator"
	"github.com/lagoonmill/lagoonmill/internal/limiter"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/meter"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/router"
	"github.com/lagoonmill/lagoonmill/internal/runner"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// The headers of a caller's request and of its answer.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderRepeatable = "Lagoonmill-Repeatable" // "no" makes the request run at most once
	HeaderClass      = "Lagoonmill-Class"      // urgent, normal or batch
	HeaderDeadline   = "Lagoonmill-Deadline"   // milliseconds that the caller waits
	HeaderOutcome    = "Lagoonmill-Outcome"    // what became of the request
)

// The values of HeaderOutcome.
const (
	OutcomeFinished = "finished" // the answer is the backend server's, whole
	OutcomeNotRun   = "not-run"  // no backend server was handed the request
	OutcomeUnknown  = "unknown"  // it may have run; nothing proves whether it did
	OutcomeRunning  = "running"  // it was handed over under this id and has not ended
	OutcomeRefused  = "refused"  // the request cannot be accepted as it is; it was not run
)

const (
	defaultWait = 30 * time.Second
	longestWait = 60 * time.Second
	maxKeyBytes = 256
	fullPause   = 5 * time.Millisecond
	settledPoll = 10 * time.Millisecond
)

// admitter tells whether the entry may take new work.
type admitter interface {
	Admit(context.Context) error
}

// Config holds what a Handler works with.
type Config struct {
	Owner   string // this entry process
	Tokens  authenticator.Tokens
	Machine *registrar.Machine
	Router  *router.Router
	Limiter *limiter.Limiter
	Claimer *Claimer
	Holder  admitter
	Log     logger.Logger
	Meter   meter.Meter
}

// Handler serves requests of callers. It is safe for concurrent use and takes no lock of its own.
type Handler struct {
	Config
	caller   *runner.Caller
	clock    timekeeper.Clock
	budget   *retryBudget
	settler  *settler
	inFlight atomic.Int64
}

// NewHandler returns a handler.
func NewHandler(config Config) *Handler {
	const connectionsPerAgent = 256
	return &Handler{
		Config: config, caller: runner.NewCaller(connectionsPerAgent), clock: timekeeper.Monotonic{},
		budget: &retryBudget{}, settler: newSettler(config.Claimer),
	}
}

// Register adds the handler's path to a router: /r/SERVICE/PATH.
func (h *Handler) Register(r *mux.Router) {
	r.PathPrefix("/r/{service}/").Handler(h)
}

// Run records in the background what could not be recorded at once, until ctx ends.
func (h *Handler) Run(ctx context.Context) error { return h.settler.run(ctx) }

// InFlight returns the number of requests that have not been answered yet.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// call is one request in progress.
type call struct {
	workspace string
	service   string
	class     scheduler.Class
	once      bool
	key       registrar.RequestKey
	method    string
	uri       string
	header    http.Header
	body      []byte
	digest    []byte
	nonce     string
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	began := time.Now()
	c, status, err := h.read(w, r)
	if err != nil {
		writeOutcome(w, status, OutcomeRefused, err.Error(), 0)
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		writeOutcome(w, http.StatusBadRequest, OutcomeRefused, err.Error(), 0)
		return
	}
	defer cancel()
	result := h.serve(ctx, c)
	h.write(w, result)
	h.Meter.Observe("request_duration", c.workspace, c.class.String(), time.Since(began))
	h.Meter.Count("requests", c.workspace, c.class.String(), result.outcome)
	if result.outcome == OutcomeUnknown {
		h.Log.Log(logger.RequestUnsettled, logger.F("workspace", c.workspace), logger.F("error", result.err))
	}
}

// read checks a request and takes its body whole.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*call, int, error) {
	identity, err := h.Tokens.Identify(r)
	if err != nil {
		return nil, http.StatusUnauthorized, err
	}
	if identity.Kind != authenticator.KindWorkspace {
		return nil, http.StatusForbidden, errors.New("requests are made with a workspace's token")
	}
	c := &call{workspace: identity.Name, service: mux.Vars(r)["service"], method: r.Method, header: r.Header, class: scheduler.ClassNormal}
	c.uri = r.URL.RequestURI()[len("/r/")+len(c.service):]
	if name := r.Header.Get(HeaderClass); name != "" {
		if c.class, err = scheduler.ParseClass(name); err != nil {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: %w", HeaderClass, err)
		}
	}
	if err := c.readRepeatable(r); err != nil {
		return nil, http.StatusBadRequest, err
	}
	c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, agent.MaxBodyBytes))
	if err != nil {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("read body: %w", err)
	}
	sum := sha256.Sum256(append([]byte(c.method+" "+c.service+c.uri+"\n"), c.body...))
	c.digest = sum[:]
	return c, 0, nil
}

// readRepeatable takes the marks of a request that must not run twice: the header, or an idempotency key.
func (c *call) readRepeatable(r *http.Request) error {
	key := r.Header.Get(HeaderKey)
	switch mark := r.Header.Get(HeaderRepeatable); {
	case mark != "" && mark != "yes" && mark != "no":
		return fmt.Errorf("%s: got %q, want yes or no", HeaderRepeatable, mark)
	case mark == "no" && key == "":
		return fmt.Errorf("%s: a request that must not run twice needs one", HeaderKey)
	case len(key) > maxKeyBytes:
		return fmt.Errorf("%s: got %d bytes, want at most %d", HeaderKey, len(key), maxKeyBytes)
	case key == "" || mark == "yes":
		return nil
	}
	c.once = true
	c.key = registrar.RequestKey{Workspace: c.workspace, Key: key}
	c.nonce = uuid.NewString()
	return nil
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	wait := defaultWait
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 {
			return nil, nil, fmt.Errorf("%s: got %q, want milliseconds above 0", HeaderDeadline, text)
		}
		wait = min(timekeeper.Millis(ms).Duration(), longestWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	return ctx, cancel, nil
}

// result is what a caller is told.
type result struct {
	outcome string
	status  int // where there is no answer
	answer  *runner.Answer
	err     error
	retry   time.Duration
}

func notRun(status int, err error, retry time.Duration) result {
	return result{outcome: OutcomeNotRun, status: status, err: err, retry: retry}
}

func unknown(err error) result {
	return result{outcome: OutcomeUnknown, status: http.StatusBadGateway, err: err}
}

func finished(a *runner.Answer) result { return result{outcome: OutcomeFinished, answer: a} }

func (h *Handler) serve(ctx context.Context, c *call) result {
	if err := h.Holder.Admit(ctx); err != nil {
		return notRun(http.StatusServiceUnavailable, err, time.Second)
	}
	if c.once {
		if known, ok := h.Machine.State().Request(c.key); ok && known.Phase != registrar.RequestNotRun {
			return h.known(ctx, c, known)
		}
	}
	ticket, err := h.Limiter.Acquire(ctx, c.workspace, c.class)
	if err != nil {
		return refusedBy(err)
	}
	full := false
	var served result
	defer func() { ticket.Release(served.outcome == OutcomeFinished, full) }()
	if err := h.Holder.Admit(ctx); err != nil {
		served = notRun(http.StatusServiceUnavailable, err, time.Second)
		return served
	}
	if c.once {
		served, full = h.serveOnce(ctx, c)
	} else {
		served, full = h.serveRepeatable(ctx, c)
	}
	return served
}

func refusedBy(err error) result {
	var refused *limiter.RefusedError
	if errors.As(err, &refused) {
		return notRun(http.StatusTooManyRequests, err, max(refused.RetryAfter, time.Second))
	}
	return notRun(http.StatusServiceUnavailable, err, time.Second)
}

// dispatch hands a call to one backend server, once.
func (h *Handler) dispatch(ctx context.Context, c *call, b *router.Backend, attempt string) (*runner.Answer, error) {
	b.Load.Begin()
	began := time.Now()
	answer, err := h.caller.Do(ctx, runner.Request{
		Attempt: attempt, Once: c.once, Method: c.method, URL: "http://" + b.Address + agent.ServePrefix + c.uri,
		Header: c.header, Body: c.body,
	})
	var unstarted *runner.NotStartedError
	if errors.As(err, &unstarted) {
		b.Load.Cancel()
		b.Load.ReportBusy(h.clock.Now(), int64(b.Slots)) // gone or full: others first for a moment
		return nil, err
	}
	b.Load.End(time.Since(began))
	if err != nil {
		h.noteFailure(ctx, b)
		return nil, err
	}
	if b.Load.RecordSuccess() {
		h.Log.Log(logger.BreakerClosed, logger.F("agent", b.Agent))
	}
	if free, err := strconv.ParseInt(answer.Header.Get(runner.HeaderFree), 10, 64); err == nil {
		b.Load.ReportBusy(h.clock.Now(), int64(b.Slots)-free)
	}
	return answer, nil
}

// noteFailure holds a failure against a backend server, unless it was the caller who gave up.
func (h *Handler) noteFailure(ctx context.Context, b *router.Backend) {
	if ctx.Err() != nil {
		return
	}
	if b.Load.RecordFailure(h.clock.Now()) {
		h.Log.Log(logger.BreakerOpened, logger.F("agent", b.Agent))
	}
}

// serveRepeatable tries backend servers until one answers. A try that was not started costs nothing; another after
// one that may have run is paid from the retry budget.
func (h *Handler) serveRepeatable(ctx context.Context, c *call) (served result, full bool) {
	const maxFailures = 2
	h.budget.first()
	var avoid []*router.Backend
	started := false
	for failures := 0; ; {
		b := h.Router.Pick(c.service, avoid)
		if b == nil {
			if h.Router.Slots(c.service) == 0 || !pause(ctx, fullPause) {
				return h.exhausted(ctx, c, started), len(avoid) > 0
			}
			avoid, full = nil, true
			continue
		}
		answer, err := h.dispatch(ctx, c, b, uuid.NewString())
		if err == nil {
			return finished(answer), full
		}
		avoid = append(avoid, b)
		var unstarted *runner.NotStartedError
		if errors.As(err, &unstarted) {
			continue
		}
		started = true
		failures++
		if ctx.Err() != nil || failures > maxFailures || !h.budget.take(h.Machine.State().Limits().RetryBudgetPercent) {
			return unknown(err), full
		}
	}
}

// exhausted tells that no backend server took the request.
func (h *Handler) exhausted(ctx context.Context, c *call, started bool) result {
	if started {
		return unknown(errors.New("a try may have run, and no backend server took another"))
	}
	if ctx.Err() != nil {
		return notRun(http.StatusServiceUnavailable, errors.New("no slot came free before the deadline"), time.Second)
	}
	return notRun(http.StatusServiceUnavailable, fmt.Errorf("no backend server serves %q", c.service), time.Second)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (h *Handler) write(w http.ResponseWriter, r result) {
	if r.answer == nil {
		writeOutcome(w, r.status, r.outcome, r.err.Error(), r.retry)
		return
	}
	a := r.answer
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	for _, name := range []string{runner.HeaderFree, runner.HeaderRequest, runner.HeaderStarted, "Connection"} {
		w.Header().Del(name)
	}
	w.Header().Set(HeaderOutcome, OutcomeFinished)
	if err := a.Send(w); err != nil {
		h.Log.Log(logger.AnswerMismatched, logger.F("error", err))
		panic(http.ErrAbortHandler)
	}
}

// problem is the body of an answer that is not a backend server's.
type problem struct {
	Outcome string `json:"outcome"`
	Error   string `json:"error"`
}

func writeOutcome(w http.ResponseWriter, status int, outcome, text string, retry time.Duration) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, outcome)
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{outcome, text})
}

// retryBudget bounds retries to a share of first tries, so that failures do not multiply load.
type retryBudget struct {
	tokens atomic.Int64 // in hundredths of a retry
}

const (
	defaultRetryPercent = 20
	retryCost           = 100
	maxRetryTokens      = 50 * retryCost
)

func (b *retryBudget) first() {
	if b.tokens.Load() < maxRetryTokens {
		b.tokens.Add(defaultRetryPercent)
	}
}

// take pays for a retry; percent, where set, scales what one costs.
func (b *retryBudget) take(percent int) bool {
	cost := int64(retryCost)
	if percent > 0 {
		cost = retryCost * defaultRetryPercent / int64(percent)
	}
	for {
		have := b.tokens.Load()
		if have < cost {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-cost) {
			return true
		}
	}
}
