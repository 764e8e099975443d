package coordinator

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
)

// submissions tracks the jobs whose proposals in the current term have no known outcome yet. A retry of such a job must
// not be refused. An entry of an earlier term is either in the state of a leader that a quorum has confirmed, or lost. The
// zero value is empty and safe for concurrent use; mu guards its fields.
type submissions struct {
	mu    sync.Mutex
	term  uint64
	count map[modeler.JobID]int // proposals without a known outcome
}

// begin records a proposal of a job in a term.
func (s *submissions) begin(term uint64, id modeler.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term || s.count == nil {
		s.term, s.count = term, map[modeler.JobID]int{}
	}
	s.count[id]++
}

// settle records that the outcome of a proposal of a term is known.
func (s *submissions) settle(term uint64, id modeler.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		return
	}
	s.count[id]--
	if s.count[id] <= 0 {
		delete(s.count, id)
	}
}

// open reports whether a proposal of the job in the term has no known outcome yet.
func (s *submissions) open(term uint64, id modeler.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return term == s.term && s.count[id] > 0
}

// settleKnown settles the jobs for which known reports true: proposals whose outcome came too late for their calls.
func (s *submissions) settleKnown(known func(modeler.JobID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.count {
		if known(id) {
			delete(s.count, id)
		}
	}
}
