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
	// busyWait is how long a runner holds its answer while something runs: progress is looked at as often.
	busyWait timekeeper.Millis = 1000
	// idleWait is the longest that the platform allows.
	idleWait timekeeper.Millis = 2000
	// orderTimeout bounds a start or stop; the runner is on the same host.
	orderTimeout = 700 * time.Millisecond
	// holdExtra is what a hold may take beyond its wait.
	holdExtra = 800 * time.Millisecond
	// retryOrder is the pause before an order without success is sent again.
	retryOrder timekeeper.Millis = 150
	// startTries is the number of starts without success after which the run is given back to the leader.
	startTries = 6
	// muteAfter is the number of holds without an answer after which the leader is told not to grant leases.
	muteAfter = 2
	// watchTimeout bounds a watch with its retries; afterwards the watch carries fresh reports.
	watchTimeout = 3 * time.Second
	// reportTimeout bounds a report with its retries.
	reportTimeout = 3 * time.Second
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

// orderResults bounds the orders whose results may wait; more wait in their goroutines.
const orderResults = 64

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

func (s *session) hold(ctx context.Context) {
	s.holding = true
	s.holds++
	order := HoldOrder{Epoch: s.epoch, Forgotten: s.recorded, Lease: s.lease, Wait: s.holdWait()}
	serial := s.holds
	go func() {
		call, cancel := context.WithTimeout(ctx, order.Wait.Duration()+holdExtra)
		defer cancel()
		listing, verdict, err := s.runner.Hold(call, order)
		if err != nil {
			pause(ctx, retryOrder.Duration())
		}
		s.held <- holdResult{serial, listing, s.agent.clock.Now(), verdict, err}
	}()
}

// holdWait is zero while something waits to be seen in a list.
func (s *session) holdWait() timekeeper.Millis {
	if s.listed == 0 {
		return 0
	}
	for _, r := range s.orders {
		if r.awaitsListing() {
			return 0
		}
	}
	if len(s.orders) > 0 || len(s.listing.Running) > 0 {
		return busyWait
	}
	return idleWait
}

func (s *session) takeListing(r holdResult) {
	s.holding = false
	switch {
	case r.err != nil:
		s.noteSilence(r.err)
		return
	case r.verdict == VerdictFenced, r.verdict == VerdictOtherLife, r.listing.Life.Born != 0 && r.listing.Life.Born != s.life.Born:
		s.lose("the runner has another life or has seen a higher token")
		return
	case r.verdict != VerdictDone:
		s.noteSilence(nil)
		return
	}
	s.failures = 0
	s.listed = r.serial
	s.listing = r.listing
	s.clock = reading{r.listing.Clock, r.arrived}
	s.compare()
}

func (s *session) noteSilence(err error) {
	s.failures++
	if s.failures == muteAfter {
		s.agent.log.Log(logger.RunnerCallFailed, logger.F("call", "hold"), logger.F("runner", s.life.ID), logger.F("error", err))
	}
	if a, _ := s.agent.announced(); a.Left {
		s.agent.mu.Lock()
		s.agent.signal()
		s.agent.mu.Unlock()
	}
}

func (s *session) lose(reason string) {
	s.over = true
	s.agent.log.Log(logger.AttachmentLost, logger.F("runner", s.life.ID), logger.F("epoch", s.epoch), logger.F("reason", reason))
}

func (s *session) watch(ctx context.Context) {
	s.watching = true
	a, _ := s.agent.announced()
	r := &coordinator.WatchRequest{
		Worker: s.agent.worker, Epoch: s.epoch, Seen: s.version,
		Draining: s.draining(), Leaving: a.Leaving, Mute: s.failures >= muteAfter,
	}
	for _, running := range s.listing.Running {
		r.Running = append(r.Running, coordinator.RunReport{Run: running.Run, Percent: running.Percent, Checkpoint: running.Checkpoint})
	}
	clock, sent := s.clock, s.agent.clock.Now()
	go func() {
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		response, err := locator.Call[coordinator.WatchRequest, coordinator.WatchResponse](
			call, s.agent.locator, coordinator.MethodWatch, locator.Limits{Hold: coordinator.HoldTime.Duration()}, r)
		s.watched <- watchResult{response, err, leaseEnd(clock, sent, response.Lease)}
	}()
}

// leaseEnd returns the end of a lease by the runner's clock. The lease counts from when it was asked for, and the
// runner's clock was at least the reading when that arrived: the runner ends the lease no later than the leader does.
func leaseEnd(clock reading, sent, lease timekeeper.Millis) timekeeper.Millis {
	if lease == 0 {
		return 0
	}
	return clock.value + (sent - clock.at) + lease
}

func (s *session) takeOrders(r watchResult) {
	s.watching = false
	if r.err != nil {
		return // the locator has logged it; the next watch follows
	}
	if r.response.Lost {
		s.lose("the leader gave the worker up, or another process attached")
		return
	}
	s.lease = max(s.lease, r.lease)
	s.recorded = max(s.recorded, r.response.Recorded)
	if r.response.Version == s.version {
		return
	}
	s.version, s.ordered = r.response.Version, true
	s.replaceOrders(r.response.Orders)
	s.compare()
}

func (s *session) report(ctx context.Context) {
	ends := s.unreported()
	if len(ends) == 0 {
		return
	}
	s.reporting = true
	r := &coordinator.ReportRequest{Report: tracker.Report{Worker: s.agent.worker, Epoch: s.epoch, Ends: ends}}
	go func() {
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		response, err := locator.Call[coordinator.ReportRequest, coordinator.ReportResponse](call, s.agent.locator, coordinator.MethodReport, locator.Limits{}, r)
		s.handed <- reportResult{ends, response.Lost, err}
	}()
}

// unreported returns the ends that the runner lists, and those that only this session knows.
func (s *session) unreported() []tracker.End {
	var ends []tracker.End
	for _, end := range s.listing.Finished {
		if end.Number > max(s.reported, s.recorded) {
			ends = append(ends, end)
		}
	}
	for key, r := range s.orders {
		if kind := r.missing(); kind != 0 {
			ends = append(ends, tracker.End{Run: key, Kind: kind})
		}
	}
	return ends
}

func (s *session) takeReceipt(r reportResult) {
	s.reporting = false
	if r.err != nil {
		return // the ends are handed in again
	}
	if r.lost {
		s.lose("the leader knows another attachment")
		return
	}
	for _, end := range r.ends {
		s.reported = max(s.reported, end.Number)
		if o := s.orders[end.Run]; o != nil {
			o.over = true
		}
	}
	s.recorded = max(s.recorded, s.reported)
}
