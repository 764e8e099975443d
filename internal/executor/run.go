package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// orderTimeout bounds a start or stop; the runner is on the same host.
	orderTimeout = 700 * time.Millisecond
	// startTries is the number of starts without success after which the run is given back to the leader.
	startTries = 6
)

// run is what a session knows of one run. It belongs to the session's goroutine.
type run struct {
	order   coordinator.Order
	listed  bool              // the runner lists it as running
	ended   bool              // the runner lists its end
	over    bool              // its end is in the log
	sent    bool              // a start was sent in this session
	started bool              // a start was confirmed in this session
	fenced  int               // number of the hold after which a list without the run proves that it never begins; zero: not fenced
	proved  bool              // such a list has come
	stopped bool              // a stop was confirmed
	busy    bool              // an order is on its way
	tries   int               // starts without success
	next    timekeeper.Millis // no order is sent before this time
	began   timekeeper.Millis // when the only start that was sent was confirmed; zero: not seen
	took    timekeeper.Millis // from then to the list that first held its end
}

// settled reports whether no order has to be sent for the run.
func (r *run) settled() bool {
	if r.over || r.ended || r.proved {
		return true
	}
	if r.order.Stop {
		return r.stopped
	}
	return r.started || r.listed
}

// awaitsListing reports whether only a list can tell what became of the run.
func (r *run) awaitsListing() bool {
	return r.fenced > 0 && !r.listed && !r.ended && !r.proved && !r.over
}

// missing returns the end to report for a run that the runner does not know and never will, or zero.
func (r *run) missing() tracker.EndKind {
	if r.over || r.ended || r.listed || !r.proved {
		return 0
	}
	if r.tries >= startTries {
		return tracker.EndUnbegun
	}
	return tracker.EndLapsed
}

// replaceOrders takes the worker's runs as the log gives them.
func (s *session) replaceOrders(orders []coordinator.Order) {
	next := make(map[tracker.RunKey]*run, len(orders))
	for _, o := range orders {
		r := s.orders[o.Run]
		if r == nil {
			r = &run{}
		}
		if r.order.Run != o.Run || o.Stop != r.order.Stop {
			r.next = 0
		}
		r.order = o
		next[o.Run] = r
	}
	s.orders = next
}

// compare notes what the last list says of every run.
func (s *session) compare() {
	for _, r := range s.orders {
		r.listed, r.ended = false, false
	}
	known := s.markListed()
	for key := range s.strays {
		if !known[key] {
			delete(s.strays, key)
		}
	}
	for _, r := range s.orders {
		if r.awaitsListing() && s.listed > r.fenced {
			r.proved = true
		}
	}
}

// markListed marks the runs that the runner lists and collects those that nobody ordered; it returns the latter.
func (s *session) markListed() map[tracker.RunKey]bool {
	strays := map[tracker.RunKey]bool{}
	for _, running := range s.listing.Running {
		if r := s.orders[running.Run]; r != nil {
			r.listed = true
			continue
		}
		if !s.ordered {
			continue
		}
		strays[running.Run] = true
		if s.strays[running.Run] == nil {
			s.strays[running.Run] = &run{order: coordinator.Order{Run: running.Run, Stop: true}, listed: true}
		}
	}
	for _, end := range s.listing.Finished {
		if r := s.orders[end.Run]; r != nil {
			r.noteEnd(s.clock.at)
		}
	}
	return strays
}

// noteEnd notes that a list which arrived at the given time holds the run's end.
func (r *run) noteEnd(arrived timekeeper.Millis) {
	r.ended = true
	if r.began > 0 && r.took == 0 {
		r.took = arrived - r.began
	}
}

// advance sends the order that a run needs next.
func (s *session) advance(ctx context.Context, r *run, draining bool, now timekeeper.Millis) {
	if r.busy || now < r.next || r.settled() || r.awaitsListing() {
		return
	}
	// What an earlier attachment was given may have run and be lost: it is only adopted, never begun again.
	earlier := r.order.Epoch != s.epoch
	giveBack := r.order.Stop || draining || earlier || r.tries >= startTries
	switch {
	case giveBack && !r.sent && !r.listed:
		// The runner has seen this attachment's token before its last list, so that no earlier start counts any more.
		r.proved = true
	case giveBack:
		s.sendStop(ctx, r)
	case s.lease > 0:
		s.sendStart(ctx, r)
	}
}

func (s *session) sendStart(ctx context.Context, r *run) {
	r.busy, r.sent = true, true
	order := StartOrder{Run: r.order.Run, Payload: r.order.Payload, Checkpoint: r.order.Checkpoint, Lease: s.lease, Epoch: s.epoch}
	go func() {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		verdict, err := s.runner.Start(call, order)
		s.deliver(ctx, orderResult{r, false, verdict, err})
	}()
}

func (s *session) sendStop(ctx context.Context, r *run) {
	r.busy = true
	go func() {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		verdict, err := s.runner.Stop(call, r.order.Run, s.epoch)
		s.deliver(ctx, orderResult{r, true, verdict, err})
	}()
}

func (s *session) deliver(ctx context.Context, o orderResult) {
	select {
	case s.ordersDone <- o:
	case <-ctx.Done():
	}
}

func (s *session) takeVerdict(o orderResult) {
	r := o.run
	r.busy = false
	r.next = s.agent.clock.Now() + retryOrder
	if o.err == nil && (o.verdict == VerdictFenced || o.verdict == VerdictOtherLife) {
		s.lose("an order was answered: " + o.verdict.String())
		return
	}
	if o.stop {
		s.takeStopped(r, o)
		return
	}
	s.takeStarted(r, o)
}

func (s *session) takeStarted(r *run, o orderResult) {
	if o.err == nil && o.verdict == VerdictDone {
		r.started = true
		if r.tries == 0 {
			r.began = s.agent.clock.Now()
		}
		s.agent.log.Log(logger.RunStarted, logger.F("job", string(r.order.Run.Task.Job)), logger.F("run", r.order.Run.String()), logger.F("epoch", s.epoch))
		return
	}
	if o.err == nil && o.verdict == VerdictOld {
		r.fenced = s.holds
	}
	if o.verdict != VerdictLate {
		r.tries++
	}
	s.agent.log.Log(logger.RunRejected, logger.F("job", string(r.order.Run.Task.Job)), logger.F("run", r.order.Run.String()),
		logger.F("verdict", o.verdict.String()), logger.F("tries", r.tries), logger.F("error", o.err))
}

// takeStopped notes a confirmed stop: a run that was not there yet never begins.
func (s *session) takeStopped(r *run, o orderResult) {
	if o.err != nil || o.verdict != VerdictDone {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "stop"), logger.F("run", r.order.Run.String()),
			logger.F("verdict", o.verdict.String()), logger.F("error", o.err))
		return
	}
	r.stopped, r.fenced = true, s.holds
	s.agent.log.Log(logger.RunStopped, logger.F("job", string(r.order.Run.Task.Job)), logger.F("run", r.order.Run.String()), logger.F("epoch", s.epoch))
}
