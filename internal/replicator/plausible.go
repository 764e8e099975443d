package replicator

import "github.com/lagoonmill/lagoonmill/internal/journaler"

const (
	// maxTermStep bounds by how much one message may raise the term. Replicas raise it by one at a time, and one that
	// was away for years has missed fewer elections.
	maxTermStep = 1 << 32
	// maxIndex bounds the index of a snapshot, far below the end of the range.
	maxIndex = 1 << 62
)

// plausible reports whether a replica that works may have sent m. A message that is damaged or comes from another
// program must not end the replica, nor raise the term so far that no election is possible any more.
func (c *Core) plausible(m Message) bool {
	if m.From == 0 || m.From == c.id || m.Term > c.term && m.Term-c.term > maxTermStep {
		return false
	}
	switch m.Kind {
	case AppendRequest:
		return plausibleEntries(m)
	case SnapshotRequest:
		return m.Snapshot == nil || plausibleSnapshot(m.Term, *m.Snapshot)
	case AppendResponse:
		return c.role != Leader || m.Term != c.term || m.ReadRound <= c.readRound && (m.Reject || m.Index <= c.log.last())
	case VoteRequest, VoteResponse, PreVoteRequest, PreVoteResponse, TimeoutNow:
		return true
	}
	return false
}

func plausibleEntries(m Message) bool {
	index, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if e.Index == 0 || e.Index != index+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		index, term = e.Index, e.Term
	}
	return true
}

func plausibleSnapshot(term uint64, s journaler.Snapshot) bool {
	members, err := decodeMembership(s.Members)
	return err == nil && members.Voters() > 0 && s.Term <= term && s.Index < maxIndex
}
