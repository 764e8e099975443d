package coordinator

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// unsentLimit is how long a run may wait for a watch of its worker's agent before it is withdrawn. An agent that
	// works sends its next watch at once.
	unsentLimit timekeeper.Millis = 1000
	// withdrawnRetention is how long a withdrawn run is remembered: longer than any watch.
	withdrawnRetention = timekeeper.Minute
)

// starts tracks the runs that this leader has assigned, until they begin. It is safe for concurrent use; mu guards the
// fields below it.
//
// A run that was sent to no agent cannot start. The leader that assigned it may withdraw it without waiting for the
// worker's lease to end, since it alone can have sent it: a watch is answered only with runs of a state that was read
// before a quorum confirmed the leadership, and that the worker still holds in one that was read after it.
type starts struct {
	mu        sync.Mutex
	runs      map[tracker.RunKey]*assignedRun // all that workers hold
	unsent    map[tracker.RunKey]*assignedRun // those that this leader has assigned and sent to no agent
	withdrawn map[tracker.RunKey]withdrawnRun // those that are never sent any more
	watches   map[string]*watchRecord         // by worker
	scannedAt timekeeper.Millis               // when the runs were last compared with the state
}

// assignedRun is what the leader knows of a run that a worker holds.
type assignedRun struct {
	worker     string
	assignedAt timekeeper.Millis // or when this leader first saw it
	begun      bool              // the runner executes it
	cause      StartCause        // why it has not begun, as the agent last said
	loggedAt   timekeeper.Millis // when a line about it was last written; zero if none was
	// endingSince is when the run was first seen to be one that is to end; zero if it is not.
	endingSince timekeeper.Millis
	sentEpoch   uint64 // the attachment whose agent was last told of the run by this leader; zero if none was
}

type withdrawnRun struct {
	worker string
	at     timekeeper.Millis
}

// watchRecord tells whether a worker's agent waits for an answer to a watch.
type watchRecord struct {
	open    int
	endedAt timekeeper.Millis // when the last one ended
	absent  bool              // the agent broke the last one off, or asked for no run in time, and has not called since
}

func newStarts() *starts {
	return &starts{
		runs: map[tracker.RunKey]*assignedRun{}, unsent: map[tracker.RunKey]*assignedRun{},
		withdrawn: map[tracker.RunKey]withdrawnRun{}, watches: map[string]*watchRecord{},
	}
}

// reset forgets the runs that were assigned in an earlier term, which another leader may have sent. Whether those that
// were withdrawn are lost, the state of the new term tells.
func (s *starts) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.runs)
	clear(s.unsent)
	clear(s.withdrawn)
}

// assign records runs that are about to be proposed.
func (s *starts) assign(list []tracker.Start, now timekeeper.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range list {
		r := &assignedRun{worker: start.Worker, assignedAt: now}
		s.runs[start.Run], s.unsent[start.Run] = r, r
	}
}

// send records that a run is sent to the agent of its worker's attachment with the given epoch. It returns false for a
// withdrawn run, which must not be sent.
func (s *starts) send(run tracker.RunKey, worker string, epoch uint64, now timekeeper.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, withdrawn := s.withdrawn[run]; withdrawn {
		return false
	}
	delete(s.unsent, run)
	if s.runs[run] == nil {
		s.runs[run] = &assignedRun{worker: worker, assignedAt: now}
	}
	s.runs[run].sentEpoch = epoch
	return true
}

// watchBegins records that a worker's agent waits for an answer.
func (s *starts) watchBegins(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watchRecord(worker)
	w.open++
	w.absent = false
}

// watchRecord returns the record of a worker. The caller holds mu.
func (s *starts) watchRecord(worker string) *watchRecord {
	w := s.watches[worker]
	if w == nil {
		w = &watchRecord{}
		s.watches[worker] = w
	}
	return w
}

// watchEnds records that a watch was answered, or that the agent broke it off.
func (s *starts) watchEnds(worker string, now timekeeper.Millis, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watchRecord(worker)
	w.open--
	w.endedAt, w.absent = now, broken
}

// agentAbsent reports whether a worker's agent has broken off its last watch, or has let a run wait for too long, and
// has not called since.
func (s *starts) agentAbsent(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watches[worker]
	return w != nil && w.open == 0 && w.absent
}

// withdraw returns the runs of the state, by worker, that were sent to no agent in unsentLimit because the agent did not
// ask for them, and those withdrawn before. They are not sent any more, so that they may be declared lost.
func (s *starts) withdraw(state tracker.State, now timekeeper.Millis) map[string][]tracker.RunKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.unsent {
		switch {
		case !state.Holds(r.worker, key):
			delete(s.unsent, key)
		case s.overdue(r, now):
			delete(s.unsent, key)
			s.withdrawn[key] = withdrawnRun{r.worker, now}
			s.watchRecord(r.worker).absent = true
		}
	}
	list := map[string][]tracker.RunKey{}
	for key, r := range s.withdrawn {
		if state.Holds(r.worker, key) {
			list[r.worker] = append(list[r.worker], key)
		} else if now-r.at > withdrawnRetention {
			delete(s.withdrawn, key)
		}
	}
	return list
}

// overdue reports whether an unsent run has waited for longer than unsentLimit for a watch. The caller holds mu.
func (s *starts) overdue(r *assignedRun, now timekeeper.Millis) bool {
	since := r.assignedAt
	if w := s.watches[r.worker]; w != nil {
		if w.open > 0 {
			return false
		}
		since = max(since, w.endedAt)
	}
	return now-since > unsentLimit
}
