package planner

import (
	"fmt"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// BenchmarkPlan measures the time of a plan on full clusters with as much work waiting as running.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{11, 60, 300, 1058} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchmarkPlan(b, workers, workers*2, mixedJob) })
	}
	// The size that the users state: 20,000 tasks run on workers of one accelerator, and as many wait.
	b.Run("20000-tasks", func(b *testing.B) { benchmarkPlan(b, 1058, 1300, smallTasks) })
	// Each job needs another amount of memory, so that what a plan finds for one says nothing about the next.
	b.Run("different-needs", func(b *testing.B) { benchmarkPlan(b, 1058, 1058*2, differentNeeds) })
}

// mixedJob returns the i-th job of a mix of the users' kinds, for workers of eight accelerators.
func mixedJob(i int) (queue string, step modeler.Step) {
	switch i % 4 {
	case 1:
		return "plans", tasks(2, 4, 8000)
	case 3:
		return "urgent", gang(3, 4, 2500)
	}
	return "checks", tasks(8, 1, 7000)
}

// differentNeeds returns the i-th job of the mix of mixedJob, with tasks that need a little more than those before.
func differentNeeds(i int) (queue string, step modeler.Step) {
	queue, step = mixedJob(i)
	step.Need.MemoryMB += i
	return queue, step
}

// smallTasks returns the i-th job of a mix of jobs and gangs of 32 tasks that need no accelerators.
func smallTasks(i int) (queue string, step modeler.Step) {
	queue, step = "checks", tasks(32, 0, 7000)
	if i%8 == 7 {
		queue, step = "plans", gang(32, 0, 8000)
	}
	step.Need = modeler.Resources{MilliCores: 1600, MemoryMB: 1000}
	return queue, step
}

func benchmarkPlan(b *testing.B, workers, jobs int, job func(i int) (string, modeler.Step)) {
	sim := newSimulation(b, Plan, workers)
	for i := range jobs {
		queue, step := job(i)
		sim.submit(fmt.Sprintf("j%05d", i), queue, "other", 8000, step)
	}
	sim.run(2*tick, nil)
	in := sim.input()
	b.Logf("%d runs, %d jobs", len(in.Progress), len(in.State.UnfinishedJobs()))
	const longest = int64(timekeeper.Minute) * int64(time.Millisecond)
	times := hdr.New(1, longest, 3)
	for b.Loop() {
		start := time.Now()
		Plan(in)
		if err := times.RecordValue(int64(time.Since(start))); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50))/float64(time.Millisecond), "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/float64(time.Millisecond), "p99-ms")
}
