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

// The headers of callers' requests and of answers to them.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderRepeatable = "Lagoonmill-Repeatable" // yes or no; "no" makes the request run at most once
	HeaderClass      = "Lagoonmill-Class"      // urgent, normal or batch
	HeaderDeadline   = "Lagoonmill-Deadline"   // timeout in milliseconds
	HeaderOutcome    = "Lagoonmill-Outcome"    // outcome of the request, in every answer
)

// The values of HeaderOutcome.
const (
	OutcomeFinished = "finished" // the backend server answered; the answer is complete unless it is no longer kept
	OutcomeNotRun   = "not-run"  // the request was not passed to any backend server
	OutcomeUnknown  = "unknown"  // the request may or may not have run
	OutcomeRunning  = "running"  // a request with this id was dispatched and its outcome is not yet known
	OutcomeRefused  = "refused"  // the request is invalid or not permitted; it was not run
)

const (
	defaultTimeout      = 30 * time.Second
	maxTimeout          = 60 * time.Second
	maxKeyBytes         = 256
	fullRetryInterval   = 5 * time.Millisecond
	outcomePollInterval = 10 * time.Millisecond
)

// admitter decides whether the entry may admit new work.
type admitter interface {
	Admit(context.Context) error
}

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Owner   string // identity of this entry process, which owns its claims
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
	client   *runner.Client
	clock    timekeeper.Clock
	budget   *retryBudget
	outcomes *outcomeRecorder
	inFlight atomic.Int64
}

// NewHandler returns a handler. Its Run must run for outcomes to be retried.
func NewHandler(config Config) *Handler {
	const connectionsPerAgent = 256
	return &Handler{
		Config: config, client: runner.NewClient(connectionsPerAgent), clock: timekeeper.Monotonic{},
		budget: &retryBudget{}, outcomes: newOutcomeRecorder(config.Claimer),
	}
}

// Register routes /r/SERVICE/PATH to the handler.
func (h *Handler) Register(r *mux.Router) {
	r.PathPrefix("/r/{service}/").Handler(h)
}

// Run commits in the background the outcomes that could not be committed at once, until ctx ends.
func (h *Handler) Run(ctx context.Context) error { return h.outcomes.run(ctx) }

// InFlight returns the number of requests that are being served or whose outcome is being resolved.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// call is one request in flight.
type call struct {
	workspace string
	service   string
	class     scheduler.Class
	once      bool // must not run twice; key and nonce are set
	key       registrar.RequestKey
	method    string
	uri       string
	header    http.Header
	body      []byte
	digest    []byte
	nonce     string
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	began := time.Now()
	c, status, err := h.parseCall(w, r)
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
		h.Log.Log(logger.RequestOutcomeUnknown, logger.F("workspace", c.workspace), logger.F("error", result.err))
	}
}

