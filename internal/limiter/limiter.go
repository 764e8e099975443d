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
	// lowerEvery is how often a waiting lower class is served although a higher one waits too.
	lowerEvery = 8
	// smoothing is the weight of the newest service time.
	smoothing = 0.1
	// growEvery is the number of successes after which the limit grows by one.
	growEvery = 8
	// shrinkPause is the shortest time between two cuts of the limit.
	shrinkPause = 50 * time.Millisecond
	shrinkTo    = 0.9
	leastLimit  = 1
)

// Settings are the bounds of the queues and the weights of the workspaces. They are immutable.
type Settings struct {
	Queue   [classCount]int // requests of each class that may wait
	Weights map[string]int  // of workspaces; one that is missing has weight 1
}

// DefaultSettings returns the bounds of an ordinary day.
func DefaultSettings() Settings {
	return Settings{Queue: [classCount]int{512, 256, 256}}
}

// WithLimits returns a copy with the queue bounds that are not zero.
func (s Settings) WithLimits(queue [classCount]int) Settings {
	for i, n := range queue {
		if n > 0 {
			s.Queue[i] = n
		}
	}
	return s
}

// WithWeights returns a copy with the given weights; the caller must not change the map any more.
func (s Settings) WithWeights(weights map[string]int) Settings {
	s.Weights = weights
	return s
}

// A RefusedError tells that a request was not admitted, and when to come again.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// waiter is a request in a queue; granted is closed when it is admitted.
type waiter struct {
	workspace string
	granted   chan struct{}
}

// queue is the waiting requests of one class, by workspace.
type queue struct {
	byWorkspace map[string][]*waiter
	length      int
}

// Limiter bounds the requests in flight at one entry. While nobody waits, admission is one atomic step; mu guards
// the queues.
type Limiter struct {
	limit    atomic.Int64 // requests at once; follows what backend servers take
	ceiling  atomic.Int64
	inFlight atomic.Int64
	waiting  atomic.Int64
	settings atomic.Pointer[Settings]

	mu        sync.Mutex
	queues    [classCount]queue
	held      map[string]int // in flight by workspace, of those that had to queue or are counted under mu
	grants    int
	meanNanos float64
	successes int
	shrunk    time.Time
}

// New returns a limiter that admits ceiling requests at once at most.
func New(ceiling int, settings Settings) *Limiter {
	l := &Limiter{held: map[string]int{}, meanNanos: float64(10 * time.Millisecond)}
	for i := range l.queues {
		l.queues[i].byWorkspace = map[string][]*waiter{}
	}
	l.settings.Store(&settings)
	l.SetCeiling(ceiling)
	return l
}

// SetCeiling bounds the limit, for a set of backend servers that changed.
func (l *Limiter) SetCeiling(n int) {
	n = max(n, leastLimit)
	old := l.ceiling.Swap(int64(n))
	if l.limit.Load() == old || l.limit.Load() > int64(n) || old == 0 {
		l.limit.Store(int64(n))
	}
	l.wake()
}

// Set replaces the settings; requests that wait stay.
func (l *Limiter) Set(settings Settings) { l.settings.Store(&settings) }

// Limit returns the present bound of requests at once.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

// InFlight returns the number of requests admitted and not yet released.
func (l *Limiter) InFlight() int { return int(l.inFlight.Load()) }

// Ticket is an admission; it must be released once.
type Ticket struct {
	limiter   *Limiter
	workspace string
	began     time.Time
	counted   bool
}

// Acquire admits a request or refuses it: at once where its queue is full or it would wait past its deadline, later
// where its context ends first.
func (l *Limiter) Acquire(ctx context.Context, workspace string, class scheduler.Class) (*Ticket, error) {
	if l.waiting.Load() == 0 && l.tryTake() {
		return &Ticket{limiter: l, workspace: workspace, began: time.Now()}, nil
	}
	w, err := l.enqueue(ctx, workspace, class)
	if err != nil {
		return nil, err
	}
	l.wake()
	select {
	case <-w.granted:
		return &Ticket{limiter: l, workspace: workspace, began: time.Now(), counted: true}, nil
	case <-ctx.Done():
		return l.giveUp(ctx, w, class)
	}
}

