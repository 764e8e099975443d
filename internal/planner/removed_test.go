package planner

import (
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// TestJobOfRemovedQueueIsPlanned guards against a job that stands for ever beside idle workers because a configuration
// removed its queue or its workspace after the job was accepted. The job has a step behind the one that runs meanwhile.
func TestJobOfRemovedQueueIsPlanned(t *testing.T) {
	first := tasks(2, 1, 500)
	second := tasks(1, 1, 500)
	second.After = []int{0}
	removals := map[string]func(*modeler.Configuration){
		"queue":     func(c *modeler.Configuration) { c.Queues = c.Queues[:1] },
		"service":   func(c *modeler.Configuration) { c.Queues, c.Services = nil, nil },
		"workspace": func(c *modeler.Configuration) { c.Workspaces = nil },
	}
	for name, remove := range removals {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, Plan, 2)
			sim.submit("running", "plans", "other", 500, first, second)
			sim.run(200, nil)
			sim.submit("waiting", "plans", "other", 500, first)
			next := sim.state.Configuration
			next.Version++
			remove(&next)
			sim.apply(tracker.Command{Configure: &next})
			sim.run(5000, nil)
			for _, id := range []modeler.JobID{"running", "waiting"} {
				if _, done := sim.doneAt[id]; !done {
					j, _ := sim.state.Job(id)
					t.Errorf("job %s is %v 5 s after it was submitted, beside idle workers", id, j.Phase)
				}
			}
		})
	}
}
