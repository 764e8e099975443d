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
	maxBody     = 1 << 20
	changeBound = 15 * time.Second
	catchUp     = 2 * time.Second
	catchUpPoll = 2 * time.Millisecond
	maxListed   = 1000
)

// API serves the administration API of one entry. Reads are of the state that the entry has applied, which after a
// change through the same entry holds that change; with ?confirm=yes they hold all that was committed before.
type API struct {
	client   *controller.Client
	machine  *registrar.Machine
	tokens   authenticator.Tokens
	recorder *recorder.Recorder
}

// New returns the API.
func New(client *controller.Client, machine *registrar.Machine, tokens authenticator.Tokens, r *recorder.Recorder) *API {
	return &API{client, machine, tokens, r}
}

// handler serves one call of a known caller. It returns the value to encode, or an error.
type handler func(r *http.Request, who authenticator.Identity) (any, error)

// Register adds the API's paths to a router.
func (a *API) Register(r *mux.Router) {
	v1 := r.PathPrefix("/v1").Subrouter()
	operators := func(h handler) http.HandlerFunc { return a.wrap(onlyOperators(h)) }
	v1.HandleFunc("/revision", a.wrap(a.revision)).Methods(http.MethodGet)
	v1.HandleFunc("/workspaces", a.wrap(a.workspaces)).Methods(http.MethodGet)
	v1.HandleFunc("/workspaces/{name}", a.wrap(a.workspace)).Methods(http.MethodGet)
	v1.HandleFunc("/workspaces/{name}", operators(a.setWorkspace)).Methods(http.MethodPut)
	v1.HandleFunc("/workspaces/{name}", operators(a.removeWorkspace)).Methods(http.MethodDelete)
	v1.HandleFunc("/presets", a.wrap(a.presets)).Methods(http.MethodGet)
	v1.HandleFunc("/presets/{name}", operators(a.setPreset)).Methods(http.MethodPut)
	v1.HandleFunc("/presets/{name}/use", operators(a.usePreset)).Methods(http.MethodPost)
	v1.HandleFunc("/history", operators(a.history)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs", a.wrap(a.jobs)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs", a.wrap(a.submit)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs/cancel", a.wrap(a.cancel)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs/{id:.+}", a.wrap(a.job)).Methods(http.MethodGet)
	v1.HandleFunc("/requests/{key}", a.wrap(a.request)).Methods(http.MethodGet)
	v1.HandleFunc("/cluster", operators(a.cluster)).Methods(http.MethodGet)
	v1.HandleFunc("/cluster/seats", operators(a.addSeat)).Methods(http.MethodPost)
	v1.HandleFunc("/cluster/seats/{address}", operators(a.removeSeat)).Methods(http.MethodDelete)
	v1.HandleFunc("/workers/{id}/drain", operators(a.drain)).Methods(http.MethodPost)
	v1.HandleFunc("/trace", a.trace).Methods(http.MethodGet)
	v1.HandleFunc("/agents", operators(a.agents)).Methods(http.MethodGet)
}

var (
	errForbidden = errors.New("this token does not allow it")
	errNotFound  = errors.New("not found")
)

// An inputError tells that a call cannot be understood; it names the field.
type inputError struct {
	text string
}

func (e *inputError) Error() string { return e.text }

func onlyOperators(h handler) handler {
	return func(r *http.Request, who authenticator.Identity) (any, error) {
		if who.Kind != authenticator.KindOperator {
			return nil, errForbidden
		}
		return h(r, who)
	}
}

func (a *API) wrap(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := a.tokens.Identify(r)
		if err != nil {
			writeProblem(w, http.StatusUnauthorized, Problem{Code: "unauthorized", Error: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), changeBound)
		defer cancel()
		r = r.WithContext(ctx)
		if r.URL.Query().Get("confirm") == "yes" {
			err = a.confirm(ctx)
		}
		var value any
		if err == nil {
			r.Body = http.MaxBytesReader(w, r.Body, maxBody)
			value, err = h(r, who)
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
		writeProblem(w, http.StatusBadGateway, Problem{Code: "uncertain", Error: err.Error() + "; send it again under the same command id"})
	default:
		writeProblem(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Error: err.Error()})
	}
}

