package replicator

import "github.com/lagoonmill/lagoonmill/internal/journaler"

// entryLog is the in-memory log of a Core: the index and term of the last compacted entry, and the entries after it.
// Readers may retain a prefix of entries, so elements within its length are never overwritten.
type entryLog struct {
	compactedIndex uint64
	compactedTerm  uint64
	entries        []journaler.Entry
	memberships    []versionedMembership // ascending by index, never empty
}

type versionedMembership struct {
	index uint64
	value Membership
}

func (l *entryLog) last() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.compactedIndex {
		return l.compactedTerm, true
	}
	if index < l.compactedIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].Term, true
}

// slice returns at most maxEntries of the entries in (after, upTo], or nil if some of that range has been compacted.
func (l *entryLog) slice(after, upTo uint64, maxEntries int) []journaler.Entry {
	upTo = min(upTo, l.last())
	if after >= upTo || after < l.compactedIndex {
		return nil
	}
	from := after - l.compactedIndex
	to := min(upTo-l.compactedIndex, from+uint64(maxEntries))
	return l.entries[from:to:to]
}

func (l *entryLog) membership() Membership { return l.memberships[len(l.memberships)-1].value }

func (l *entryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	found := l.memberships[0].value
	for _, m := range l.memberships {
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
		if m, err := decodeMembership(e.Data); err == nil && m.Voters() > 0 {
			l.memberships = append(l.memberships, versionedMembership{e.Index, m})
		}
	}
}

// truncateFrom removes the entries at and after index. It copies the rest, since readers may retain the old slice.
func (l *entryLog) truncateFrom(index uint64) {
	if index > l.last() {
		return
	}
	keep := index - l.compactedIndex - 1
	l.entries = append([]journaler.Entry(nil), l.entries[:keep]...)
	for len(l.memberships) > 1 && l.membershipIndex() >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// lastIndexBeforeTermOf returns the index before the first retained entry of the term of the entry at index.
func (l *entryLog) lastIndexBeforeTermOf(index uint64) uint64 {
	term, ok := l.term(index)
	for ok && index > l.compactedIndex {
		if t, found := l.term(index); !found || t != term {
			break
		}
		index--
	}
	return index
}

func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.compactedIndex {
		return
	}
	base := l.membershipAt(index)
	l.entries = append([]journaler.Entry(nil), l.entries[index-l.compactedIndex:]...)
	l.compactedIndex, l.compactedTerm = index, term
	kept := []versionedMembership{{index, base}}
	for _, m := range l.memberships {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	l.memberships = kept
}

func (l *entryLog) reset(s journaler.Snapshot, m Membership) {
	l.compactedIndex, l.compactedTerm = s.Index, s.Term
	l.entries = nil
	l.memberships = []versionedMembership{{s.Index, m}}
}
