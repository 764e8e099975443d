package limiter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// hold fills a limiter of one slot and returns its ticket.
func hold(t *testing.T, l *Limiter) *Ticket {
	ticket, err := l.Acquire(context.Background(), "w", scheduler.ClassUrgent)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// enter queues a request and returns once it waits.
func enter(t *testing.T, l *Limiter, workspace string, class scheduler.Class, served chan<- string) {
	before := l.waiting.Load()
	go func() {
		ticket, err := l.Acquire(context.Background(), workspace, class)
		if err != nil {
			t.Error(err)
			return
		}
		served <- workspace + " " + class.String()
		ticket.Release(true, false)
	}()
	for l.waiting.Load() == before {
		time.Sleep(time.Millisecond)
	}
}

// TestUrgentGoesFirst checks the order in which waiting requests are served.
func TestUrgentGoesFirst(t *testing.T) {
	l := New(1, DefaultSettings())
	ticket := hold(t, l)
	served := make(chan string, 3)
	enter(t, l, "a", scheduler.ClassBatch, served)
	enter(t, l, "b", scheduler.ClassNormal, served)
	enter(t, l, "c", scheduler.ClassUrgent, served)
	ticket.Release(true, false)
	got := []string{<-served, <-served, <-served}
	if diff := cmp.Diff([]string{"c urgent", "b normal", "a batch"}, got); diff != "" {
		t.Errorf("served (-want +got):\n%s", diff)
	}
}

// TestBatchIsServedAmongUrgent checks that a steady stream of urgent requests does not stop batch for ever.
func TestBatchIsServedAmongUrgent(t *testing.T) {
	l := New(1, DefaultSettings())
	ticket := hold(t, l)
	served := make(chan string, 40)
	enter(t, l, "a", scheduler.ClassBatch, served)
	for range 3 * lowerEvery {
		enter(t, l, "c", scheduler.ClassUrgent, served)
	}
	ticket.Release(true, false)
	for i := range lowerEvery + 1 {
		if <-served == "a batch" {
			return
		}
		if i == lowerEvery {
			t.Errorf("batch was not served among %d", lowerEvery+1)
		}
	}
}

// TestWorkspacesShareByWeight floods one class from two workspaces and counts who is served.
func TestWorkspacesShareByWeight(t *testing.T) {
	l := New(8, DefaultSettings().WithWeights(map[string]int{"big": 3, "small": 1}))
	var tickets []*Ticket
	for range 8 {
		tickets = append(tickets, hold(t, l))
	}
	granted := make(chan *Ticket, 100)
	var wait sync.WaitGroup
	for _, name := range []string{"small", "big"} {
		for range 20 {
			wait.Go(func() {
				ticket, err := l.Acquire(context.Background(), name, scheduler.ClassBatch)
				if err != nil {
					t.Error(err)
					return
				}
				granted <- ticket
			})
		}
	}
	for l.waiting.Load() < 40 {
		time.Sleep(time.Millisecond)
	}
	for _, ticket := range tickets {
		ticket.Release(true, false)
	}
	held := map[string]int{}
	var first []*Ticket
	for range 8 {
		ticket := <-granted
		held[ticket.workspace]++
		first = append(first, ticket)
	}
	if diff := cmp.Diff(map[string]int{"big": 6, "small": 2}, held); diff != "" {
		t.Errorf("the first eight slots (-want +got):\n%s", diff)
	}
	for _, ticket := range first {
		ticket.Release(true, false)
	}
	go func() {
		for ticket := range granted {
			ticket.Release(true, false)
		}
	}()
	wait.Wait()
	close(granted)
}

// TestRefusesEarly checks that a full queue and a wait beyond the deadline are refused at once, with a time to come again.
func TestRefusesEarly(t *testing.T) {
	settings := DefaultSettings().WithLimits([classCount]int{0, 0, 2})
	l := New(1, settings)
	ticket := hold(t, l)
	served := make(chan string, 2)
	enter(t, l, "a", scheduler.ClassBatch, served)
	enter(t, l, "a", scheduler.ClassBatch, served)
	var refused *RefusedError
	if _, err := l.Acquire(context.Background(), "a", scheduler.ClassBatch); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("a full queue gave %v, want a refusal with a time", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	l.mu.Lock()
	l.meanNanos = float64(time.Second)
	l.mu.Unlock()
	if _, err := l.Acquire(ctx, "b", scheduler.ClassBatch); !errors.As(err, &refused) {
		t.Errorf("a wait beyond the deadline gave %v, want a refusal", err)
	}
	ticket.Release(true, false)
	<-served
	<-served
}

// TestGivingUpLeavesNoTrace lets many waiters give up at random and checks that all slots come back.
func TestGivingUpLeavesNoTrace(t *testing.T) {
	l := New(4, DefaultSettings())
	var wait sync.WaitGroup
	for i := range 400 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(4000))*time.Microsecond)
			defer cancel()
			ticket, err := l.Acquire(ctx, fmt.Sprint(i%5), scheduler.Class(i%3))
			if err == nil {
				time.Sleep(100 * time.Microsecond)
				ticket.Release(true, i%50 == 0)
			}
		})
	}
	wait.Wait()
	if l.InFlight() != 0 || l.waiting.Load() != 0 || len(l.held) != 0 {
		t.Errorf("in flight %d, waiting %d, held %v after all have gone", l.InFlight(), l.waiting.Load(), l.held)
	}
}

// BenchmarkOverload offers requests at one, two and five times what eight slots of 5 ms serve, nine in ten of them
// batch from one workspace, and reports goodput and the wait of urgent ones; plain serves in order of arrival.
func BenchmarkOverload(b *testing.B) {
	const slots, service = 8, 5 * time.Millisecond
	for _, times := range []int{1, 2, 5} {
		for _, plain := range []bool{false, true} {
			b.Run(fmt.Sprintf("offered=%dx/plain=%v", times, plain), func(b *testing.B) {
				interval := service / slots / time.Duration(times)
				l := New(slots, DefaultSettings())
				var mu sync.Mutex
				var urgent []time.Duration
				done, refused := 0, 0
				var wait sync.WaitGroup
				began := time.Now()
				for i := range b.N {
					if sleep := time.Until(began.Add(time.Duration(i) * interval)); sleep > 0 {
						time.Sleep(sleep)
					}
					wait.Go(func() {
						class, workspace := scheduler.ClassBatch, "flood"
						if i%10 == 0 {
							class, workspace = scheduler.ClassUrgent, "kitchen"
						}
						arrived := time.Now()
						asked := class
						if plain {
							asked, workspace = scheduler.ClassNormal, "all"
						}
						ctx, cancel := context.WithTimeout(context.Background(), time.Second)
						defer cancel()
						ticket, err := l.Acquire(ctx, workspace, asked)
						mu.Lock()
						if err != nil {
							refused++
							mu.Unlock()
							return
						}
						if class == scheduler.ClassUrgent {
							urgent = append(urgent, time.Since(arrived))
						}
						done++
						mu.Unlock()
						time.Sleep(service)
						ticket.Release(true, false)
					})
				}
				wait.Wait()
				slices.Sort(urgent)
				b.ReportMetric(float64(done)/time.Since(began).Seconds(), "served/s")
				b.ReportMetric(float64(refused)/float64(b.N), "refused-share")
				if len(urgent) > 0 {
					b.ReportMetric(float64(urgent[len(urgent)*99/100])/1e6, "urgent-p99-ms")
				}
			})
		}
	}
}
