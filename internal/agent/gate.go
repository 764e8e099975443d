package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/runner"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	// MaxConnections is the number of connections that a backend server takes.
	MaxConnections = 60
	// AnnounceBound is the silence after which a backend server that announced itself counts as gone.
	AnnounceBound = 3 * timekeeper.Second
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes = 1 << 20

	requestBound   = 60 * time.Second
	maxAnnouncment = 64 << 10
)

// The paths of an agent's HTTP address, and the header that names the agent process a fence is meant for.
const (
	AnnouncePath      = "/announce"
	FencePath         = "/fence"
	ServePrefix       = "/serve"
	HeaderIncarnation = "Lagoonmill-Incarnation"
)

// Announcement is what a backend server or a worker tells the agent beside it, again and again while it lives.
type Announcement struct {
	Kind    string `json:"kind"`    // "runner" or "worker"
	Address string `json:"address"` // host:port
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// The kinds of announcements.
const (
	KindRunner = "runner"
	KindWorker = "worker"
)

// Gate passes requests on to the backend server beside the agent: no more at once than it has slots, none once it
// is leaving, and none twice that must not run twice.
type Gate struct {
	incarnation string
	clock       timekeeper.Clock
	log         logger.Logger
	caller      *runner.Caller

	inFlight atomic.Int64
	serving  atomic.Pointer[served]
	closed   atomic.Bool
	attempts *attempts
	changed  chan struct{}
	workers  chan string // addresses of workers that announced themselves
}

// served is the backend server as last announced. It is immutable.
type served struct {
	announcement Announcement
	heard        timekeeper.Millis
}

// NewGate returns the gate of an agent process, with nothing behind it.
func NewGate(incarnation string, clock timekeeper.Clock, log logger.Logger) *Gate {
	return &Gate{
		incarnation: incarnation, clock: clock, log: log, caller: runner.NewCaller(MaxConnections),
		attempts: newAttempts(), changed: make(chan struct{}, 1), workers: make(chan string, 1),
	}
}

// Runner returns what is announced to the rest of the system, nil before a backend server announced itself.
func (g *Gate) Runner() *registrar.Runner {
	s := g.serving.Load()
	if s == nil {
		return nil
	}
	return &registrar.Runner{Service: s.announcement.Service, Slots: s.announcement.Slots, Leaving: !g.open(s)}
}

// open reports whether new requests are taken.
func (g *Gate) open(s *served) bool {
	return s != nil && !g.closed.Load() && !s.announcement.Leaving && g.clock.Now()-s.heard < AnnounceBound
}

// Leave refuses new requests from now on, for a planned stop of the agent.
func (g *Gate) Leave() {
	g.closed.Store(true)
	g.noteChange()
}

// Drained reports whether no request is in flight.
func (g *Gate) Drained() bool { return g.inFlight.Load() == 0 }

func (g *Gate) noteChange() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Announce takes an announcement over HTTP.
func (g *Gate) Announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncment)).Decode(&a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case a.Kind == KindWorker && a.Address != "":
		select {
		case g.workers <- a.Address:
		default:
		}
	case a.Kind == KindRunner && a.Address != "" && a.Slots > 0:
		g.takeRunner(a)
	default:
		http.Error(w, "announcement: want kind runner with address and slots, or kind worker with address", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *Gate) takeRunner(a Announcement) {
	a.Slots = min(a.Slots, MaxConnections)
	old := g.serving.Swap(&served{a, g.clock.Now()})
	if old != nil && old.announcement == a && g.clock.Now()-old.heard < AnnounceBound {
		return
	}
	event := logger.RunnerAnnounced
	if a.Leaving {
		event = logger.RunnerLeaving
	}
	g.log.Log(event, logger.F("address", a.Address), logger.F("slots", a.Slots))
	g.noteChange()
}

// refuse answers that the request was certainly not handed to the backend server.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(runner.HeaderStarted, runner.No)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// Register adds the agent's paths to a router.
func (g *Gate) Register(r *mux.Router) {
	r.HandleFunc(AnnouncePath, g.Announce).Methods(http.MethodPost)
	r.HandleFunc(FencePath, g.Fence).Methods(http.MethodPost)
	r.PathPrefix(ServePrefix + "/").Handler(http.StripPrefix(ServePrefix, http.HandlerFunc(g.Serve)))
}

// Serve passes one request on. The path after the agent's prefix is the backend server's.
func (g *Gate) Serve(w http.ResponseWriter, r *http.Request) {
	s := g.serving.Load()
	if !g.open(s) {
		refuse(w, "the backend server is leaving or gone")
		return
	}
	if !g.takeSlot(s.announcement.Slots) {
		refuse(w, "all slots are taken")
		return
	}
	defer g.inFlight.Add(-1)
	if !g.open(s) {
		refuse(w, "the agent is leaving") // Leave came between the two looks, and may have seen nothing in flight
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		refuse(w, "request body: "+err.Error())
		return
	}
	attempt := r.Header.Get(runner.HeaderRequest)
	once := r.Header.Get(runner.HeaderOnce) == runner.Yes
	if once && !g.attempts.begin(attempt) {
		refuse(w, "this attempt was withdrawn or has begun already")
		return
	}
	g.exchange(w, r, s, runner.Request{
		Attempt: attempt, Once: once, Method: r.Method, URL: "http://" + s.announcement.Address + r.URL.RequestURI(),
		Header: r.Header, Body: body,
	})
}

// takeSlot takes a slot if one is free. A request that is refused never counts as in flight, else a burst of them
// would keep others from free slots.
func (g *Gate) takeSlot(slots int) bool {
	for {
		n := g.inFlight.Load()
		if n >= int64(slots) {
			return false
		}
		if g.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// exchange makes the call and hands the answer back. A request that must not run twice goes on to its end even if
// the entry has gone, so that a resend can be told what came of it.
func (g *Gate) exchange(w http.ResponseWriter, r *http.Request, s *served, request runner.Request) {
	ctx := r.Context()
	if request.Once {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, requestBound)
	defer cancel()
	answer, err := g.caller.Do(ctx, request)
	if err == nil && request.Once && answer.Rest != nil {
		err = g.bufferRest(answer)
	}
	if request.Once {
		g.attempts.end(request.Attempt, answer, err)
	}
	if err != nil {
		g.fail(w, err)
		return
	}
	w.Header().Set(runner.HeaderFree, strconv.FormatInt(int64(s.announcement.Slots)-g.inFlight.Load(), 10))
	writeAnswer(w, request.Attempt, answer)
}

// errTooLarge ends a request that must not run twice whose answer cannot be kept whole.
var errTooLarge = fmt.Errorf("the answer exceeds %d bytes", runner.MaxBufferedBytes)

func (g *Gate) bufferRest(a *runner.Answer) error {
	defer func() { _ = a.Rest.Close() }()
	var one [1]byte
	if _, err := a.Rest.Read(one[:]); !errors.Is(err, io.EOF) {
		return errTooLarge
	}
	a.Rest = nil
	return nil
}

func (g *Gate) fail(w http.ResponseWriter, err error) {
	var unstarted *runner.NotStartedError
	if errors.As(err, &unstarted) {
		refuse(w, unstarted.Error())
		return
	}
	if errors.Is(err, runner.ErrMismatched) {
		g.log.Log(logger.AnswerMismatched, logger.F("error", err))
	}
	http.Error(w, err.Error(), http.StatusBadGateway)
}

func writeAnswer(w http.ResponseWriter, attempt string, a *runner.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(runner.HeaderRequest, attempt)
	if a.Rest == nil {
		w.Header().Set(runner.HeaderDigest, runner.DigestOf(a.Body))
	}
	if a.Send(w) != nil {
		panic(http.ErrAbortHandler)
	}
}

// Fence tells what became of an attempt that must not run twice; one that has not begun never will.
func (g *Gate) Fence(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderIncarnation) != g.incarnation {
		http.Error(w, "another agent process was asked for; this one does not know its attempts", http.StatusGone)
		return
	}
	attempt := r.Header.Get(runner.HeaderRequest)
	answer, err, begun := g.attempts.fence(r.Context(), attempt)
	switch {
	case !begun:
		refuse(w, "not begun, and withdrawn now")
	case err != nil:
		g.fail(w, err)
	default:
		writeAnswer(w, attempt, answer)
	}
}

// watchSilence notes when the backend server has stopped announcing itself, until ctx ends.
func (g *Gate) watchSilence(ctx context.Context) error {
	ticker := time.NewTicker(AnnounceBound.Duration() / 4)
	defer ticker.Stop()
	wasOpen := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s := g.serving.Load()
		isOpen := g.open(s)
		if wasOpen && !isOpen && s != nil && !s.announcement.Leaving {
			g.log.Log(logger.RunnerSilent, logger.F("address", s.announcement.Address))
		}
		if wasOpen != isOpen {
			g.noteChange()
		}
		wasOpen = isOpen
	}
}

// attempts remembers attempts of requests that must not run twice. mu guards the table.
type attempts struct {
	mu    sync.Mutex
	table map[string]*attempt
	order []string
	full  bool // an entry was forgotten: an unknown attempt may have begun
}

// attempt is one that began, or was fenced before it did. done is closed when its end is known.
type attempt struct {
	fenced bool
	done   chan struct{}
	answer *runner.Answer
	err    error
}

// maxAttempts bounds the table; the oldest attempts are forgotten first.
const maxAttempts = 20_000

func newAttempts() *attempts { return &attempts{table: map[string]*attempt{}} }

// begin notes the start of an attempt; it returns false when the attempt began before or was fenced.
func (a *attempts) begin(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table[id] != nil || id == "" {
		return false
	}
	a.put(id, &attempt{done: make(chan struct{})})
	return true
}

func (a *attempts) put(id string, at *attempt) {
	a.table[id] = at
	a.order = append(a.order, id)
	if len(a.order) > maxAttempts {
		delete(a.table, a.order[0])
		a.order = a.order[1:]
		a.full = true
	}
}

func (a *attempts) end(id string, answer *runner.Answer, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.table[id]; at != nil {
		at.answer, at.err = answer, err
		close(at.done)
	}
}

var errForgotten = errors.New("the agent no longer knows whether the attempt began")

// fence returns the end of an attempt that has begun, waiting for it, or makes sure that it never begins.
func (a *attempts) fence(ctx context.Context, id string) (answer *runner.Answer, err error, begun bool) {
	a.mu.Lock()
	at := a.table[id]
	switch {
	case at == nil && a.full:
		a.mu.Unlock()
		return nil, errForgotten, true
	case at == nil:
		a.put(id, &attempt{fenced: true})
		a.mu.Unlock()
		return nil, nil, false
	case at.fenced:
		a.mu.Unlock()
		return nil, nil, false
	}
	a.mu.Unlock()
	select {
	case <-at.done:
		return at.answer, at.err, true
	case <-ctx.Done():
		return nil, ctx.Err(), true
	}
}
