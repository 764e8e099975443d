package placer

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// testWorkers returns n workers in racks of three, with two racks in a zone.
func testWorkers(n, accelerators int) []Worker {
	workers := make([]Worker, n)
	for i := range workers {
		workers[i] = Worker{
			ID:     fmt.Sprintf("w%02d", i),
			Region: "riga", Zone: fmt.Sprintf("z%d", i/6), Rack: fmt.Sprintf("r%d", i/3),
			Accelerators: accelerators, Cores: 64,
		}
	}
	return workers
}

func testCells(n, accelerators int) Cells {
	c := NewCells()
	for _, w := range testWorkers(n, accelerators) {
		c = c.WithWorker(w)
	}
	return c
}

// TestIndexesMatchLoads applies random loads and compares every index with the sums over all workers.
func TestIndexesMatchLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testCells(11, 8)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("w%02d", rapid.IntRange(0, 10).Draw(t, "worker"))
			load, known := c.Load(id)
			if !known {
				continue
			}
			load.Used = rapid.IntRange(0, 8).Draw(t, "used")
			load.Reserved = rapid.IntRange(0, 8).Draw(t, "reserved")
			load.Bound = rapid.IntRange(0, 8).Draw(t, "bound")
			load.Usable = rapid.Bool().Draw(t, "usable")
			c = c.WithLoads(load)
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				c = c.WithoutWorker(id)
			}
		}
		for q := range quantities {
			checkIndex(t, c, q)
		}
	})
}

func checkIndex(t *rapid.T, c Cells, q Quantity) {
	for level := LevelWorker; level < levels; level++ {
		want := map[string]int{}
		c.VisitLoads(func(l Load) {
			if n := l.quantity(q); n != 0 {
				want[l.Worker.Cell(level)] += n
			}
		})
		got := map[string]int{}
		c.indexes[q].atLeast(level, 0, func(id string, value int) bool {
			got[id] = value
			return true
		})
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("quantity %d level %v (-loads +index):\n%s", q, level, diff)
		}
	}
}

// TestPlaceFindsPlacementIfOneExists checks that Place finds a placement exactly if FirstFit does, and that the
// placement is valid.
func TestPlaceFindsPlacementIfOneExists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testCells(11, 8)
		for i := range 11 {
			load, _ := c.Load(fmt.Sprintf("w%02d", i))
			load.Used = rapid.IntRange(0, 8).Draw(t, "used")
			load.UsedCores = rapid.IntRange(0, 64).Draw(t, "cores")
			c = c.WithLoads(load)
		}
		d := Demand{
			Members:      rapid.IntRange(1, 24).Draw(t, "members"),
			Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators"),
			Cores:        rapid.IntRange(1, 16).Draw(t, "cores-per-member"),
			Within:       Level(rapid.IntRange(0, int(LevelCluster)).Draw(t, "within")),
		}
		placement, ok := c.Place(d, ByFree)
		_, exists := c.FirstFit(d, ByFree)
		if ok != exists {
			t.Fatalf("Place found a placement: %v, FirstFit: %v, demand %+v", ok, exists, d)
		}
		if ok {
			checkPlacement(t, c, d, placement)
		}
	})
}

func checkPlacement(t *rapid.T, c Cells, d Demand, p Placement) {
	if p.Members() != d.Members {
		t.Fatalf("placed %d of %d members", p.Members(), d.Members)
	}
	cells := map[string]bool{}
	for _, part := range p {
		load, _ := c.Load(part.Worker)
		if part.Members*d.Accelerators > load.Free() || part.Members*d.Cores > load.FreeCores() {
			t.Fatalf("%d members of %+v do not fit on %+v", part.Members, d, load)
		}
		cells[load.Worker.Cell(d.Within)] = true
	}
	if len(cells) != 1 {
		t.Fatalf("a gang within one %v spans %v", d.Within, cells)
	}
}

// TestPlacePacksSmallGangs checks that small gangs are packed into one rack, so that the other still holds a large one.
func TestPlacePacksSmallGangs(t *testing.T) {
	c := testCells(6, 8)
	small := Demand{Members: 1, Accelerators: 2, Within: LevelWorker}
	for range 8 {
		p, ok := c.Place(small, ByFree)
		if !ok {
			t.Fatal("a small job was not placed")
		}
		load, _ := c.Load(p[0].Worker)
		load.Used += 2
		c = c.WithLoads(load)
	}
	rackGang := Demand{Members: 3, Accelerators: 8, Within: LevelRack}
	if _, ok := c.Place(rackGang, ByFree); !ok {
		t.Error("eight small jobs fragmented both racks")
	}
	if got := c.Fragmentation(rackGang); got != 0.25 {
		t.Errorf("fragmentation = %v, want 0.25: 8 of 32 free accelerators are outside the empty rack", got)
	}
}

// TestLargestReturnsCellsInDescendingOrder checks that Largest returns the cells with the largest values, largest
// first.
func TestLargestReturnsCellsInDescendingOrder(t *testing.T) {
	c := testCells(4, 8)
	for i, used := range []int{3, 0, 8, 5} {
		load, _ := c.Load(fmt.Sprintf("w%02d", i))
		load.Used = used
		c = c.WithLoads(load)
	}
	got := c.Largest(ByFree, LevelWorker, 2)
	if diff := cmp.Diff([]string{"w01", "w00"}, got); diff != "" {
		t.Errorf("largest workers (-want +got):\n%s", diff)
	}
}