func (l *Limiter) tryTake() bool {
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
		return nil, &RefusedError{fmt.Sprintf("%d %v requests wait already", q.length, class), expected}
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected {
		return nil, &RefusedError{fmt.Sprintf("the wait of about %v exceeds the deadline", expected.Round(time.Millisecond)), expected}
	}
	w := &waiter{workspace: workspace, granted: make(chan struct{})}
	q.byWorkspace[workspace] = append(q.byWorkspace[workspace], w)
	q.length++
	l.waiting.Add(1)
	return w, nil
}

// expectedWait is the time that those who go first keep the slots. The caller holds mu.
func (l *Limiter) expectedWait(class scheduler.Class) time.Duration {
	ahead := 0
	for c := scheduler.ClassUrgent; c <= class; c++ {
		ahead += l.queues[c].length
	}
	return time.Duration(l.meanNanos * float64(ahead) / float64(max(l.limit.Load(), 1)))
}

// giveUp leaves the queue, unless the grant came at the same moment.
func (l *Limiter) giveUp(ctx context.Context, w *waiter, class scheduler.Class) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.granted:
		return &Ticket{limiter: l, workspace: w.workspace, began: time.Now(), counted: true}, nil
	default:
	}
	q := &l.queues[class]
	list := q.byWorkspace[w.workspace]
	q.keep(w.workspace, slices.DeleteFunc(list, func(o *waiter) bool { return o == w }))
	q.length--
	l.waiting.Add(-1)
	return nil, &RefusedError{Reason: "gave up waiting: " + ctx.Err().Error(), RetryAfter: l.expectedWait(class)}
}

// keep replaces a workspace's list; an empty one is dropped.
func (q *queue) keep(workspace string, list []*waiter) {
	if len(list) == 0 {
		delete(q.byWorkspace, workspace)
		return
	}
	q.byWorkspace[workspace] = list
}

// Release ends an admission. ok tells that a backend server served the request, and full that none had a free slot.
func (t *Ticket) Release(ok, full bool) {
	l := t.limiter
	l.inFlight.Add(-1)
	l.learn(t, ok, full)
	l.wake()
}

// learn moves the limit: up slowly while backend servers take all, down when none had a slot.
func (l *Limiter) learn(t *Ticket, ok, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.counted {
		if l.held[t.workspace]--; l.held[t.workspace] <= 0 {
			delete(l.held, t.workspace)
		}
	}
	if full && time.Since(l.shrunk) > shrinkPause {
		l.shrunk = time.Now()
		l.limit.Store(max(int64(float64(l.limit.Load())*shrinkTo), leastLimit))
		return
	}
	if !ok {
		return
	}
	l.meanNanos += smoothing * (float64(time.Since(t.began)) - l.meanNanos)
	if l.successes++; l.successes%growEvery == 0 && l.limit.Load() < l.ceiling.Load() {
		l.limit.Add(1)
	}
}

// wake admits waiting requests while there is room.
func (l *Limiter) wake() {
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.waiting.Load() > 0 && l.tryTake() {
		w := l.next()
		if w == nil {
			l.inFlight.Add(-1)
			return
		}
		l.held[w.workspace]++
		close(w.granted)
	}
}

// next takes the request whose turn it is: the highest class, but every lowerEvery-th time the lowest that waits.
// The caller holds mu.
func (l *Limiter) next() *waiter {
	l.grants++
	for i := range classCount {
		class := i
		if l.grants%lowerEvery == 0 {
			class = classCount - 1 - i
		}
		if w := l.nextOf(&l.queues[class]); w != nil {
			return w
		}
	}
	return nil
}

// nextOf takes the oldest request of the workspace that holds least for its weight.
func (l *Limiter) nextOf(q *queue) *waiter {
	if q.length == 0 {
		return nil
	}
	weights := l.settings.Load().Weights
	best, bestShare := "", 0.0
	for name := range q.byWorkspace {
		share := float64(l.held[name]) / float64(max(weights[name], 1))
		if best == "" || share < bestShare || share == bestShare && name < best {
			best, bestShare = name, share
		}
	}
	w := q.byWorkspace[best][0]
	q.keep(best, q.byWorkspace[best][1:])
	q.length--
	l.waiting.Add(-1)
	return w
}
