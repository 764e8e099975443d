package coordinator

import (
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/planner"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

// maxCountedNeeds bounds the needs for which one report counts the room on all workers.
const maxCountedNeeds = 64

// roomView is the room on workers after a plan as an outsider sees it: without reservations, headroom and doubts about
// workers. It asks nothing of the planner but its input and its starts.
type roomView struct {
	state  tracker.State
	free   []workerRoom
	counts map[needKey]int // tasks that fit, by what was counted
}

// workerRoom is the free room of a worker that may start runs.
type workerRoom struct {
	profile tracker.Profile
	free    modeler.Resources
}

// needKey holds all that decides how many tasks of a step fit.
type needKey struct {
	service, label string
	need           modeler.Resources
	maxPerWorker   int
}

// newRoomView returns the room that a plan's starts leave on workers whose agents respond.
func newRoomView(in planner.Input, starts []tracker.Start) roomView {
	started := map[string]modeler.Resources{}
	for _, s := range starts {
		if j, ok := in.State.Job(s.Run.Task.Job); ok {
			started[s.Worker] = started[s.Worker].Plus(j.Steps[s.Run.Task.Step].Need)
		}
	}
	v := roomView{state: in.State, counts: map[needKey]int{}}
	for _, w := range in.State.Workers() {
		if w.Usable() && !in.Unresponsive[w.Name] {
			v.free = append(v.free, workerRoom{w.Profile, w.Free().Minus(started[w.Name])})
		}
	}
	return v
}

// timesOver returns how many times over the demand of a wait fits, in any racks.
func (v roomView) timesOver(w planner.Wait) int {
	j, known := v.state.Job(w.Job)
	q, routed := v.state.Queue(w.Queue)
	if !known || !routed {
		return 0
	}
	step := j.StepOf(w.Instance)
	key := needKey{q.Service, step.Label, step.Need, step.MaxPerWorker}
	count, counted := v.counts[key]
	if !counted {
		if len(v.counts) >= maxCountedNeeds {
			return 0
		}
		count = v.count(key)
		v.counts[key] = count
	}
	return count / max(w.Tasks, 1)
}

func (v roomView) count(key needKey) int {
	limit := maxTasksPerWorker
	if key.maxPerWorker > 0 {
		limit = key.maxPerWorker
	}
	fits := 0
	for _, w := range v.free {
		if w.profile.Service == key.service && w.profile.HasLabel(key.label) {
			fits += key.need.FitCount(w.free, limit)
		}
	}
	return fits
}

// maxTasksPerWorker bounds the count of tasks that need next to nothing.
const maxTasksPerWorker = 10_000

// freeShare is the free share of a service's capacity in percent, by weight and by resource.
type freeShare struct{ weight, cores, memory, accelerators int }

// freeShares returns the free share of each service's capacity.
func freeShares(state tracker.State) map[string]freeShare {
	free, capacity := map[string]modeler.Resources{}, map[string]modeler.Resources{}
	for _, w := range state.Workers() {
		if service := w.Profile.Service; !w.Detached {
			free[service] = free[service].Plus(w.Free())
			capacity[service] = capacity[service].Plus(w.Profile.Capacity)
		}
	}
	shares := make(map[string]freeShare, len(capacity))
	for service, total := range capacity {
		f := free[service]
		shares[service] = freeShare{
			weight: percent(f.Weight(), total.Weight()), cores: percent(f.MilliCores, total.MilliCores),
			memory: percent(f.MemoryMB, total.MemoryMB), accelerators: percent(f.Accelerators, total.Accelerators),
		}
	}
	return shares
}

func percent(part, whole int) int { return part * 100 / max(whole, 1) }
