package replicator

import "github.com/lagoonmill/lagoonmill/internal/journaler"

// entryLog is the in-memory log of a Core: a compacted prefix, known by the index and term of its last entry,
// and the entries after it. Readers may hold a prefix of entries: it is never written again.
type entryLog struct {
	prefixIndex uint64
	prefixTerm  uint64
	entries     []journaler.Entry
	members     []versionedMembership // ascending by index, never empty
}

type versionedMembership struct {
	index uint64
	value Membership
}

func (l *entryLog) last() uint64 { return l.prefixIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.prefixIndex {
		return l.prefixTerm, true
	}
	if index < l.prefixIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.prefixIndex-1].Term, true
}

// slice returns the entries in (after, upTo], at most maxEntries of them.
func (l *entryLog) slice(after, upTo uint64, maxEntries int) []journaler.Entry {
	upTo = min(upTo, l.last())
	if after >= upTo || after < l.prefixIndex {
		return nil
	}
	from := after - l.prefixIndex
	to := min(upTo-l.prefixIndex, from+uint64(maxEntries))
	return l.entries[from:to:to]
}

func (l *entryLog) membership() Membership { return l.members[len(l.members)-1].value }

func (l *entryLog) membershipIndex() uint64 { return l.members[len(l.members)-1].index }

// membershipAt returns the membership in force at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	found := l.members[0].value
	for _, m := range l.members {
		if m.index <= index {
			found = m.value
		}
	}
	return found
}

func (l *entryLog) append(entries ...journaler.Entry) {
	for _, e := range entries {
		l.truncateFrom(e.Index)
		l.entries = append(l.entries, e)
		if e.Kind != EntryMembership {
			continue
		}
		if m, err := decodeMembership(e.Data); err == nil {
			l.members = append(l.members, versionedMembership{e.Index, m})
		}
	}
}

// truncateFrom drops entries at and after index; it copies, since readers may hold the old slice.
func (l *entryLog) truncateFrom(index uint64) {
	if index > l.last() {
		return
	}
	keep := index - l.prefixIndex - 1
	l.entries = append([]journaler.Entry(nil), l.entries[:keep]...)
	for len(l.members) > 1 && l.membershipIndex() >= index {
		l.members = l.members[:len(l.members)-1]
	}
}

// conflictStart returns the last index before the run of entries that share the term of the entry at index.
func (l *entryLog) conflictStart(index uint64) uint64 {
	term, ok := l.term(index)
	for ok && index > l.prefixIndex {
		if t, held := l.term(index); !held || t != term {
			break
		}
		index--
	}
	return index
}

func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.prefixIndex {
		return
	}
	base := l.membershipAt(index)
	l.entries = append([]journaler.Entry(nil), l.entries[index-l.prefixIndex:]...)
	l.prefixIndex, l.prefixTerm = index, term
	kept := []versionedMembership{{index, base}}
	for _, m := range l.members {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	l.members = kept
}

func (l *entryLog) reset(s journaler.Snapshot, m Membership) {
	l.prefixIndex, l.prefixTerm = s.Index, s.Term
	l.entries = nil
	l.members = []versionedMembership{{s.Index, m}}
}
