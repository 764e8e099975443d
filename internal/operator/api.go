package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/lagoonmill/lagoonmill/internal/authenticator"
	"github.com/lagoonmill/lagoonmill/internal/controller"
	"github.com/lagoonmill/lagoonmill/internal/recorder"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

const (
	maxBodyBytes        = 1 << 20
	callTimeout         = 15 * time.Second
	catchUpTimeout      = 2 * time.Second
	catchUpPollInterval = 2 * time.Millisecond
	maxListedJobs       = 1000
)

// API serves the administration API of one entry. Responses show the state that the entry has applied, which includes
// every change made earlier through the same entry. With ?confirm=yes they include all that was committed before.
type API struct {
	client   *controller.Client
	machine  *registrar.Machine
	tokens   authenticator.Tokens
	recorder *recorder.Recorder
}

// New returns an API that reads state from machine and submits commands through client.
func New(client *controller.Client, machine *registrar.Machine, tokens authenticator.Tokens, r *recorder.Recorder) *API {
	return &API{client, machine, tokens, r}
}

// handler serves one call of an authenticated caller. It returns the value to encode as the response, or an error.
type handler func(r *http.Request, identity authenticator.Identity) (any, error)

// Register adds the API's paths to a router.
func (a *API) Register(r *mux.Router) {
	v1 := r.PathPrefix("/v1").Subrouter()
	operatorOnly := func(h handler) http.HandlerFunc { return a.wrap(requireOperator(h)) }
	v1.HandleFunc("/revision", a.wrap(a.revision)).Methods(http.MethodGet)
	v1.HandleFunc("/workspaces", a.wrap(a.workspaces)).Methods(http.MethodGet)
	v1.HandleFunc("/workspaces/{name}", a.wrap(a.workspace)).Methods(http.MethodGet)
	v1.HandleFunc("/workspaces/{name}", operatorOnly(a.setWorkspace)).Methods(http.MethodPut)
	v1.HandleFunc("/workspaces/{name}", operatorOnly(a.removeWorkspace)).Methods(http.MethodDelete)
	v1.HandleFunc("/presets", a.wrap(a.presets)).Methods(http.MethodGet)
	v1.HandleFunc("/presets/{name}", operatorOnly(a.setPreset)).Methods(http.MethodPut)
	v1.HandleFunc("/presets/{name}/use", operatorOnly(a.usePreset)).Methods(http.MethodPost)
	v1.HandleFunc("/history", operatorOnly(a.history)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs", a.wrap(a.jobs)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs", a.wrap(a.submit)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs/cancel", a.wrap(a.cancel)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs/{id:.+}", a.wrap(a.job)).Methods(http.MethodGet)
	v1.HandleFunc("/requests/{key}", a.wrap(a.request)).Methods(http.MethodGet)
	v1.HandleFunc("/cluster", operatorOnly(a.cluster)).Methods(http.MethodGet)
	v1.HandleFunc("/cluster/seats", operatorOnly(a.addSeat)).Methods(http.MethodPost)
	v1.HandleFunc("/cluster/seats/{address}", operatorOnly(a.removeSeat)).Methods(http.MethodDelete)
	v1.HandleFunc("/workers/{id}/drain", operatorOnly(a.drain)).Methods(http.MethodPost)
	v1.HandleFunc("/trace", a.trace).Methods(http.MethodGet)
	v1.HandleFunc("/agents", operatorOnly(a.agents)).Methods(http.MethodGet)
}

var (
	errForbidden = errors.New("the token does not permit this operation")
	errNotFound  = errors.New("not found")
)

// inputError says that a call is malformed. Its text names the offending field.
type inputError struct {
	text string
}

func (e *inputError) Error() string { return e.text }

func requireOperator(h handler) handler {
	return func(r *http.Request, identity authenticator.Identity) (any, error) {
		if identity.Kind != authenticator.KindOperator {
			return nil, errForbidden
		}
		return h(r, identity)
	}
}

