package placer

import (
	"cmp"
	"strings"

	"github.com/benbjohnson/immutable"
)

// cellName identifies a cell of any level.
type cellName struct {
	level Level
	id    string
}

type cellNameHasher struct{}

// Hash returns the FNV-1a hash of the level and the id.
func (cellNameHasher) Hash(n cellName) uint32 {
	const offset, prime = 2166136261, 16777619
	h := (uint32(offset) ^ uint32(n.level)) * prime
	for i := range len(n.id) {
		h = (h ^ uint32(n.id[i])) * prime
	}
	return h
}

func (cellNameHasher) Equal(a, b cellName) bool { return a == b }

// cellKey is the sort key of a cell in an index: level, then value, then id.
type cellKey struct {
	level Level
	value int
	id    string
}

type cellKeyOrder struct{}

func (cellKeyOrder) Compare(a, b cellKey) int {
	if c := cmp.Compare(a.level, b.level); c != 0 {
		return c
	}
	if c := cmp.Compare(a.value, b.value); c != 0 {
		return c
	}
	return strings.Compare(a.id, b.id)
}

// index holds the sum of one quantity over the workers of each cell, and sorts the cells of a level by it. Cells whose
// sum is zero are absent. It is immutable.
type index struct {
	values *immutable.Map[cellName, int]
	sorted *immutable.SortedMap[cellKey, struct{}]
}

func newIndex() index {
	return index{
		values: immutable.NewMap[cellName, int](cellNameHasher{}),
		sorted: immutable.NewSortedMap[cellKey, struct{}](cellKeyOrder{}),
	}
}

func (x index) value(level Level, id string) int {
	v, _ := x.values.Get(cellName{level, id})
	return v
}

// quantityChange is an amount to add to one worker's quantity.
type quantityChange struct {
	worker Worker
	delta  int
}

// withChanges returns a copy with all changes applied. It updates each cell once, however many of its workers change.
func (x index) withChanges(changes []quantityChange) index {
	var order []cellName
	sums := make(map[cellName]int, len(changes))
	for _, c := range changes {
		if c.delta == 0 {
			continue
		}
		for level := LevelWorker; level < levels; level++ {
			name := cellName{level, c.worker.Cell(level)}
			if _, seen := sums[name]; !seen {
				order = append(order, name)
			}
			sums[name] += c.delta
		}
	}
	for _, name := range order {
		if sums[name] != 0 {
			x = x.withCell(name, sums[name])
		}
	}
	return x
}

func (x index) withCell(name cellName, delta int) index {
	before := x.value(name.level, name.id)
	after := before + delta
	if before > 0 {
		x.sorted = x.sorted.Delete(cellKey{name.level, before, name.id})
	}
	if after <= 0 {
		x.values = x.values.Delete(name)
		return x
	}
	x.sorted = x.sorted.Set(cellKey{name.level, after, name.id}, struct{}{})
	x.values = x.values.Set(name, after)
	return x
}

// atLeast calls visit with the cells of a level whose value is at least floor, smallest value first, until visit
// returns false.
func (x index) atLeast(level Level, floor int, visit func(id string, value int) bool) {
	it := x.sorted.Iterator()
	it.Seek(cellKey{level: level, value: floor})
	for !it.Done() {
		key, _, ok := it.Next()
		if !ok || key.level != level || !visit(key.id, key.value) {
			return
		}
	}
}

// largest returns the ids of up to limit cells of a level with the largest values, largest first.
func (x index) largest(level Level, limit int) []string {
	const maxInt = int(^uint(0) >> 1)
	it := x.sorted.Iterator()
	it.Seek(cellKey{level: level, value: maxInt})
	if it.Done() {
		it.Last()
	} else {
		it.Prev()
	}
	var ids []string
	for !it.Done() && len(ids) < limit {
		key, _, ok := it.Prev()
		if !ok || key.level != level {
			break
		}
		ids = append(ids, key.id)
	}
	return ids
}
