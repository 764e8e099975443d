package planner

import (
	"fmt"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// BenchmarkPlan times decisions on a cluster that is full, with as much work waiting again.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{11, 60, 300, 1058} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchmarkPlan(b, workers) })
	}
}

func benchmarkPlan(b *testing.B, workers int) {
	p := newPlay(b, Plan, workers)
	jobs := workers * 2
	for i := range jobs {
		queue, step := "checks", tasks(8, 1, 7000)
		switch i % 4 {
		case 1:
			queue, step = "plans", tasks(2, 4, 8000)
		case 3:
			queue, step = "urgent", gang(3, 4, 2500)
		}
		p.submit(fmt.Sprintf("j%05d", i), queue, "other", 8000, step)
	}
	p.run(2*tick, nil)
	in := p.input()
	const longest = int64(timekeeper.Minute) * int64(time.Millisecond)
	times := hdr.New(1, longest, 3)
	for b.Loop() {
		began := time.Now()
		Plan(in)
		if err := times.RecordValue(int64(time.Since(began))); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50))/float64(time.Millisecond), "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/float64(time.Millisecond), "p99-ms")
}
