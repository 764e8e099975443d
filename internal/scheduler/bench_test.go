package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmill/lagoonmill/internal/encoder"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// largeState returns a cluster of one-accelerator workers in racks of 25 and 8 availability zones, with up to 140
// workspaces whose guarantees take two thirds of it, and the given number of running tasks.
func largeState(tb testing.TB, workers, tasks int) (State, *rand.Rand) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewState(DefaultPolicy())
	step := func(e Event) {
		next, out := s.Step(s.Now()+1, e)
		if out.Err != nil {
			tb.Fatal(out.Err)
		}
		s = next
	}
	for i := range workers {
		zone := i * 8 / workers
		step(Event{WorkerJoined: &placer.Worker{
			ID: fmt.Sprintf("w%04d", i), Region: fmt.Sprint("region", zone%3), Zone: fmt.Sprint("zone", zone),
			Rack: fmt.Sprint("rack", i/25), Accelerators: 1, Cores: 64,
		}})
	}
	for i := range workspaceCount(workers) {
		shape := Shape{Count: 1, Demand: placer.Demand{Members: max(workers/210, 1), Accelerators: 1, Within: placer.LevelZone}}
		step(Event{WorkspaceSet: &Workspace{Name: fmt.Sprintf("team%03d", i), Guarantee: []Shape{shape}}})
	}
	runningTasks := 0
	for i := 0; runningTasks < tasks; i++ {
		spec := randomLargeJob(rng, fmt.Sprintf("job%06d", i), workers)
		runningTasks += spec.Demand.Members
		step(Event{JobSubmitted: &spec})
		reportArmed(&s, spec.ID, step)
	}
	return s, rng
}

// workspaceCount returns the number of workspaces whose guarantees fit, at most 140.
func workspaceCount(workers int) int { return min(140, workers*2/3) }

// randomLargeJob returns mostly gangs that need cores only, and one time in 20 a gang of up to 128 accelerators.
func randomLargeJob(rng *rand.Rand, id string, workers int) JobSpec {
	d := placer.Demand{Members: 1 + rng.IntN(40), Cores: 1, Within: placer.LevelCluster}
	if rng.IntN(20) == 0 {
		d = placer.Demand{Members: 1 << rng.IntN(8), Accelerators: 1, Cores: 1, Within: placer.LevelZone}
	}
	return JobSpec{
		ID: id, Workspace: fmt.Sprintf("team%03d", rng.IntN(workspaceCount(workers))), Class: Class(rng.IntN(3)), Demand: d,
		DeclaredRunTime: timekeeper.Hour, CanCheckpoint: true, Repeatable: true,
	}
}

func reportArmed(s *State, id string, step func(Event)) {
	j, _ := s.Job(id)
	if j.Phase != PhaseArming {
		return
	}
	for _, p := range j.Placement {
		step(Event{MemberArmed: &MemberReport{Job: id, Attempt: j.Attempt, Worker: p.Worker}})
	}
}

// BenchmarkStep measures a mix of submissions, starts, ends and losses of workers at the required cluster size and
// below. It reports the distribution of the time of one step, and the memory of the state.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{
		{100, 1000}, {300, 5000}, {1100, 1000}, {1100, 5000}, {1100, 20000},
	} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			s, rng := largeState(b, size.workers, size.tasks)
			memory := stateMegabytes(b, s)
			h := hdr.New(1, int64(10*time.Second), 3)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				e := randomEvent(rng, s, i, size.workers)
				start := time.Now()
				s, _ = s.Step(s.Now()+10, e)
				_ = h.RecordValue(int64(time.Since(start)))
			}
			b.ReportMetric(memory, "state-MB")
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
			b.ReportMetric(float64(h.Max())/1e3, "max-us")
		})
	}
}

// stateMegabytes returns the heap size of a state, measured on a copy that shares nothing with it.
func stateMegabytes(tb testing.TB, s State) float64 {
	data, err := encoder.Marshal(s.Dump())
	if err != nil {
		tb.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var d Dump
	if err := encoder.Unmarshal(data, &d); err != nil {
		tb.Fatal(err)
	}
	copied := Restore(d)
	d = Dump{}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(copied)
	runtime.KeepAlive(data)
	return float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
}

func randomEvent(rng *rand.Rand, s State, i, workers int) Event {
	worker := fmt.Sprintf("w%04d", rng.IntN(workers))
	jobs := s.JobsOn(worker)
	switch kind := rng.IntN(100); {
	case kind < 10:
		spec := randomLargeJob(rng, fmt.Sprintf("new%08d", i), workers)
		return Event{JobSubmitted: &spec}
	case kind < 95 && len(jobs) > 0:
		return reportOf(jobs[rng.IntN(len(jobs))], worker)
	case kind == 98:
		return Event{WorkerLost: &WorkerLost{Worker: worker}}
	case kind == 99:
		load, _ := s.Cells().Load(worker)
		w := load.Worker
		return Event{WorkerJoined: &w}
	}
	return Event{TimePassed: &TimePassed{}}
}

func reportOf(j *Job, worker string) Event {
	r := &MemberReport{Job: j.Spec.ID, Attempt: j.Attempt, Worker: worker}
	switch j.Phase {
	case PhaseArming:
		return Event{MemberArmed: r}
	case PhaseStopping:
		r.Outcome = OutcomeStopped
	}
	return Event{MemberEnded: r}
}
