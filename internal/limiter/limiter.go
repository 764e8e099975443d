package limiter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

const (
	classCount = 3
	// lowestFirstEvery is the interval, in grants, at which the lowest waiting class goes first, so that it does not
	// starve.
	lowestFirstEvery = 8
	// smoothing is the weight of the newest sample in the moving average of service time.
	smoothing = 0.1
	// increaseEvery is the number of successes after which the limit grows by one.
	increaseEvery = 8
	// minDecreaseInterval is the shortest time between two decreases of the limit.
	minDecreaseInterval = 50 * time.Millisecond
	decreaseFactor      = 0.9
	minLimit            = 1
)

// Settings holds the queue limits and the workspace weights. It is immutable.
type Settings struct {
	Queue   [classCount]int // maximum number of waiting requests, by class
	Weights map[string]int  // by workspace; a missing one has weight 1
}

// DefaultSettings returns the default queue limits and equal weights.
func DefaultSettings() Settings {
	return Settings{Queue: [classCount]int{512, 256, 256}}
}

// WithLimits returns a copy with the given queue limits; zeros leave a limit unchanged.
func (s Settings) WithLimits(queue [classCount]int) Settings {
	for i, n := range queue {
		if n > 0 {
			s.Queue[i] = n
		}
	}
	return s
}

// WithWeights returns a copy with the given weights. The caller must not modify the map afterwards.
func (s Settings) WithWeights(weights map[string]int) Settings {
	s.Weights = weights
	return s
}

// A RefusedError reports that a request was not admitted and after which time to retry.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// waiter is a queued request; admitted is closed when it is admitted.
type waiter struct {
	workspace string
	admitted  chan struct{}
}

// queue holds the waiting requests of one class, in order of arrival for each workspace.
type queue struct {
	byWorkspace map[string][]*waiter
	length      int
}

// Limiter bounds the requests in flight at one entry. While no request waits, admission takes no lock; mu guards
// the fields below it. It is safe for concurrent use.
type Limiter struct {
	limit    atomic.Int64 // maximum number of requests in flight; adapts to the capacity of backend servers, up to ceiling
	ceiling  atomic.Int64
	inFlight atomic.Int64
	waiting  atomic.Int64
	settings atomic.Pointer[Settings]

	mu             sync.Mutex
	queues         [classCount]queue
	inFlightQueued map[string]int // requests in flight by workspace, only those that waited in a queue
	grants         int
	meanNanos      float64
	successes      int
	lastDecrease   time.Time
}

// New returns a limiter that admits at most ceiling concurrent requests.
func New(ceiling int, settings Settings) *Limiter {
	l := &Limiter{inFlightQueued: map[string]int{}, meanNanos: float64(10 * time.Millisecond)}
	for i := range l.queues {
		l.queues[i].byWorkspace = map[string][]*waiter{}
	}
	l.settings.Store(&settings)
	l.SetCeiling(ceiling)
	return l
}

// SetCeiling sets the upper bound of the limit, which is the number of slots of all backend servers. A limit that
// was at the old bound follows the new one.
func (l *Limiter) SetCeiling(n int) {
	n = max(n, minLimit)
	old := l.ceiling.Swap(int64(n))
	if l.limit.Load() == old || l.limit.Load() > int64(n) || old == 0 {
		l.limit.Store(int64(n))
	}
	l.grantWaiting()
}

// Set replaces the settings. Requests already in a queue stay there.
func (l *Limiter) Set(settings Settings) { l.settings.Store(&settings) }

// Limit returns the current limit of requests in flight.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

// InFlight returns the number of requests admitted and not yet released.
func (l *Limiter) InFlight() int { return int(l.inFlight.Load()) }

// Ticket is the admission of one request. Release must be called exactly once.
type Ticket struct {
	limiter    *Limiter
	workspace  string
	admittedAt time.Time
	queued     bool
}

// Acquire admits a request, waiting in its queue if need be. It returns a *RefusedError at once if the queue is full
// or the expected wait exceeds the deadline of ctx, and later if ctx ends first.
func (l *Limiter) Acquire(ctx context.Context, workspace string, class scheduler.Class) (*Ticket, error) {
	if l.waiting.Load() == 0 && l.tryAcquire() {
		return &Ticket{limiter: l, workspace: workspace, admittedAt: time.Now()}, nil
	}
	w, err := l.enqueue(ctx, workspace, class)
	if err != nil {
		return nil, err
	}
	l.grantWaiting()
	select {
	case <-w.admitted:
		return &Ticket{limiter: l, workspace: workspace, admittedAt: time.Now(), queued: true}, nil
	case <-ctx.Done():
		return l.cancelWait(ctx, w, class)
	}
}