func writeProblem(w http.ResponseWriter, status int, p Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (a *API) confirm(ctx context.Context) error {
	index, err := a.client.Read(ctx)
	if err != nil {
		return fmt.Errorf("confirm state: %w", err)
	}
	if !a.await(ctx, index) {
		return fmt.Errorf("confirm state: the entry has not caught up with index %d", index)
	}
	return nil
}

// await waits until the entry has applied an index.
func (a *API) await(ctx context.Context, index uint64) bool {
	deadline := time.Now().Add(catchUp)
	for a.machine.State().Index < index {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(catchUpPoll)
	}
	return true
}

// propose puts a command on the log under the caller's command id, or a new one, and waits until this entry shows it.
func (a *API) propose(r *http.Request, who authenticator.Identity, c registrar.Command) (registrar.Answer, error) {
	c.Author = who.Name
	c.ID = uuid.NewString()
	if id := r.Header.Get(HeaderCommand); id != "" {
		c.ID = who.Name + "/" + id
	}
	answer, err := a.client.ProposeAgain(r.Context(), c)
	if err != nil {
		return answer, err
	}
	a.await(r.Context(), answer.Index)
	return answer, answer.Err()
}

func (a *API) change(r *http.Request, who authenticator.Identity, c registrar.Change) (any, error) {
	c.Seen = a.machine.State().Revision
	if text := r.Header.Get(HeaderRevision); text != "" {
		seen, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, &inputError{fmt.Sprintf("%s: got %q, want a number", HeaderRevision, text)}
		}
		c.Seen = seen
	}
	return a.propose(r, who, registrar.Command{Change: &c})
}

func decode(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return &inputError{"body: " + err.Error()}
	}
	return nil
}

// variable returns a part of the path; the router gives it as it was encoded.
func variable(r *http.Request, name string) string {
	raw := mux.Vars(r)[name]
	if decoded, err := url.PathUnescape(raw); err == nil {
		return decoded
	}
	return raw
}

func (a *API) revision(*http.Request, authenticator.Identity) (any, error) {
	s := a.machine.State()
	return Revisions{s.Revision, s.InForce, s.Accepted, s.Current, s.Index}, nil
}

func (a *API) workspaces(_ *http.Request, who authenticator.Identity) (any, error) {
	shares := a.machine.State().Scheduler.Shares()
	return slices.DeleteFunc(shares, func(s scheduler.Share) bool { return !who.MayUse(s.Workspace.Name) }), nil
}

func (a *API) workspace(r *http.Request, who authenticator.Identity) (any, error) {
	name := variable(r, "name")
	for _, s := range a.machine.State().Scheduler.Shares() {
		if s.Workspace.Name == name && who.MayUse(name) {
			return s, nil
		}
	}
	return nil, errNotFound
}

func (a *API) setWorkspace(r *http.Request, who authenticator.Identity) (any, error) {
	var w scheduler.Workspace
	if err := decode(r, &w); err != nil {
		return nil, err
	}
	w.Name = variable(r, "name")
	if err := w.Validate(); err != nil {
		return nil, &inputError{err.Error()}
	}
	return a.change(r, who, registrar.Change{Workspace: &w})
}

func (a *API) removeWorkspace(r *http.Request, who authenticator.Identity) (any, error) {
	name := variable(r, "name")
	return a.change(r, who, registrar.Change{RemoveWorkspace: &name})
}

func (a *API) presets(*http.Request, authenticator.Identity) (any, error) {
	return a.machine.State().Presets(), nil
}

func (a *API) setPreset(r *http.Request, who authenticator.Identity) (any, error) {
	p := registrar.Preset{Policy: scheduler.DefaultPolicy()}
	if err := decode(r, &p); err != nil {
		return nil, err
	}
	p.Name = variable(r, "name")
	return a.change(r, who, registrar.Change{Preset: &p})
}

func (a *API) usePreset(r *http.Request, who authenticator.Identity) (any, error) {
	name := variable(r, "name")
	return a.change(r, who, registrar.Change{UsePreset: &name})
}

func (a *API) history(*http.Request, authenticator.Identity) (any, error) {
	return a.machine.State().History(), nil
}

func (a *API) agents(*http.Request, authenticator.Identity) (any, error) {
	return a.machine.State().Agents(), nil
}