// parseCall validates a request and reads its whole body. With an error it returns the HTTP status to answer.
func (h *Handler) parseCall(w http.ResponseWriter, r *http.Request) (*call, int, error) {
	identity, err := h.Tokens.Identify(r)
	if err != nil {
		return nil, http.StatusUnauthorized, err
	}
	if identity.Kind != authenticator.KindWorkspace {
		return nil, http.StatusForbidden, errors.New("requests need the token of a workspace")
	}
	c := &call{workspace: identity.Name, service: mux.Vars(r)["service"], method: r.Method, header: r.Header, class: scheduler.ClassNormal}
	c.uri = r.URL.RequestURI()[len("/r/")+len(c.service):]
	if name := r.Header.Get(HeaderClass); name != "" {
		if c.class, err = scheduler.ParseClass(name); err != nil {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: %w", HeaderClass, err)
		}
	}
	if err := c.parseRepeatable(r); err != nil {
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

// parseRepeatable sets once, key and nonce if the request must not run twice: it has an idempotency key, and
// HeaderRepeatable is not "yes".
func (c *call) parseRepeatable(r *http.Request) error {
	key := r.Header.Get(HeaderKey)
	switch repeatable := r.Header.Get(HeaderRepeatable); {
	case repeatable != "" && repeatable != "yes" && repeatable != "no":
		return fmt.Errorf("%s: got %q, want yes or no", HeaderRepeatable, repeatable)
	case repeatable == "no" && key == "":
		return fmt.Errorf("%s: missing; a request that must not run twice needs it", HeaderKey)
	case len(key) > maxKeyBytes:
		return fmt.Errorf("%s: got %d bytes, want at most %d", HeaderKey, len(key), maxKeyBytes)
	case key == "" || repeatable == "yes":
		return nil
	}
	c.once = true
	c.key = registrar.RequestKey{Workspace: c.workspace, Key: key}
	c.nonce = uuid.NewString()
	return nil
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	timeout := defaultTimeout
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 {
			return nil, nil, fmt.Errorf("%s: got %q, want a positive number of milliseconds", HeaderDeadline, text)
		}
		timeout = min(timekeeper.Millis(ms).Duration(), maxTimeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

// result is the outcome of a request, as it is written to the caller.
type result struct {
	outcome    string
	status     int // used if answer is nil
	answer     *runner.Answer
	err        error
	retryAfter time.Duration
}

func notRun(status int, err error, retry time.Duration) result {
	return result{outcome: OutcomeNotRun, status: status, err: err, retryAfter: retry}
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
		if existing, ok := h.Machine.State().Request(c.key); ok && existing.Phase != registrar.RequestNotRun {
			return h.existingResult(ctx, c, existing)
		}
	}
	ticket, err := h.Limiter.Acquire(ctx, c.workspace, c.class)
	if err != nil {
		return limiterResult(err)
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

func limiterResult(err error) result {
	var refused *limiter.RefusedError
	if errors.As(err, &refused) {
		return notRun(http.StatusTooManyRequests, err, max(refused.RetryAfter, time.Second))
	}
	return notRun(http.StatusServiceUnavailable, err, time.Second)
}

// dispatch makes one attempt of a call at one backend server and updates the server's load and breaker.
func (h *Handler) dispatch(ctx context.Context, c *call, b *router.Backend, attempt string) (*runner.Answer, error) {
	b.Load.Begin()
	began := time.Now()
	answer, err := h.client.Do(ctx, runner.Request{
		Attempt: attempt, Once: c.once, Method: c.method, URL: "http://" + b.Address + agent.ServePrefix + c.uri,
		Header: c.header, Body: c.body,
	})
	var notStarted *runner.NotStartedError
	if errors.As(err, &notStarted) {
		b.Load.Cancel()
		b.Load.ReportBusy(h.clock.Now(), int64(b.Slots)) // it is down or full: prefer others until the report expires
		return nil, err
	}
	b.Load.End(time.Since(began))
	if err != nil {
		h.recordBackendFailure(ctx, b)
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

// recordBackendFailure counts a failure against a backend server's breaker, unless ctx has ended: then the caller
// canceled or its deadline passed.
func (h *Handler) recordBackendFailure(ctx context.Context, b *router.Backend) {
	if ctx.Err() != nil {
		return
	}
	if b.Load.RecordFailure(h.clock.Now()) {
		h.Log.Log(logger.BreakerOpened, logger.F("agent", b.Agent))
	}
}

// serveRepeatable tries backend servers until one answers. An attempt that was not started may always be retried; one
// that may have run is retried within maxFailures and the retry budget. full reports that no server had a free slot.
func (h *Handler) serveRepeatable(ctx context.Context, c *call) (served result, full bool) {
	const maxFailures = 2
	h.budget.deposit()
	var avoid []*router.Backend
	started := false
	for failures := 0; ; {
		b := h.Router.Pick(c.service, avoid)
		if b == nil {
			if h.Router.Slots(c.service) == 0 || !sleep(ctx, fullRetryInterval) {
				return h.noBackendResult(ctx, c, started), len(avoid) > 0
			}
			avoid, full = nil, true
			continue
		}
		answer, err := h.dispatch(ctx, c, b, uuid.NewString())
		if err == nil {
			return finished(answer), full
		}
		avoid = append(avoid, b)
		var notStarted *runner.NotStartedError
		if errors.As(err, &notStarted) {
			continue
		}
		started = true
		failures++
		if ctx.Err() != nil || failures > maxFailures || !h.budget.withdraw(h.Machine.State().Limits().RetryBudgetPercent) {
			return unknown(err), full
		}
	}
}

// noBackendResult is the result when no backend server accepted the request. started reports that an earlier attempt
// may have run.
func (h *Handler) noBackendResult(ctx context.Context, c *call, started bool) result {
	if started {
		return unknown(errors.New("an attempt may have run, and no backend server accepted a retry"))
	}
	if ctx.Err() != nil {
		return notRun(http.StatusServiceUnavailable, errors.New("no slot became free before the deadline"), time.Second)
	}
	return notRun(http.StatusServiceUnavailable, fmt.Errorf("no backend server serves %q", c.service), time.Second)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (h *Handler) write(w http.ResponseWriter, r result) {
	if r.answer == nil {
		writeOutcome(w, r.status, r.outcome, r.err.Error(), r.retryAfter)
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
		h.Log.Log(logger.ResponseDiscarded, logger.F("error", err))
		panic(http.ErrAbortHandler)
	}
}

// problem is the body of an answer that does not come from a backend server.
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

// retryBudget limits retries to a share of first attempts, so that failures do not multiply the load.
type retryBudget struct {
	tokens atomic.Int64 // retryCost tokens are one retry at the default percentage
}

const (
	defaultRetryPercent = 20
	retryCost           = 100
	maxRetryTokens      = 50 * retryCost
)

func (b *retryBudget) deposit() {
	if b.tokens.Load() < maxRetryTokens {
		b.tokens.Add(defaultRetryPercent)
	}
}

// withdraw reports whether a retry is within the budget, and deducts its cost if so. percent is the ratio of retries
// to first attempts; 0 means the default.
func (b *retryBudget) withdraw(percent int) bool {
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
