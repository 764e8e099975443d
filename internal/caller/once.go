package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/agent"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/router"
	"github.com/lagoonmill/lagoonmill/internal/runner"
)

const (
	fenceRetryInterval = 200 * time.Millisecond
	// resolveTimeout exceeds requestTimeout of package agent, so that a started attempt ends before it.
	resolveTimeout = 70 * time.Second
)

func targetOf(b *router.Backend) registrar.Target {
	return registrar.Target{Agent: b.Agent, Incarnation: b.Incarnation, Address: b.Address}
}

func attemptID(key registrar.RequestKey, attempt int) string {
	return fmt.Sprintf("%s/%s/%d", key.Workspace, key.Key, attempt)
}

// serveOnce runs a request at most once: it claims the id in the replicated log, dispatches the request to the backend
// server that the claim names, and records the outcome before it returns the result. full reports that the request
// waited because no backend server could be picked.
func (h *Handler) serveOnce(ctx context.Context, c *call) (served result, full bool) {
	b := h.waitForBackend(ctx, c)
	if b == nil {
		return h.noBackendResult(ctx, c, false), h.Router.Slots(c.service) > 0
	}
	view, err := h.Claimer.Step(ctx, registrar.RequestStep{
		Key: c.key, Digest: c.digest, Owner: h.Owner, Target: targetOf(b), Nonce: c.nonce,
	})
	switch {
	case err != nil:
		return h.abandonClaim(c, err), false
	case view.TableFull:
		return notRun(http.StatusServiceUnavailable, errors.New("limit of stored request ids reached"), time.Minute), false
	case !view.Granted:
		return h.existingResult(ctx, c, view.Request), false
	}
	return h.runClaimed(ctx, c, b, view.Request)
}

// waitForBackend waits for a backend server to pick. It returns nil at the deadline, or if none serves the service.
func (h *Handler) waitForBackend(ctx context.Context, c *call) *router.Backend {
	for h.Router.Slots(c.service) > 0 {
		if b := h.Router.Pick(c.service, nil); b != nil {
			return b
		}
		if !sleep(ctx, fullRetryInterval) {
			break
		}
	}
	return nil
}

// abandonClaim ends a request whose claim got no answer in time. The request was not dispatched and will not be. The
// claim may still be committed, so a background task records the outcome "not run" for it.
func (h *Handler) abandonClaim(c *call, err error) result {
	h.outcomes.enqueue(registrar.RequestStep{
		Key: c.key, Owner: h.Owner, Phase: registrar.RequestNotRun, Nonce: c.nonce,
		Reason: "its claim was recorded too late",
	})
	return notRun(http.StatusServiceUnavailable, fmt.Errorf("request id not claimed in time: %w", err), time.Second)
}

// runClaimed dispatches a claimed request. If a backend server provably did not start it, a takeover moves the claim to
// a new attempt by compare-and-set, at another server unless none of the others can be picked. full reports that the
// request waited because no backend server could be picked.
func (h *Handler) runClaimed(ctx context.Context, c *call, b *router.Backend, claimed registrar.Request) (served result, full bool) {
	var avoid []*router.Backend
	for {
		answer, err := h.dispatch(ctx, c, b, attemptID(c.key, claimed.Attempt))
		if err == nil {
			return h.recordFinished(claimed, answer), full
		}
		var notStarted *runner.NotStartedError
		if !errors.As(err, &notStarted) {
			return h.resolveOutcome(ctx, claimed, err), full
		}
		avoid = append(avoid, b)
		next := h.Router.Pick(c.service, avoid)
		for next == nil && h.Router.Slots(c.service) > 0 && sleep(ctx, fullRetryInterval) {
			avoid, full = nil, true
			next = h.Router.Pick(c.service, nil)
		}
		if next == nil || ctx.Err() != nil {
			return h.recordNotRun(claimed, err), full
		}
		view, stepErr := h.Claimer.Step(ctx, registrar.RequestStep{
			Key: c.key, Owner: h.Owner, Target: targetOf(next), Nonce: c.nonce,
			From: &registrar.AttemptRef{Owner: claimed.Owner, Attempt: claimed.Attempt},
		})
		if stepErr != nil {
			return h.recordNotRun(claimed, stepErr), full
		}
		if !view.Granted {
			return h.existingResult(ctx, c, view.Request), full
		}
		b, claimed = next, view.Request
	}
}

// recordNotRun records that a claimed request did not run. The result is "not run" even if that cannot be recorded
// now, since no backend server started the request and this handler does not dispatch it again. It also queues this
// outcome for the next attempt, since a takeover that got no answer may have been committed.
func (h *Handler) recordNotRun(claimed registrar.Request, err error) result {
	step := outcomeStep(claimed, registrar.RequestNotRun, nil, err.Error())
	h.outcomes.record(step)
	step.Attempt++
	h.outcomes.enqueue(step)
	return notRun(http.StatusServiceUnavailable, err, time.Second)
}

// recordFinished records the answer and returns it. It returns the answer even if it cannot be recorded now: the answer
// is complete. Until it is recorded, a repeated request waits for it, or asks the agent if this entry process is lost.
func (h *Handler) recordFinished(claimed registrar.Request, answer *runner.Answer) result {
	h.outcomes.record(outcomeStep(claimed, registrar.RequestFinished, newRecordedAnswer(answer), ""))
	return finished(answer)
}

func outcomeStep(r registrar.Request, phase registrar.RequestPhase, a *registrar.RecordedAnswer, reason string) registrar.RequestStep {
	return registrar.RequestStep{Key: r.Key, Owner: r.Owner, Attempt: r.Attempt, Phase: phase, Answer: a, Reason: reason, Nonce: r.Nonce}
}