// wrap returns an HTTP handler that authenticates the caller, bounds the call by callTimeout, waits for the committed
// state if the caller asks for it, and writes the value or error that h returns as JSON.
func (a *API) wrap(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.tokens.Identify(r)
		if err != nil {
			writeProblem(w, http.StatusUnauthorized, Problem{Code: "unauthorized", Error: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		r = r.WithContext(ctx)
		if r.URL.Query().Get("confirm") == "yes" {
			err = a.awaitCommitted(ctx)
		}
		var value any
		if err == nil {
			r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
			value, err = h(r, identity)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(HeaderIndex, strconv.FormatUint(a.machine.State().Index, 10))
		_ = json.NewEncoder(w).Encode(value)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var answer *registrar.AnswerError
	var input *inputError
	switch {
	case errors.As(err, &answer):
		status := map[registrar.Code]int{
			registrar.CodeConflict: http.StatusConflict,
			registrar.CodeNotFound: http.StatusNotFound,
		}[answer.Answer.Code]
		if status == 0 {
			status = http.StatusUnprocessableEntity
		}
		writeProblem(w, status, Problem{answer.Answer.Code, answer.Answer.Reason, answer.Answer.Revision})
	case errors.As(err, &input):
		writeProblem(w, http.StatusBadRequest, Problem{Code: "bad-input", Error: err.Error()})
	case errors.Is(err, errForbidden):
		writeProblem(w, http.StatusForbidden, Problem{Code: "forbidden", Error: err.Error()})
	case errors.Is(err, errNotFound):
		writeProblem(w, http.StatusNotFound, Problem{Code: registrar.CodeNotFound, Error: err.Error()})
	case errors.Is(err, controller.ErrUncertain):
		writeProblem(w, http.StatusBadGateway, Problem{Code: "uncertain", Error: err.Error() + "; resend it with the same command id"})
	default:
		writeProblem(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Error: err.Error()})
	}
}

func writeProblem(w http.ResponseWriter, status int, p Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// awaitCommitted waits until the entry has applied everything that was committed before the call.
func (a *API) awaitCommitted(ctx context.Context) error {
	index, err := a.client.Read(ctx)
	if err != nil {
		return fmt.Errorf("confirm state: %w", err)
	}
	if !a.awaitIndex(ctx, index) {
		return fmt.Errorf("confirm state: the entry has not applied index %d in time", index)
	}
	return nil
}

// awaitIndex waits up to catchUpTimeout until the entry has applied index, and reports whether it has.
func (a *API) awaitIndex(ctx context.Context, index uint64) bool {
	deadline := time.Now().Add(catchUpTimeout)
	for a.machine.State().Index < index {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(catchUpPollInterval)
	}
	return true
}

// propose submits a command under the caller's command id, or a new one, and waits up to catchUpTimeout until this
// entry has applied it. A command resent under the same id is applied once.
func (a *API) propose(r *http.Request, identity authenticator.Identity, c registrar.Command) (registrar.Answer, error) {
	c.Author = identity.Name
	c.ID = uuid.NewString()
	if id := r.Header.Get(HeaderCommand); id != "" {
		c.ID = identity.Name + "/" + id
	}
	answer, err := a.client.ProposeWithRetry(r.Context(), c)
	if err != nil {
		return answer, err
	}
	a.awaitIndex(r.Context(), answer.Index)
	return answer, answer.Err()
}

// proposeChange submits a change of the configuration. It is based on the revision that the caller names in
// HeaderRevision, or else on the newest one that this entry has applied. It is rejected if that is out of date.
func (a *API) proposeChange(r *http.Request, identity authenticator.Identity, c registrar.Change) (any, error) {
	c.BaseRevision = a.machine.State().Revision
	if text := r.Header.Get(HeaderRevision); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, &inputError{fmt.Sprintf("%s: got %q, want a number", HeaderRevision, text)}
		}
		c.BaseRevision = revision
	}
	return a.propose(r, identity, registrar.Command{Change: &c})
}

func decode(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return &inputError{"body: " + err.Error()}
	}
	return nil
}

// pathVariable returns a variable of the path, unescaped. The router matches the escaped path.
func pathVariable(r *http.Request, name string) string {
	raw := mux.Vars(r)[name]
	if decoded, err := url.PathUnescape(raw); err == nil {
		return decoded
	}
	return raw
}

func (a *API) revision(*http.Request, authenticator.Identity) (any, error) {
	s := a.machine.State()
	return Revisions{s.Revision, s.InForce, s.SelectedPreset, s.ActivePreset, s.Index}, nil
}

func (a *API) workspaces(_ *http.Request, identity authenticator.Identity) (any, error) {
	shares := a.machine.State().Scheduler.Shares()
	return slices.DeleteFunc(shares, func(s scheduler.Share) bool { return !identity.MayUse(s.Workspace.Name) }), nil
}

func (a *API) workspace(r *http.Request, identity authenticator.Identity) (any, error) {
	name := pathVariable(r, "name")
	for _, s := range a.machine.State().Scheduler.Shares() {
		if s.Workspace.Name == name && identity.MayUse(name) {
			return s, nil
		}
	}
	return nil, errNotFound
}

func (a *API) setWorkspace(r *http.Request, identity authenticator.Identity) (any, error) {
	var w scheduler.Workspace
	if err := decode(r, &w); err != nil {
		return nil, err
	}
	w.Name = pathVariable(r, "name")
	if err := w.Validate(); err != nil {
		return nil, &inputError{err.Error()}
	}
	return a.proposeChange(r, identity, registrar.Change{Workspace: &w})
}

func (a *API) removeWorkspace(r *http.Request, identity authenticator.Identity) (any, error) {
	name := pathVariable(r, "name")
	return a.proposeChange(r, identity, registrar.Change{RemoveWorkspace: &name})
}

func (a *API) presets(*http.Request, authenticator.Identity) (any, error) {
	return a.machine.State().Presets(), nil
}

func (a *API) setPreset(r *http.Request, identity authenticator.Identity) (any, error) {
	p := registrar.Preset{Policy: scheduler.DefaultPolicy()}
	if err := decode(r, &p); err != nil {
		return nil, err
	}
	p.Name = pathVariable(r, "name")
	return a.proposeChange(r, identity, registrar.Change{Preset: &p})
}

func (a *API) usePreset(r *http.Request, identity authenticator.Identity) (any, error) {
	name := pathVariable(r, "name")
	return a.proposeChange(r, identity, registrar.Change{UsePreset: &name})
}

func (a *API) history(*http.Request, authenticator.Identity) (any, error) {
	return a.machine.State().History(), nil
}

func (a *API) agents(*http.Request, authenticator.Identity) (any, error) {
	return a.machine.State().Agents(), nil
}

func (a *API) jobs(r *http.Request, identity authenticator.Identity) (any, error) {
	workspace := r.URL.Query().Get("workspace")
	jobs := []Job{}
	a.machine.State().Scheduler.Jobs(func(j *scheduler.Job) bool {
		if identity.MayUse(j.Spec.Workspace) && (workspace == "" || workspace == j.Spec.Workspace) {
			jobs = append(jobs, jobView(j))
		}
		return true
	})
	slices.SortFunc(jobs, func(x, y Job) int { return cmp.Compare(y.Submitted, x.Submitted) })
	if len(jobs) > maxListedJobs {
		jobs = jobs[:maxListedJobs]
	}
	return jobs, nil
}

func (a *API) job(r *http.Request, identity authenticator.Identity) (any, error) {
	j, ok := a.machine.State().Scheduler.Job(pathVariable(r, "id"))
	if !ok || !identity.MayUse(j.Spec.Workspace) {
		return nil, errNotFound
	}
	return jobView(j), nil
}

// submit accepts a job. The id is prefixed with the workspace, so that ids of different workspaces cannot collide.
func (a *API) submit(r *http.Request, identity authenticator.Identity) (any, error) {
	var spec scheduler.JobSpec
	if err := decode(r, &spec); err != nil {
		return nil, err
	}
	if spec.Workspace == "" && identity.Kind == authenticator.KindWorkspace {
		spec.Workspace = identity.Name
	}
	if !identity.MayUse(spec.Workspace) {
		return nil, errForbidden
	}
	if spec.ID == "" {
		spec.ID = uuid.NewString()
	}
	if !strings.HasPrefix(spec.ID, spec.Workspace+"/") {
		spec.ID = spec.Workspace + "/" + spec.ID
	}
	event := scheduler.Event{JobSubmitted: &spec}
	if _, err := a.propose(r, identity, registrar.Command{Events: []scheduler.Event{event}}); err != nil {
		return nil, err
	}
	j, ok := a.machine.State().Scheduler.Job(spec.ID)
	if !ok {
		return nil, fmt.Errorf("job %s was accepted, but this entry has not applied it yet", spec.ID)
	}
	return jobView(j), nil
}

func (a *API) cancel(r *http.Request, identity authenticator.Identity) (any, error) {
	var c Cancellation
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	state := a.machine.State()
	for _, id := range c.Jobs {
		j, ok := state.Scheduler.Job(id)
		if !ok || !identity.MayUse(j.Spec.Workspace) {
			return nil, fmt.Errorf("job %s: %w", id, errNotFound)
		}
	}
	event := scheduler.Event{JobsCancelled: &scheduler.JobsCancelled{Jobs: c.Jobs}}
	return a.propose(r, identity, registrar.Command{Events: []scheduler.Event{event}})
}

func (a *API) request(r *http.Request, identity authenticator.Identity) (any, error) {
	key := registrar.RequestKey{Workspace: identity.Name, Key: pathVariable(r, "key")}
	found, ok := a.machine.State().Request(key)
	if !ok || identity.Kind != authenticator.KindWorkspace {
		return nil, errNotFound
	}
	return Request{found.Key.Key, found.Phase.String(), found.Attempt, found.Reason}, nil
}

func (a *API) cluster(r *http.Request, _ authenticator.Identity) (any, error) {
	return a.client.Status(r.Context())
}

func (a *API) addSeat(r *http.Request, _ authenticator.Identity) (any, error) {
	var s Seat
	if err := decode(r, &s); err != nil {
		return nil, err
	}
	return s, a.client.ChangeSeat(r.Context(), &controller.SeatRequest{Address: s.Address})
}

func (a *API) removeSeat(r *http.Request, _ authenticator.Identity) (any, error) {
	s := Seat{pathVariable(r, "address")}
	return s, a.client.ChangeSeat(r.Context(), &controller.SeatRequest{Address: s.Address, Remove: true})
}

func (a *API) drain(r *http.Request, identity authenticator.Identity) (any, error) {
	d := Drain{Drained: true}
	if err := decode(r, &d); err != nil {
		return nil, err
	}
	event := scheduler.Event{WorkerDrained: &scheduler.WorkerDrained{Worker: pathVariable(r, "id"), Drained: d.Drained, Evict: d.Evict}}
	return a.propose(r, identity, registrar.Command{Events: []scheduler.Event{event}})
}

// trace streams the inputs of the scheduler as they are applied, one JSON value per line, until the caller disconnects
// or falls behind.
func (a *API) trace(w http.ResponseWriter, r *http.Request) {
	identity, err := a.tokens.Identify(r)
	if err != nil || identity.Kind != authenticator.KindOperator {
		writeProblem(w, http.StatusForbidden, Problem{Code: "forbidden", Error: errForbidden.Error()})
		return
	}
	lines, unsubscribe := a.recorder.Subscribe(a.machine.State())
	defer unsubscribe()
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case line, ok := <-lines:
			if !ok || enc.Encode(line) != nil || flush.Flush() != nil {
				return
			}
		}
	}
}
