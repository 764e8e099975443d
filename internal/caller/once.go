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
	askPause = 200 * time.Millisecond
	// resolveBound exceeds the time that an agent lets an exchange take.
	resolveBound = 70 * time.Second
)

func targetOf(b *router.Backend) registrar.Target {
	return registrar.Target{Agent: b.Agent, Incarnation: b.Incarnation, Address: b.Address}
}

func attemptID(key registrar.RequestKey, attempt int) string {
	return fmt.Sprintf("%s/%s/%d", key.Workspace, key.Key, attempt)
}

// serveOnce runs a request at most once: it claims the id on the log, hands the request to the one backend server
// that the claim names, and records the end before the caller is told.
func (h *Handler) serveOnce(ctx context.Context, c *call) (served result, full bool) {
	b := h.pickOrWait(ctx, c)
	if b == nil {
		return h.exhausted(ctx, c, false), h.Router.Slots(c.service) > 0
	}
	view, err := h.Claimer.Step(ctx, registrar.RequestStep{
		Key: c.key, Digest: c.digest, Owner: h.Owner, Target: targetOf(b), Nonce: c.nonce,
	})
	switch {
	case err != nil:
		return h.claimLost(c, err), false
	case view.Full:
		return notRun(http.StatusServiceUnavailable, errors.New("too many request ids are remembered"), time.Minute), false
	case !view.Granted:
		return h.known(ctx, c, view.Request), false
	}
	return h.run(ctx, c, b, view.Request)
}

// pickOrWait returns a backend server that seems to have a free slot, or nil at the deadline.
func (h *Handler) pickOrWait(ctx context.Context, c *call) *router.Backend {
	for h.Router.Slots(c.service) > 0 {
		if b := h.Router.Pick(c.service, nil); b != nil {
			return b
		}
		if !pause(ctx, fullPause) {
			break
		}
	}
	return nil
}

// claimLost ends a request whose claim has no answer. Nothing was handed over and nothing will be; the claim, if it
// was taken, is settled as not run in the background.
func (h *Handler) claimLost(c *call, err error) result {
	h.settler.later(registrar.RequestStep{
		Key: c.key, Owner: h.Owner, Phase: registrar.RequestNotRun, Nonce: c.nonce,
		Reason: "its claim was recorded too late",
	})
	return notRun(http.StatusServiceUnavailable, fmt.Errorf("the id could not be claimed in time: %w", err), time.Second)
}

// run hands a claimed request over. Where a backend server certainly did not start it, the claim passes to another
// attempt by compare-and-set.
func (h *Handler) run(ctx context.Context, c *call, b *router.Backend, claimed registrar.Request) (served result, full bool) {
	var avoid []*router.Backend
	for {
		answer, err := h.dispatch(ctx, c, b, attemptID(c.key, claimed.Attempt))
		if err == nil {
			return h.finish(claimed, answer), full
		}
		var unstarted *runner.NotStartedError
		if !errors.As(err, &unstarted) {
			return h.resolve(ctx, claimed, err), full
		}
		avoid = append(avoid, b)
		next := h.Router.Pick(c.service, avoid)
		for next == nil && h.Router.Slots(c.service) > 0 && pause(ctx, fullPause) {
			avoid, full = nil, true
			next = h.Router.Pick(c.service, nil)
		}
		if next == nil || ctx.Err() != nil {
			return h.endUnstarted(claimed, err), full
		}
		view, stepErr := h.Claimer.Step(ctx, registrar.RequestStep{
			Key: c.key, Owner: h.Owner, Target: targetOf(next), Nonce: c.nonce,
			From: &registrar.AttemptRef{Owner: claimed.Owner, Attempt: claimed.Attempt},
		})
		if stepErr != nil {
			return h.endUnstarted(claimed, stepErr), full
		}
		if !view.Granted {
			return h.known(ctx, c, view.Request), full
		}
		b, claimed = next, view.Request
	}
}

// endUnstarted records that a claimed request did not run; the caller is told so whether or not it can be recorded
// now, since nothing was handed over and this handler hands over nothing more. A takeover whose outcome is not known
// may have raised the attempt by one.
func (h *Handler) endUnstarted(claimed registrar.Request, err error) result {
	step := settlement(claimed, registrar.RequestNotRun, nil, err.Error())
	h.settler.settle(step)
	step.Attempt++
	h.settler.later(step)
	return notRun(http.StatusServiceUnavailable, err, time.Second)
}

// finish records the answer, then gives it. An answer that cannot be recorded now is given all the same: it is
// whole, and a resend finds it at the agent until it is recorded.
func (h *Handler) finish(claimed registrar.Request, answer *runner.Answer) result {
	h.settler.settle(settlement(claimed, registrar.RequestFinished, recordOf(answer), ""))
	return finished(answer)
}

