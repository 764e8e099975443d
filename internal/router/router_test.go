package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

func agents(n int) []registrar.Agent {
	var list []registrar.Agent
	for i := range n {
		list = append(list, registrar.Agent{
			ID: fmt.Sprint("w", i), Incarnation: "1", Address: fmt.Sprint("10.0.0.", i), Zone: fmt.Sprint("z", i%3),
			Runner: &registrar.Runner{Service: "app", Slots: 8},
		})
	}
	return list
}

func newRouter(n int) (*Router, *timekeeper.Manual) {
	clock := &timekeeper.Manual{}
	clock.Advance(10_000)
	r := New("z0", clock)
	r.Update(agents(n))
	return r, clock
}

// TestDrainingServersAreNotPicked checks that a new snapshot takes effect with the next Pick and that Update keeps the
// Load of known agents.
func TestDrainingServersAreNotPicked(t *testing.T) {
	r, _ := newRouter(3)
	kept := r.Pick("app", nil)
	kept.Load.Begin()
	list := agents(3)
	for i := range list {
		if list[i].ID != kept.Agent {
			list[i].Runner.Draining = true
		}
	}
	r.Update(list)
	for range 50 {
		b := r.Pick("app", nil)
		if b.Agent != kept.Agent || b.Load.InFlight() != 1 {
			t.Fatalf("picked %s with %d in flight, want %s with 1", b.Agent, b.Load.InFlight(), kept.Agent)
		}
	}
	if r.Pick("other", nil) != nil || r.Pick("app", []*Backend{kept}) != nil {
		t.Error("picked a server of another service, or one in avoid")
	}
}

// TestFullServersAreAvoided checks that a server reported full is not picked beside a free one until the report
// expires.
func TestFullServersAreAvoided(t *testing.T) {
	r, clock := newRouter(2)
	full := r.Pick("app", nil)
	full.Load.ReportBusy(clock.Now(), 8)
	for range 50 {
		if r.Pick("app", nil) == full {
			t.Fatal("picked a full server beside a free one")
		}
	}
	clock.Advance(reportTTL)
	seen := false
	for range 100 {
		seen = seen || r.Pick("app", nil) == full
	}
	if !seen {
		t.Error("an expired report keeps a server from being picked")
	}
}

// TestOpenBreakerAdmitsOneTrial checks that an open breaker admits one request after its cooldown and closes with a
// success.
func TestOpenBreakerAdmitsOneTrial(t *testing.T) {
	r, clock := newRouter(1)
	b := r.Pick("app", nil)
	opened := 0
	for range breakerThreshold + 2 {
		if b.Load.RecordFailure(clock.Now()) {
			opened++
		}
	}
	if opened != 1 || r.Pick("app", nil) != nil {
		t.Fatalf("breaker opened %d times, want once, and then nothing picked", opened)
	}
	clock.Advance(breakerCooldown)
	if r.Pick("app", nil) == nil || r.Pick("app", nil) != nil {
		t.Error("want exactly one trial after the cooldown")
	}
	if !b.Load.RecordSuccess() || r.Pick("app", nil) == nil {
		t.Error("a success does not close the breaker")
	}
}

// BenchmarkPick measures concurrent calls of Pick by the number of backend servers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 100, 1100} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			r := New("z0", timekeeper.Monotonic{})
			r.Update(agents(n))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					s := r.Pick("app", nil)
					s.Load.Begin()
					s.Load.End(time.Millisecond)
				}
			})
		})
	}
}
