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
	// MaxConnections is the maximum number of connections to a backend server.
	MaxConnections = 60
	// AnnouncementTimeout is how long an announcement of a backend server stays valid.
	AnnouncementTimeout = 3 * timekeeper.Second
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20

	requestTimeout       = 60 * time.Second
	maxAnnouncementBytes = 64 << 10
)

// The paths that an agent serves over HTTP, and the header with the agent incarnation that a fence request addresses.
const (
	AnnouncePath      = "/announce"
	FencePath         = "/fence"
	ServePrefix       = "/serve"
	HeaderIncarnation = "Lagoonmill-Incarnation"
)

// Announcement is what a backend server or a worker periodically sends to the agent on its host.
type Announcement struct {
	Kind     string `json:"kind"`    // "runner" or "worker"
	Address  string `json:"address"` // host:port
	Service  string `json:"service,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	Draining bool   `json:"leaving,omitempty"`
}

// The kinds of announcements.
const (
	KindRunner = "runner" // the backend server
	KindWorker = "worker" // the platform's worker, which runs members of jobs
)

// Proxy forwards requests to the backend server on the agent's host, which identifiers call the runner. It forwards at
// most one request per slot at a time. It refuses requests if the latest announcement has expired or says that the
// backend server is draining, and after StopAccepting.
//
// A once-only request is one that must run at most once. The proxy starts each attempt of it at most once, unless the
// record of the attempt was evicted (see maxAttempts).
type Proxy struct {
	incarnation string
	clock       timekeeper.Clock
	log         logger.Logger
	client      *runner.Client

	inFlight atomic.Int64
	backend  atomic.Pointer[backend]
	stopped  atomic.Bool
	attempts *attempts
	changed  chan struct{} // signals the agent's stream to the entry that Runner or the worker may have changed
	workers  chan string   // addresses of announced workers; an address is dropped while another is unread
}

// backend is the last announcement of the backend server. It is immutable.
type backend struct {
	announcement Announcement
	announcedAt  timekeeper.Millis
}

// NewProxy returns a proxy that refuses requests until a backend server announces itself.
func NewProxy(incarnation string, clock timekeeper.Clock, log logger.Logger) *Proxy {
	return &Proxy{
		incarnation: incarnation, clock: clock, log: log, client: runner.NewClient(MaxConnections),
		attempts: newAttempts(), changed: make(chan struct{}, 1), workers: make(chan string, 1),
	}
}

// Runner returns the backend server as the agent registers it, or nil if none has announced itself. It is marked as
// draining whenever the proxy refuses requests: it is leaving, its announcement has expired, or the proxy was stopped.
func (p *Proxy) Runner() *registrar.Runner {
	b := p.backend.Load()
	if b == nil {
		return nil
	}
	return &registrar.Runner{Service: b.announcement.Service, Slots: b.announcement.Slots, Draining: !p.accepting(b)}
}

// accepting reports whether b takes new requests.
func (p *Proxy) accepting(b *backend) bool {
	return b != nil && !p.stopped.Load() && !b.announcement.Draining && p.clock.Now()-b.announcedAt < AnnouncementTimeout
}

// StopAccepting makes the proxy refuse all further requests. It is called at a planned stop of the agent.
func (p *Proxy) StopAccepting() {
	p.stopped.Store(true)
	p.notifyChange()
}

// Drained reports whether no request is in flight.
func (p *Proxy) Drained() bool { return p.inFlight.Load() == 0 }

// notifyChange signals on changed. It does not block, and signals that are not yet received merge into one.
func (p *Proxy) notifyChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Announce handles an Announcement sent by a backend server or a worker.
func (p *Proxy) Announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case a.Kind == KindWorker && a.Address != "":
		select {
		case p.workers <- a.Address:
		default:
		}
	case a.Kind == KindRunner && a.Address != "" && a.Slots > 0:
		p.updateBackend(a)
	default:
		http.Error(w, "announcement: want kind runner with address and slots, or kind worker with address", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Proxy) updateBackend(a Announcement) {
	a.Slots = min(a.Slots, MaxConnections)
	old := p.backend.Swap(&backend{a, p.clock.Now()})
	if old != nil && old.announcement == a && p.clock.Now()-old.announcedAt < AnnouncementTimeout {
		return
	}
	event := logger.RunnerAnnounced
	if a.Draining {
		event = logger.RunnerLeaving
	}
	p.log.Log(event, logger.F("address", a.Address), logger.F("slots", a.Slots))
	p.notifyChange()
}

// refuse replies that this request was not sent to the backend server. An earlier request for the same attempt may have
// been.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(runner.HeaderStarted, runner.No)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// Register adds the handlers of the agent's paths to r.
func (p *Proxy) Register(r *mux.Router) {
	r.HandleFunc(AnnouncePath, p.Announce).Methods(http.MethodPost)
	r.HandleFunc(FencePath, p.Fence).Methods(http.MethodPost)
	r.PathPrefix(ServePrefix + "/").Handler(http.StripPrefix(ServePrefix, http.HandlerFunc(p.Serve)))
}

// Serve forwards one request to the backend server. The path after ServePrefix is passed on.
func (p *Proxy) Serve(w http.ResponseWriter, r *http.Request) {
	b := p.backend.Load()
	if !p.accepting(b) {
		refuse(w, "the backend server is leaving or gone")
		return
	}
	if !p.acquireSlot(b.announcement.Slots) {
		refuse(w, "all slots are taken")
		return
	}
	defer p.inFlight.Add(-1)
	// StopAccepting may have run since the first check, and Drained may not have counted this request. A newer
	// announcement is not considered.
	if !p.accepting(b) {
		refuse(w, "the agent is leaving")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		refuse(w, "request body: "+err.Error())
		return
	}
	attempt := r.Header.Get(runner.HeaderRequest)
	once := r.Header.Get(runner.HeaderOnce) == runner.Yes
	if once && !p.attempts.start(attempt) {
		refuse(w, "this attempt was withdrawn or has begun already")
		return
	}
	p.forward(w, r, b, runner.Request{
		Attempt: attempt, Once: once, Method: r.Method, URL: "http://" + b.announcement.Address + r.URL.RequestURI(),
		Header: r.Header, Body: body,
	})
}

// acquireSlot reserves a slot if one is free. It never counts a refused request as in flight, since a burst of refused
// requests would otherwise block free slots.
func (p *Proxy) acquireSlot(slots int) bool {
	for {
		n := p.inFlight.Load()
		if n >= int64(slots) {
			return false
		}
		if p.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// forward sends the request and relays the answer. A once-only request runs to completion even if the entry
// disconnects, so that Fence can return its outcome later.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, b *backend, request runner.Request) {
	ctx := r.Context()
	if request.Once {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := p.client.Do(ctx, request)
	if err == nil && request.Once && answer.Rest != nil {
		err = p.requireBuffered(answer)
	}
	if request.Once {
		p.attempts.finish(request.Attempt, answer, err)
	}
	if err != nil {
		p.writeError(w, err)
		return
	}
	// This request is still in flight, so its own slot does not count as free.
	w.Header().Set(runner.HeaderFree, strconv.FormatInt(int64(b.announcement.Slots)-p.inFlight.Load(), 10))
	writeAnswer(w, request.Attempt, answer)
}

// errTooLarge reports that the answer to a once-only request is too large to buffer, or that its end could not be read.
var errTooLarge = fmt.Errorf("the answer exceeds %d bytes", runner.MaxBufferedBytes)

// requireBuffered closes a.Rest, the part of the body that is not yet read. It returns errTooLarge unless that part is
// empty and the body is verified.
func (p *Proxy) requireBuffered(a *runner.Answer) error {
	defer func() { _ = a.Rest.Close() }()
	var one [1]byte
	if _, err := a.Rest.Read(one[:]); !errors.Is(err, io.EOF) {
		return errTooLarge
	}
	a.Rest = nil
	return nil
}

func (p *Proxy) writeError(w http.ResponseWriter, err error) {
	var notStarted *runner.NotStartedError
	if errors.As(err, &notStarted) {
		refuse(w, notStarted.Error())
		return
	}
	if errors.Is(err, runner.ErrMismatched) {
		p.log.Log(logger.ResponseDiscarded, logger.F("error", err))
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

// Fence replies with the outcome of an attempt of a once-only request. If the attempt has not started, Fence prevents
// it from starting and replies as refuse does. If the outcome is an error or not known here, the reply carries no id.
func (p *Proxy) Fence(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderIncarnation) != p.incarnation {
		http.Error(w, "another agent process was asked for; this one does not know its attempts", http.StatusGone)
		return
	}
	attempt := r.Header.Get(runner.HeaderRequest)
	answer, err, started := p.attempts.fence(r.Context(), attempt)
	switch {
	case !started:
		refuse(w, "not begun, and withdrawn now")
	case err != nil:
		p.writeError(w, err)
	default:
		writeAnswer(w, attempt, answer)
	}
}

// watchAnnouncements polls whether the proxy accepts requests, and notifies the agent when that changes, until ctx ends.
// It logs when the proxy stops accepting without a leaving announcement: the announcement expired, or StopAccepting was
// called.
func (p *Proxy) watchAnnouncements(ctx context.Context) error {
	wasAccepting := false
	timekeeper.Repeat(ctx, AnnouncementTimeout.Duration()/4, func() {
		b := p.backend.Load()
		isAccepting := p.accepting(b)
		if wasAccepting && !isAccepting && b != nil && !b.announcement.Draining {
			p.log.Log(logger.RunnerAnnouncementExpired, logger.F("address", b.announcement.Address))
		}
		if wasAccepting != isAccepting {
			p.notifyChange()
		}
		wasAccepting = isAccepting
	})
	return nil
}

// attempts records attempts of once-only requests, to start each at most once while its record is kept. mu guards the
// fields.
type attempts struct {
	mu             sync.Mutex
	byID           map[string]*attempt
	insertionOrder []string
	evicted        bool // some attempt was evicted, so an unknown attempt may have started
}

// attempt is a recorded attempt. Unless fenced, it has started; done is closed once answer and err are set.
type attempt struct {
	fenced bool
	done   chan struct{}
	answer *runner.Answer
	err    error
}

// maxAttempts bounds the number of recorded attempts. The oldest are evicted first.
const maxAttempts = 20_000

func newAttempts() *attempts { return &attempts{byID: map[string]*attempt{}} }

// start records that an attempt starts. It returns false if id is empty, or if the attempt has already started or was
// fenced. It does not detect this for an attempt whose record was evicted.
func (a *attempts) start(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[id] != nil || id == "" {
		return false
	}
	a.add(id, &attempt{done: make(chan struct{})})
	return true
}

func (a *attempts) add(id string, at *attempt) {
	a.byID[id] = at
	a.insertionOrder = append(a.insertionOrder, id)
	if len(a.insertionOrder) > maxAttempts {
		delete(a.byID, a.insertionOrder[0])
		a.insertionOrder = a.insertionOrder[1:]
		a.evicted = true
	}
}

// finish sets the outcome of a started attempt. It ignores an evicted attempt; a fence call that waits for it then ends
// with its ctx.
func (a *attempts) finish(id string, answer *runner.Answer, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.byID[id]; at != nil {
		at.answer, at.err = answer, err
		close(at.done)
	}
}

var errAttemptEvicted = errors.New("the agent no longer knows whether the attempt began")

// fence waits for the outcome of a started attempt and returns it. If the attempt has not started, fence prevents it
// from starting and returns started == false. If that is not known because records were evicted, it returns
// errAttemptEvicted and started == true. If ctx ends first, it returns the error of ctx and started == true.
func (a *attempts) fence(ctx context.Context, id string) (answer *runner.Answer, err error, started bool) {
	a.mu.Lock()
	at := a.byID[id]
	switch {
	case at == nil && a.evicted:
		a.mu.Unlock()
		return nil, errAttemptEvicted, true
	case at == nil:
		a.add(id, &attempt{fenced: true})
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