func settlement(r registrar.Request, phase registrar.RequestPhase, a *registrar.RecordedAnswer, reason string) registrar.RequestStep {
	return registrar.RequestStep{Key: r.Key, Owner: r.Owner, Attempt: r.Attempt, Phase: phase, Answer: a, Reason: reason, Nonce: r.Nonce}
}

func recordOf(a *runner.Answer) *registrar.RecordedAnswer {
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

// resolve finds out what became of an attempt whose exchange failed midway: the agent, if it lives, knows. It goes
// on after the caller's deadline; a resend finds what it found.
func (h *Handler) resolve(ctx context.Context, claimed registrar.Request, cause error) result {
	found := make(chan result, 1)
	h.inFlight.Add(1)
	go func() {
		defer h.inFlight.Add(-1)
		background, cancel := context.WithTimeout(context.Background(), resolveBound)
		defer cancel()
		found <- h.askUntilKnown(background, claimed, cause)
	}()
	select {
	case r := <-found:
		return r
	case <-ctx.Done():
		return running("the exchange broke off and its end is being looked for")
	}
}

func running(text string) result {
	return result{outcome: OutcomeRunning, status: http.StatusServiceUnavailable, err: errors.New(text), retry: time.Second}
}

func (h *Handler) askUntilKnown(ctx context.Context, r registrar.Request, cause error) result {
	for {
		served := h.ask(ctx, r, cause)
		if served.outcome != OutcomeRunning {
			return served
		}
		if !pause(ctx, askPause) {
			return h.endUnknown(r, fmt.Errorf("%w; its agent did not tell in time", cause))
		}
	}
}

func (h *Handler) endUnknown(r registrar.Request, err error) result {
	h.settler.settle(settlement(r, registrar.RequestUnknown, nil, err.Error()))
	return unknown(err)
}

// ask fences an attempt at its agent and settles the request by what the agent says. While the agent may still tell,
// the outcome stays "running".
func (h *Handler) ask(ctx context.Context, r registrar.Request, cause error) result {
	answer, err := h.caller.Do(ctx, runner.Request{
		Attempt: attemptID(r.Key, r.Attempt), Method: http.MethodPost, URL: "http://" + r.Target.Address + agent.FencePath,
		Header: http.Header{agent.HeaderIncarnation: {r.Target.Incarnation}},
	})
	if err == nil {
		return h.finish(r, answer)
	}
	var unstarted *runner.NotStartedError
	said := errors.As(err, &unstarted)
	if said && !unstarted.ConnectFailed() {
		h.settler.settle(settlement(r, registrar.RequestNotRun, nil, unstarted.Error()))
		return notRun(http.StatusServiceUnavailable, err, time.Second)
	}
	current, attached := h.Machine.State().Agent(r.Target.Agent)
	lives := attached && current.Incarnation == r.Target.Incarnation
	if ctx.Err() != nil || lives && !errors.Is(err, runner.ErrMismatched) {
		return running("its agent cannot tell now")
	}
	return h.endUnknown(r, fmt.Errorf("%w; asking its agent: %w", cause, err))
}

// known tells a caller what became of an id that was used before, waiting for an end that is under way.
func (h *Handler) known(ctx context.Context, c *call, r registrar.Request) result {
	if string(r.Digest) != string(c.digest) {
		return result{outcome: OutcomeRefused, status: http.StatusUnprocessableEntity, err: errors.New("the id was used with another request")}
	}
	for {
		switch r.Phase {
		case registrar.RequestFinished:
			return recorded(r)
		case registrar.RequestNotRun:
			return notRun(http.StatusServiceUnavailable, errors.New(r.Reason), time.Second)
		case registrar.RequestUnknown:
			return unknown(errors.New(r.Reason))
		case registrar.RequestOrphaned:
			if served, settled := h.recoverOrphan(ctx, r); settled {
				return served
			}
		}
		if !pause(ctx, settledPoll) {
			return running("the request is in progress under this id")
		}
		if next, ok := h.Machine.State().Request(r.Key); ok {
			r = next
		}
	}
}

func recorded(r registrar.Request) result {
	if r.Answer == nil || r.Answer.TooLarge {
		return result{outcome: OutcomeFinished, status: http.StatusGone, err: errors.New("the request ran and its answer is no longer kept")}
	}
	return finished(answerOf(r.Answer))
}

// recoverOrphan settles a request whose entry is gone.
func (h *Handler) recoverOrphan(ctx context.Context, r registrar.Request) (result, bool) {
	served := h.ask(ctx, r, errors.New("the entry that ran the request is gone"))
	return served, served.outcome != OutcomeRunning || ctx.Err() != nil
}
