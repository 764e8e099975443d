package queuer

import "sync/atomic"

// Queue is a queue between goroutines.
//
// Invariants:
//   - It never holds more than its maximum number of items.
//   - It takes no item while the bytes of those that it holds have reached their maximum. One item may exceed it.
type Queue[T any] struct {
	items    chan T
	size     func(T) int
	maxBytes int64
	bytes    atomic.Int64
}

// New returns a queue of at most maxItems items. Size returns an item's bytes, which maxBytes bounds in total.
func New[T any](maxItems int, maxBytes int64, size func(T) int) *Queue[T] {
	return &Queue[T]{items: make(chan T, maxItems), size: size, maxBytes: maxBytes}
}

// Offer adds an item, or returns false if the queue is full. It never blocks.
func (q *Queue[T]) Offer(item T) bool {
	if q.bytes.Load() >= q.maxBytes {
		return false
	}
	size := int64(q.size(item))
	q.bytes.Add(size)
	select {
	case q.items <- item:
		return true
	default:
		q.bytes.Add(-size)
		return false
	}
}

// Items returns the channel of the items. A consumer calls Taken for each one that it receives.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Taken records that an item was received from Items.
func (q *Queue[T]) Taken(item T) { q.bytes.Add(-int64(q.size(item))) }