func newRecordedAnswer(a *runner.Answer) *registrar.RecordedAnswer {
	r := &registrar.RecordedAnswer{Status: a.Status, ContentType: a.Header.Get("Content-Type")}
	if a.Rest != nil || len(a.Body) > registrar.MaxAnswerBytes {
		r.TooLarge = true
		return r
	}
	r.Body = a.Body
	return r
}

func answerOf(r *registrar.RecordedAnswer) *runner.Answer {
	header := http.Header{"Content-Length": {strconv.Itoa(len(r.Body))}}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	return &runner.Answer{Status: r.Status, Header: header, Body: r.Body}
}

// resolveOutcome asks the agent for the outcome of an attempt that may have started but gave no valid answer. It
// continues in the background after the caller's deadline, so that a repeated request finds the recorded outcome.
func (h *Handler) resolveOutcome(ctx context.Context, claimed registrar.Request, cause error) result {
	found := make(chan result, 1)
	h.inFlight.Add(1)
	go func() {
		defer h.inFlight.Add(-1)
		background, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		defer cancel()
		found <- h.fenceUntilResolved(background, claimed, cause)
	}()
	select {
	case r := <-found:
		return r
	case <-ctx.Done():
		return running("the exchange with the backend server failed; its outcome is being resolved")
	}
}

// running returns the result of a request whose outcome is not yet known.
func running(text string) result {
	return result{outcome: OutcomeRunning, status: http.StatusServiceUnavailable, err: errors.New(text), retryAfter: time.Second}
}

// fenceUntilResolved retries fence until the outcome is known. When ctx ends, it records the outcome "unknown".
func (h *Handler) fenceUntilResolved(ctx context.Context, r registrar.Request, cause error) result {
	for {
		served := h.fence(ctx, r, cause)
		if served.outcome != OutcomeRunning {
			return served
		}
		if !sleep(ctx, fenceRetryInterval) {
			return h.recordUnknown(r, fmt.Errorf("%w; its agent did not tell in time", cause))
		}
	}
}

func (h *Handler) recordUnknown(r registrar.Request, err error) result {
	h.outcomes.record(outcomeStep(r, registrar.RequestUnknown, nil, err.Error()))
	return unknown(err)
}

// fence asks the agent for the outcome of an attempt and records it. If the attempt has not started, the agent prevents
// it from starting later. If the agent does not answer now but still may, or if ctx has ended, nothing is recorded and
// the result's outcome is OutcomeRunning.
func (h *Handler) fence(ctx context.Context, r registrar.Request, cause error) result {
	answer, err := h.client.Do(ctx, runner.Request{
		Attempt: attemptID(r.Key, r.Attempt), Method: http.MethodPost, URL: "http://" + r.Target.Address + agent.FencePath,
		Header: http.Header{agent.HeaderIncarnation: {r.Target.Incarnation}},
	})
	if err == nil {
		return h.recordFinished(r, answer)
	}
	var notStarted *runner.NotStartedError
	isNotStarted := errors.As(err, &notStarted)
	// A failure to connect to the agent says nothing about the attempt, which was sent earlier.
	if isNotStarted && !notStarted.ConnectFailed() {
		h.outcomes.record(outcomeStep(r, registrar.RequestNotRun, nil, notStarted.Error()))
		return notRun(http.StatusServiceUnavailable, err, time.Second)
	}
	current, attached := h.Machine.State().Agent(r.Target.Agent)
	alive := attached && current.Incarnation == r.Target.Incarnation
	// A mismatched answer is final, since the agent's error replies carry no id: it does not have the attempt's answer.
	if ctx.Err() != nil || alive && !errors.Is(err, runner.ErrMismatched) {
		return running("the agent of the backend server does not answer; the outcome is not yet known")
	}
	return h.recordUnknown(r, fmt.Errorf("%w; asking its agent: %w", cause, err))
}

// existingResult returns the result of a request whose id is already claimed, waiting for its outcome if it is in
// flight.
func (h *Handler) existingResult(ctx context.Context, c *call, r registrar.Request) result {
	if string(r.Digest) != string(c.digest) {
		return result{outcome: OutcomeRefused, status: http.StatusUnprocessableEntity, err: errors.New("the id was used with a different request")}
	}
	for {
		switch r.Phase {
		case registrar.RequestFinished:
			return recordedResult(r)
		case registrar.RequestNotRun:
			return notRun(http.StatusServiceUnavailable, errors.New(r.Reason), time.Second)
		case registrar.RequestUnknown:
			return unknown(errors.New(r.Reason))
		case registrar.RequestOrphaned:
			if served, done := h.recoverOrphan(ctx, r); done {
				return served
			}
		}
		if !sleep(ctx, outcomePollInterval) {
			return running("the request is in progress under this id")
		}
		// If the state no longer has the id, r stays as it is.
		if next, ok := h.Machine.State().Request(r.Key); ok {
			r = next
		}
	}
}

func recordedResult(r registrar.Request) result {
	if r.Answer == nil || r.Answer.TooLarge {
		return result{outcome: OutcomeFinished, status: http.StatusGone, err: errors.New("the request ran and its answer is no longer kept")}
	}
	return finished(answerOf(r.Answer))
}

// recoverOrphan resolves the outcome of a request whose owner, an entry process, is lost; the state machine marks the
// claims of such an owner as orphaned. The bool reports that the result is final or ctx has ended.
func (h *Handler) recoverOrphan(ctx context.Context, r registrar.Request) (result, bool) {
	served := h.fence(ctx, r, errors.New("the entry that ran the request is gone"))
	return served, served.outcome != OutcomeRunning || ctx.Err() != nil
}
