package tracker

import (
	"github.com/benbjohnson/immutable"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// removedQueue is a queue that the configuration in force no longer has.
type removedQueue struct {
	Queue  modeler.Queue `cbor:"1,keyasint"`
	Unused bool          `cbor:"2,keyasint,omitempty"` // no unfinished job referred to it at the last Prune
}

// Queue returns the queue with the given name: that of the configuration in force, or else the last one that a
// configuration had, for jobs that were accepted before it was removed.
func (s State) Queue(name string) (modeler.Queue, bool) {
	if q, ok := s.Configuration.Queue(name); ok {
		return q, true
	}
	r, ok := s.removedQueues.Get(name)
	return r.Queue, ok
}

// keepRemovedQueues keeps the queues that next no longer has, and forgets removed ones that it has again.
func (s *State) keepRemovedQueues(next modeler.Configuration) {
	for _, q := range s.Configuration.Queues {
		s.removedQueues = s.removedQueues.Set(q.Name, removedQueue{Queue: q})
	}
	for _, q := range next.Queues {
		s.removedQueues = s.removedQueues.Delete(q.Name)
	}
}

// pruneRemovedQueues drops the removed queues that no unfinished job refers to. It drops a queue only at the second call
// that finds it unused: a submission that was admitted before the removal may follow the first one in the log.
func (s *State) pruneRemovedQueues() {
	used := map[string]bool{}
	for _, j := range s.UnfinishedJobs() {
		used[j.Queue] = true
	}
	for it := s.removedQueues.Iterator(); !it.Done(); {
		name, r, _ := it.Next()
		if r.Unused && !used[name] {
			s.removedQueues = s.removedQueues.Delete(name)
			continue
		}
		r.Unused = !used[name]
		s.removedQueues = s.removedQueues.Set(name, r)
	}
}

// pruneRunTimes drops the run times of queues that are not known any more.
func (s *State) pruneRunTimes() {
	for it := s.runTimes.Iterator(); !it.Done(); {
		queue, _, _ := it.Next()
		if _, known := s.Queue(queue); !known {
			s.runTimes = s.runTimes.Delete(queue)
		}
	}
}

func (s State) listRemovedQueues() []removedQueue {
	var list []removedQueue
	for it := s.removedQueues.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		list = append(list, r)
	}
	return list
}

func newRemovedQueues(list []removedQueue) *immutable.SortedMap[string, removedQueue] {
	m := immutable.NewSortedMap[string, removedQueue](nil)
	for _, r := range list {
		m = m.Set(r.Queue.Name, r)
	}
	return m
}