func (a *API) jobs(r *http.Request, who authenticator.Identity) (any, error) {
	wanted := r.URL.Query().Get("workspace")
	jobs := []Job{}
	a.machine.State().Scheduler.Jobs(func(j *scheduler.Job) bool {
		if who.MayUse(j.Spec.Workspace) && (wanted == "" || wanted == j.Spec.Workspace) {
			jobs = append(jobs, viewOf(j))
		}
		return true
	})
	slices.SortFunc(jobs, func(x, y Job) int { return cmp.Compare(y.Submitted, x.Submitted) })
	if len(jobs) > maxListed {
		jobs = jobs[:maxListed]
	}
	return jobs, nil
}

func (a *API) job(r *http.Request, who authenticator.Identity) (any, error) {
	j, ok := a.machine.State().Scheduler.Job(variable(r, "id"))
	if !ok || !who.MayUse(j.Spec.Workspace) {
		return nil, errNotFound
	}
	return viewOf(j), nil
}

// submit takes a job. Its id is the workspace's, so that workspaces cannot meet in one.
func (a *API) submit(r *http.Request, who authenticator.Identity) (any, error) {
	var spec scheduler.JobSpec
	if err := decode(r, &spec); err != nil {
		return nil, err
	}
	if spec.Workspace == "" && who.Kind == authenticator.KindWorkspace {
		spec.Workspace = who.Name
	}
	if !who.MayUse(spec.Workspace) {
		return nil, errForbidden
	}
	if spec.ID == "" {
		spec.ID = uuid.NewString()
	}
	if !strings.HasPrefix(spec.ID, spec.Workspace+"/") {
		spec.ID = spec.Workspace + "/" + spec.ID
	}
	event := scheduler.Event{JobSubmitted: &spec}
	if _, err := a.propose(r, who, registrar.Command{Events: []scheduler.Event{event}}); err != nil {
		return nil, err
	}
	j, ok := a.machine.State().Scheduler.Job(spec.ID)
	if !ok {
		return nil, fmt.Errorf("job %s was accepted, but this entry does not show it yet", spec.ID)
	}
	return viewOf(j), nil
}

func (a *API) cancel(r *http.Request, who authenticator.Identity) (any, error) {
	var c Cancellation
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	state := a.machine.State()
	for _, id := range c.Jobs {
		j, ok := state.Scheduler.Job(id)
		if !ok || !who.MayUse(j.Spec.Workspace) {
			return nil, fmt.Errorf("job %s: %w", id, errNotFound)
		}
	}
	event := scheduler.Event{JobsCancelled: &scheduler.JobsCancelled{Jobs: c.Jobs}}
	return a.propose(r, who, registrar.Command{Events: []scheduler.Event{event}})
}

func (a *API) request(r *http.Request, who authenticator.Identity) (any, error) {
	key := registrar.RequestKey{Workspace: who.Name, Key: variable(r, "key")}
	found, ok := a.machine.State().Request(key)
	if !ok || who.Kind != authenticator.KindWorkspace {
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
	return s, a.client.Seat(r.Context(), &controller.SeatRequest{Address: s.Address})
}

func (a *API) removeSeat(r *http.Request, _ authenticator.Identity) (any, error) {
	s := Seat{variable(r, "address")}
	return s, a.client.Seat(r.Context(), &controller.SeatRequest{Address: s.Address, Remove: true})
}

func (a *API) drain(r *http.Request, who authenticator.Identity) (any, error) {
	d := Drain{Drained: true}
	if err := decode(r, &d); err != nil {
		return nil, err
	}
	event := scheduler.Event{WorkerDrained: &scheduler.WorkerDrained{Worker: variable(r, "id"), Drained: d.Drained, Evict: d.Evict}}
	return a.propose(r, who, registrar.Command{Events: []scheduler.Event{event}})
}

// trace streams the scheduler's inputs as they are applied, one JSON value a line, until the caller goes.
func (a *API) trace(w http.ResponseWriter, r *http.Request) {
	who, err := a.tokens.Identify(r)
	if err != nil || who.Kind != authenticator.KindOperator {
		writeProblem(w, http.StatusForbidden, Problem{Code: "forbidden", Error: errForbidden.Error()})
		return
	}
	lines, end := a.recorder.Subscribe(a.machine.State())
	defer end()
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
