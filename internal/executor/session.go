package executor

import (
	"context"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/coordinator"
	"github.com/lagoonmill/lagoonmill/internal/locator"
	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// retryOrder is the pause before an order without success is sent again.
	retryOrder timekeeper.Millis = 150
	// orderResults bounds the orders whose results may wait; more wait in their goroutines.
	orderResults = 64
)

// reading is a reading of the runner's clock, and when it arrived here.
type reading struct {
	value timekeeper.Millis
	at    timekeeper.Millis
}

// session is one attachment to one life of the runner. Its fields belong to the goroutine of run; calls are made on
// goroutines of their own, at most one of each kind or run, and report on channels that run reads.
type session struct {
	agent  *Executor
	life   tracker.Life
	epoch  uint64
	runner Runner

	clock    reading
	lease    timekeeper.Millis // end, by the runner's clock
	version  uint64            // of orders
	ordered  bool              // orders were received in this session
	orders   map[tracker.RunKey]*run
	strays   map[tracker.RunKey]*run // listed by the runner and not ordered
	listing  Listing
	listed   int // number of holds answered
	holds    int // number of holds sent
	failures int // holds in a row without an answer
	recorded int // number of the last end that is in the log
	reported int // number of the last end that was handed in

	watching, holding, reporting bool
	watched                      chan watchResult
	held                         chan holdResult
	handed                       chan reportResult
	ordersDone                   chan orderResult
	over                         bool
}

type watchResult struct {
	response coordinator.WatchResponse
	err      error
	lease    timekeeper.Millis // end of the granted lease by the runner's clock
}

type holdResult struct {
	serial  int
	listing Listing
	arrived timekeeper.Millis
	verdict Verdict
	err     error
}

type reportResult struct {
	ends []tracker.End
	lost bool
	err  error
}

type orderResult struct {
	run     *run
	stop    bool
	verdict Verdict
	err     error
}

func newSession(e *Executor, a Announcement, arrived timekeeper.Millis, epoch uint64) *session {
	return &session{
		agent: e, life: a.Life, epoch: epoch, runner: e.dial(a),
		clock:  reading{a.Clock, arrived},
		orders: map[tracker.RunKey]*run{}, strays: map[tracker.RunKey]*run{},
		watched: make(chan watchResult, 1), held: make(chan holdResult, 1), handed: make(chan reportResult, 1),
		ordersDone: make(chan orderResult, orderResults),
	}
}

// run works until the attachment is lost, the runner has another life, or ctx ends.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(retryOrder.Duration())
	defer ticker.Stop()
	for !s.over && ctx.Err() == nil {
		s.launch(ctx)
		select {
		case <-ctx.Done():
		case <-s.agent.changed:
			s.takeNews(ctx)
		case r := <-s.watched:
			s.takeOrders(r)
		case r := <-s.held:
			s.takeListing(r)
		case r := <-s.handed:
			s.takeReceipt(r)
		case r := <-s.ordersDone:
			s.takeVerdict(r)
		case <-s.retryTick(ticker):
		}
	}
}

// retryTick returns the ticker while some order waits to be sent again; an idle session sets no timers.
func (s *session) retryTick(ticker *time.Ticker) <-chan time.Time {
	for _, r := range s.orders {
		if !r.settled() {
			return ticker.C
		}
	}
	if len(s.strays) > 0 || s.failures > 0 {
		return ticker.C
	}
	return nil
}

// launch makes every call that is due.
func (s *session) launch(ctx context.Context) {
	if !s.holding {
		s.hold(ctx)
	}
	if s.listed == 0 {
		return // nothing before the runner has seen the fencing token
	}
	if !s.watching {
		s.watch(ctx)
	}
	if !s.ordered {
		return
	}
	now := s.agent.clock.Now()
	draining := s.draining()
	for _, r := range s.orders {
		s.advance(ctx, r, draining, now)
	}
	for _, r := range s.strays {
		s.advance(ctx, r, draining, now)
	}
	if !s.reporting {
		s.report(ctx)
	}
}

func (s *session) draining() bool {
	a, _ := s.agent.announced()
	return a.Life == s.life && a.Draining
}

// takeNews ends the session when the runner has another life or has left.
func (s *session) takeNews(ctx context.Context) {
	a, _ := s.agent.announced()
	if a.Life != s.life {
		s.over = true
		return
	}
	if a.Left && s.failures > 0 {
		s.leave(ctx)
	}
}

// leave tells the leader that nothing runs here any more.
func (s *session) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r := &coordinator.LeaveRequest{Worker: s.agent.worker, Epoch: s.epoch}
	_, err := locator.Call[coordinator.LeaveRequest, coordinator.LeaveResponse](ctx, s.agent.locator, coordinator.MethodLeave, locator.Limits{}, r)
	if err != nil {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "leave"), logger.F("error", err)) // the lease ends by itself
	}
	s.over = true
}
