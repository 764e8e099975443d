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

// mustAcquire acquires one ticket at once.
func mustAcquire(t *testing.T, l *Limiter) *Ticket {
	ticket, err := l.Acquire(context.Background(), "w", scheduler.ClassUrgent)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// enqueue starts a request and returns once it waits in a queue. The request sends its workspace and class to served
// when it is admitted.
func enqueue(t *testing.T, l *Limiter, workspace string, class scheduler.Class, served chan<- string) {
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

// TestQueueOrderFollowsClass checks that waiting requests are admitted by class, urgent first.
func TestQueueOrderFollowsClass(t *testing.T) {
	l := New(1, DefaultSettings())
	ticket := mustAcquire(t, l)
	served := make(chan string, 3)
	enqueue(t, l, "a", scheduler.ClassBatch, served)
	enqueue(t, l, "b", scheduler.ClassNormal, served)
	enqueue(t, l, "c", scheduler.ClassUrgent, served)
	ticket.Release(true, false)
	got := []string{<-served, <-served, <-served}
	if diff := cmp.Diff([]string{"c urgent", "b normal", "a batch"}, got); diff != "" {
		t.Errorf("served (-want +got):\n%s", diff)
	}
}

// TestUrgentDoesNotStarveBatch checks that a steady stream of urgent requests does not starve batch requests.
func TestUrgentDoesNotStarveBatch(t *testing.T) {
	l := New(1, DefaultSettings())
	ticket := mustAcquire(t, l)
	served := make(chan string, 40)
	enqueue(t, l, "a", scheduler.ClassBatch, served)
	for range 3 * lowestFirstEvery {
		enqueue(t, l, "c", scheduler.ClassUrgent, served)
	}
	ticket.Release(true, false)
	for i := range lowestFirstEvery + 1 {
		if <-served == "a batch" {
			return
		}
		if i == lowestFirstEvery {
			t.Errorf("no batch request among the first %d admitted", lowestFirstEvery+1)
		}
	}
}

// TestWorkspacesShareByWeight overloads one class from two workspaces and checks that admissions follow their weights.
func TestWorkspacesShareByWeight(t *testing.T) {
	l := New(8, DefaultSettings().WithWeights(map[string]int{"big": 3, "small": 1}))
	var tickets []*Ticket
	for range 8 {
		tickets = append(tickets, mustAcquire(t, l))
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

// TestAcquireRefusesAtOnce checks that Acquire refuses at once when the queue is full, with a time to retry after, and
// when the expected wait exceeds the deadline.
func TestAcquireRefusesAtOnce(t *testing.T) {
	settings := DefaultSettings().WithLimits([classCount]int{0, 0, 2})
	l := New(1, settings)
	ticket := mustAcquire(t, l)
	served := make(chan string, 2)
	enqueue(t, l, "a", scheduler.ClassBatch, served)
	enqueue(t, l, "a", scheduler.ClassBatch, served)
	var refused *RefusedError
	if _, err := l.Acquire(context.Background(), "a", scheduler.ClassBatch); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("a full queue gave %v, want a RefusedError with RetryAfter", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	l.mu.Lock()
	l.meanNanos = float64(time.Second)
	l.mu.Unlock()
	if _, err := l.Acquire(ctx, "b", scheduler.ClassBatch); !errors.As(err, &refused) {
		t.Errorf("an expected wait beyond the deadline gave %v, want a RefusedError", err)
	}
	ticket.Release(true, false)
	<-served
	<-served
}

// TestCanceledWaitersReleaseSlots cancels many waiting requests at random times and checks that no slot leaks.
func TestCanceledWaitersReleaseSlots(t *testing.T) {
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
	if l.InFlight() != 0 || l.waiting.Load() != 0 || len(l.inFlightQueued) != 0 {
		t.Errorf("in flight %d, waiting %d, queued in flight %v after all requests ended", l.InFlight(), l.waiting.Load(), l.inFlightQueued)
	}
}

// BenchmarkOverload offers load at one, two and five times the capacity of eight slots with a service time of 5 ms.
// Nine in ten requests are batch requests of one workspace. It reports goodput and the 99th percentile of the urgent
// requests' wait; with plain, all requests share one class and workspace and are served in order of arrival.
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