func (l *Limiter) tryAcquire() bool {
	for {
		n := l.inFlight.Load()
		if n >= l.limit.Load() {
			return false
		}
		if l.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (l *Limiter) enqueue(ctx context.Context, workspace string, class scheduler.Class) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := &l.queues[class]
	expected := l.expectedWait(class)
	if bound := l.settings.Load().Queue[class]; q.length >= bound {
		return nil, &RefusedError{fmt.Sprintf("queue is full: %d %v requests waiting", q.length, class), expected}
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected {
		return nil, &RefusedError{fmt.Sprintf("expected wait of %v exceeds the deadline", expected.Round(time.Millisecond)), expected}
	}
	w := &waiter{workspace: workspace, admitted: make(chan struct{})}
	q.byWorkspace[workspace] = append(q.byWorkspace[workspace], w)
	q.length++
	l.waiting.Add(1)
	return w, nil
}

// expectedWait estimates the queueing time of a new request from the requests ahead of it. The caller holds mu.
func (l *Limiter) expectedWait(class scheduler.Class) time.Duration {
	ahead := 0
	for c := scheduler.ClassUrgent; c <= class; c++ {
		ahead += l.queues[c].length
	}
	return time.Duration(l.meanNanos * float64(ahead) / float64(max(l.limit.Load(), 1)))
}

// cancelWait removes w from its queue, or returns its ticket if w was admitted at the same time.
func (l *Limiter) cancelWait(ctx context.Context, w *waiter, class scheduler.Class) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.admitted:
		return &Ticket{limiter: l, workspace: w.workspace, admittedAt: time.Now(), queued: true}, nil
	default:
	}
	q := &l.queues[class]
	list := q.byWorkspace[w.workspace]
	q.setWaiters(w.workspace, slices.DeleteFunc(list, func(o *waiter) bool { return o == w }))
	q.length--
	l.waiting.Add(-1)
	return nil, &RefusedError{Reason: "canceled while waiting in the queue: " + ctx.Err().Error(), RetryAfter: l.expectedWait(class)}
}

// setWaiters replaces a workspace's list, or deletes its entry if the list is empty.
func (q *queue) setWaiters(workspace string, list []*waiter) {
	if len(list) == 0 {
		delete(q.byWorkspace, workspace)
		return
	}
	q.byWorkspace[workspace] = list
}

// Release ends an admission. ok reports that a backend server served the request, and full that at some time none had
// a free slot.
func (t *Ticket) Release(ok, full bool) {
	l := t.limiter
	l.inFlight.Add(-1)
	l.adjustLimit(t, ok, full)
	l.grantWaiting()
}

// adjustLimit increases the limit slowly while backend servers accept all requests and cuts it when none had a free
// slot.
func (l *Limiter) adjustLimit(t *Ticket, ok, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.queued {
		if l.inFlightQueued[t.workspace]--; l.inFlightQueued[t.workspace] <= 0 {
			delete(l.inFlightQueued, t.workspace)
		}
	}
	if full && time.Since(l.lastDecrease) > minDecreaseInterval {
		l.lastDecrease = time.Now()
		l.limit.Store(max(int64(float64(l.limit.Load())*decreaseFactor), minLimit))
		return
	}
	if !ok {
		return
	}
	l.meanNanos += smoothing * (float64(time.Since(t.admittedAt)) - l.meanNanos)
	if l.successes++; l.successes%increaseEvery == 0 && l.limit.Load() < l.ceiling.Load() {
		l.limit.Add(1)
	}
}

// grantWaiting admits waiting requests while fewer than limit are in flight.
func (l *Limiter) grantWaiting() {
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.waiting.Load() > 0 && l.tryAcquire() {
		w := l.dequeue()
		if w == nil {
			l.inFlight.Add(-1)
			return
		}
		l.inFlightQueued[w.workspace]++
		close(w.admitted)
	}
}

// dequeue removes and returns the next request to admit, or nil: one of the highest waiting class, but every
// lowestFirstEvery-th time one of the lowest. The caller holds mu.
func (l *Limiter) dequeue() *waiter {
	l.grants++
	for i := range classCount {
		class := i
		if l.grants%lowestFirstEvery == 0 {
			class = classCount - 1 - i
		}
		if w := l.dequeueFair(&l.queues[class]); w != nil {
			return w
		}
	}
	return nil
}

// dequeueFair removes and returns the oldest request of the workspace with the fewest queued admissions in flight
// relative to its weight, or nil if q is empty. The caller holds mu.
func (l *Limiter) dequeueFair(q *queue) *waiter {
	if q.length == 0 {
		return nil
	}
	weights := l.settings.Load().Weights
	best, bestShare := "", 0.0
	for name := range q.byWorkspace {
		share := float64(l.inFlightQueued[name]) / float64(max(weights[name], 1))
		if best == "" || share < bestShare || share == bestShare && name < best {
			best, bestShare = name, share
		}
	}
	w := q.byWorkspace[best][0]
	q.setWaiters(best, q.byWorkspace[best][1:])
	q.length--
	l.waiting.Add(-1)
	return w
}
