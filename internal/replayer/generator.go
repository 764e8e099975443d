package replayer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/parser"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Deployments and kinds of day that Generate accepts.
var (
	Deployments = []string{"taukvads", "dvorak"}
	Days        = []string{"ordinary", "peak", "maintenance"}
)

// TargetSize names a synthetic deployment of the largest size that the project targets.
const TargetSize = "letter"

// workload describes the jobs of one kind that are submitted over a day.
type workload struct {
	name       string
	workspace  string
	class      scheduler.Class
	demands    []placer.Demand
	perDay     int
	from, to   timekeeper.Millis // time of day of the submissions
	minRun     timekeeper.Millis
	maxRun     timekeeper.Millis
	burstSize  int // jobs submitted within 30 s of each other
	checkpoint bool
	deadline   timekeeper.Millis // after submission
	atMostOnce bool
}

// generator builds a synthetic trace from a seeded source of random numbers.
type generator struct {
	rng        *rand.Rand
	trace      *Trace
	events     []Event
	loadFactor float64 // factor on the jobs per day of each workload
}

func demand(members, accelerators int, within placer.Level) placer.Demand {
	return placer.Demand{Members: members, Accelerators: accelerators, Cores: 2, Within: within}
}

const (
	hour   = timekeeper.Hour
	minute = timekeeper.Minute
	day    = 24 * hour
)

func taukvads() ([]scheduler.Workspace, []workload) {
	return []scheduler.Workspace{
			{Name: "planner", Weight: 2, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(3, 8, placer.LevelRack)}}},
			{Name: "overflow", Weight: 1, Guarantee: []scheduler.Shape{{Count: 2, Demand: demand(1, 8, placer.LevelWorker)}}},
			{Name: "tickets", Weight: 1, Guarantee: []scheduler.Shape{{Count: 4, Demand: demand(1, 2, placer.LevelWorker)}}},
			{Name: "reports", Weight: 1, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(1, 8, placer.LevelWorker)}}},
		}, []workload{
			{name: "routes", workspace: "planner", class: scheduler.ClassNormal, demands: []placer.Demand{demand(3, 8, placer.LevelRack)}, perDay: 6, from: 0, to: 4 * hour, minRun: 20 * minute, maxRun: 60 * minute, checkpoint: true, deadline: 6 * hour},
			{name: "rebuild", workspace: "overflow", class: scheduler.ClassUrgent, demands: []placer.Demand{demand(1, 8, placer.LevelWorker), demand(1, 4, placer.LevelWorker)}, perDay: 30, from: 0, to: day, minRun: 3 * minute, maxRun: 15 * minute, deadline: 30 * minute},
			{name: "ticket", workspace: "tickets", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 1, placer.LevelWorker), demand(1, 2, placer.LevelWorker)}, perDay: 240, from: 5 * hour, to: 22 * hour, minRun: 5 * minute, maxRun: 45 * minute, burstSize: 12, deadline: 8 * hour},
			{name: "forecast", workspace: "reports", class: scheduler.ClassBatch, demands: []placer.Demand{demand(2, 8, placer.LevelRack), demand(4, 4, placer.LevelZone)}, perDay: 14, from: 0, to: day, minRun: 60 * minute, maxRun: 180 * minute, checkpoint: true, deadline: 12 * hour},
			{name: "study", workspace: "reports", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 2, placer.LevelWorker), demand(1, 3, placer.LevelWorker)}, perDay: 60, from: 0, to: day, minRun: 60 * minute, maxRun: 300 * minute, burstSize: 5, checkpoint: true, deadline: 20 * hour},
			{name: "archive", workspace: "tickets", class: scheduler.ClassNormal, demands: []placer.Demand{demand(1, 2, placer.LevelWorker)}, perDay: 12, from: 8 * hour, to: 18 * hour, minRun: 2 * minute, maxRun: 10 * minute, atMostOnce: true, deadline: 2 * hour},
		}
}

func dvorak() ([]scheduler.Workspace, []workload) {
	return []scheduler.Workspace{
			{Name: "booking", Weight: 2, Guarantee: []scheduler.Shape{{Count: 2, Demand: demand(1, 8, placer.LevelWorker)}}},
			{Name: "matching", Weight: 1, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(2, 8, placer.LevelRack)}}},
			{Name: "photos", Weight: 1, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(3, 8, placer.LevelRack)}}},
			{Name: "fitters", Weight: 1, Guarantee: []scheduler.Shape{{Count: 2, Demand: demand(1, 4, placer.LevelWorker)}}},
		}, []workload{
			{name: "confirm", workspace: "booking", class: scheduler.ClassUrgent, demands: []placer.Demand{demand(1, 4, placer.LevelWorker), demand(1, 8, placer.LevelWorker)}, perDay: 60, from: 6 * hour, to: 23 * hour, minRun: 1 * minute, maxRun: 6 * minute, deadline: 10 * minute},
			{name: "match", workspace: "matching", class: scheduler.ClassNormal, demands: []placer.Demand{demand(2, 8, placer.LevelRack)}, perDay: 8, from: 17 * hour, to: 22 * hour, minRun: 20 * minute, maxRun: 50 * minute, checkpoint: true, deadline: 4 * hour},
			{name: "photo", workspace: "photos", class: scheduler.ClassBatch, demands: []placer.Demand{demand(3, 8, placer.LevelRack), demand(2, 8, placer.LevelRack)}, perDay: 14, from: 0, to: day, minRun: 40 * minute, maxRun: 120 * minute, checkpoint: true, deadline: 12 * hour},
			{name: "fitting", workspace: "fitters", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 1, placer.LevelWorker), demand(1, 2, placer.LevelWorker), demand(1, 3, placer.LevelWorker)}, perDay: 220, from: 6 * hour, to: 23 * hour, minRun: 10 * minute, maxRun: 90 * minute, burstSize: 10, deadline: 8 * hour},
			{name: "learn", workspace: "fitters", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 2, placer.LevelWorker), demand(1, 4, placer.LevelWorker)}, perDay: 40, from: 0, to: day, minRun: 90 * minute, maxRun: 240 * minute, burstSize: 4, checkpoint: true, deadline: 20 * hour},
			{name: "dispatch", workspace: "booking", class: scheduler.ClassNormal, demands: []placer.Demand{demand(1, 2, placer.LevelWorker)}, perDay: 12, from: 8 * hour, to: 18 * hour, minRun: 1 * minute, maxRun: 4 * minute, atMostOnce: true, deadline: 2 * hour},
		}
}

// targetSize returns 140 workspaces, and workloads for 1,100 workers with one accelerator each.
func targetSize() ([]scheduler.Workspace, []workload) {
	var workspaces []scheduler.Workspace
	var workloads []workload
	for i := range 140 {
		name := fmt.Sprintf("team%03d", i)
		workspaces = append(workspaces, scheduler.Workspace{Name: name, Weight: 1, Guarantee: []scheduler.Shape{{
			Count: 1, Demand: placer.Demand{Members: 4, Accelerators: 1, Cores: 2, Within: placer.LevelRack},
		}}})
	}
	workloads = append(workloads,
		workload{name: "gang", class: scheduler.ClassBatch, demands: []placer.Demand{demand(128, 1, placer.LevelZone), demand(64, 1, placer.LevelZone), demand(32, 1, placer.LevelZone), demand(16, 1, placer.LevelRack)}, perDay: 90, to: day, minRun: 2 * hour, maxRun: 8 * hour, checkpoint: true},
		workload{name: "urgent", class: scheduler.ClassUrgent, demands: []placer.Demand{demand(4, 1, placer.LevelRack), demand(1, 1, placer.LevelWorker)}, perDay: 120, to: day, minRun: 10 * minute, maxRun: 60 * minute},
		workload{name: "tasks", class: scheduler.ClassBatch, demands: []placer.Demand{{Members: 90, Cores: 1, Within: placer.LevelCluster}, {Members: 60, Cores: 1, Within: placer.LevelCluster}}, perDay: 440, to: day, minRun: 10 * hour, maxRun: 18 * hour, checkpoint: true},
	)
	return workspaces, workloads
}

// Generate returns a synthetic trace of one day of the given kind for a deployment. Equal arguments give equal traces.
func Generate(deployment, kind string, seed uint64) (*Trace, error) {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 11)), trace: &Trace{}, loadFactor: 1}
	t := g.trace
	t.Settings = Settings{
		Deployment: deployment, Preset: kind, CompletionWeight: 0.7,
		GeneratedBy: fmt.Sprintf("by 'lagoonmill trace make --deployment %s --day %s --seed %d'", deployment, kind, seed),
	}
	t.Comment = fmt.Sprintf("A made trace: %s on a day of kind %s, seed %d. No recorded input.", deployment, kind, seed)
	var workloads []workload
	switch deployment {
	case "taukvads":
		t.Settings.Workspaces, workloads = taukvads()
		t.Topology = smallTopology("riga", 64)
	case "dvorak":
		t.Settings.Workspaces, workloads = dvorak()
		t.Topology = smallTopology("czechia", 32)
		t.Settings.CompletionWeight = 0.3
	case TargetSize:
		t.Settings.Workspaces, workloads = targetSize()
		t.Topology = targetTopology()
		t.Settings.CompletionWeight = 0.5
	default:
		return nil, fmt.Errorf("unknown deployment %q", deployment)
	}
	if !slices.Contains(Days, kind) {
		return nil, fmt.Errorf("unknown day %q: want one of %v", kind, Days)
	}
	t.Settings.Presets = defaultPresets()
	g.addDay(kind, workloads)
	return t, nil
}

func defaultPresets() []parser.Preset {
	ordinary, peak, maintenance := scheduler.DefaultPolicy(), scheduler.DefaultPolicy(), scheduler.DefaultPolicy()
	peak.Grace = 500
	peak.WaitBound = hour
	maintenance.QuarantineShare = 30
	return []parser.Preset{
		{Name: "ordinary", Policy: ordinary}, {Name: "peak", Policy: peak}, {Name: "maintenance", Policy: maintenance},
	}
}

// smallTopology returns the current size of the deployments: 11 workers of 8 accelerators, three to a rack, in three
// availability zones.
func smallTopology(region string, cores int) []placer.Worker {
	zones := []string{"a", "a", "a", "a", "a", "a", "b", "b", "b", "c", "c"}
	var workers []placer.Worker
	for i, zone := range zones {
		workers = append(workers, placer.Worker{
			ID: fmt.Sprintf("w%02d", i+1), Region: region, Zone: zone, Rack: fmt.Sprintf("r%d", i/3+1), Accelerators: 8, Cores: cores,
		})
	}
	return workers
}

// targetTopology returns 1,100 workers of one accelerator, 25 to a rack, in 8 availability zones of 3 regions.
func targetTopology() []placer.Worker {
	const workers, perRack, zones = 1100, 25, 8
	var list []placer.Worker
	for i := range workers {
		rack := i / perRack
		zone := rack * zones / (workers / perRack)
		list = append(list, placer.Worker{
			ID: fmt.Sprintf("w%04d", i+1), Region: fmt.Sprintf("region%d", zone*3/zones+1), Zone: fmt.Sprintf("z%d", zone+1),
			Rack: fmt.Sprintf("r%02d", rack+1), Accelerators: 1, Cores: 64,
		})
	}
	return list
}

func (g *generator) addDay(kind string, workloads []workload) {
	if kind == "peak" {
		g.loadFactor = 1.5
	}
	for _, w := range workloads {
		g.addWorkload(w)
	}
	switch kind {
	case "peak":
		g.addPeakFaults()
	case "maintenance":
		g.addMaintenance()
	default:
		g.addWorkerLoss()
	}
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	g.trace.Events = g.events
	g.trace.Outcomes = Outcomes{AllEnd: true, UrgentWithin: 2200}
}

func (g *generator) randomTime(from, to timekeeper.Millis) timekeeper.Millis {
	return from + timekeeper.Millis(g.rng.Int64N(int64(to-from)))
}

// addWorkload submits the jobs of a workload at random times of its part of the day, in bursts if it has a burst size.
func (g *generator) addWorkload(w workload) {
	count := int(float64(w.perDay) * g.loadFactor)
	burst := max(w.burstSize, 1)
	for i := 0; i < count; i += burst {
		at := g.randomTime(w.from, w.to)
		for k := i; k < min(i+burst, count); k++ {
			g.addJob(w, at+g.randomTime(0, 30*timekeeper.Second), k)
		}
	}
}

// addJob submits one job. The declared run time is wrong by a factor of up to ten for 3 jobs in 10. Of the repeatable
// batch jobs, 1 in 50 demands more accelerators than a worker has, and 1 in 50 fails in every attempt.
func (g *generator) addJob(w workload, at timekeeper.Millis, number int) {
	run := g.randomTime(w.minRun, w.maxRun)
	declared := run
	if g.rng.IntN(10) < 3 {
		factor := []float64{0.1, 0.3, 3, 10}[g.rng.IntN(4)]
		declared = timekeeper.Millis(float64(run) * factor)
	}
	workspace := w.workspace
	if workspace == "" {
		workspace = g.trace.Settings.Workspaces[g.rng.IntN(len(g.trace.Settings.Workspaces))].Name
	}
	spec := &scheduler.JobSpec{
		ID: fmt.Sprintf("%s/%s-%03d", workspace, w.name, number), Workspace: workspace, Class: w.class,
		Demand: w.demands[g.rng.IntN(len(w.demands))], DeclaredRunTime: declared, CanCheckpoint: w.checkpoint, Repeatable: !w.atMostOnce,
	}
	if w.deadline > 0 {
		spec.Deadline = at + w.deadline
	}
	e := Event{At: at, Submit: spec, RunTime: run}
	if w.class == scheduler.ClassBatch && !w.atMostOnce {
		switch g.rng.IntN(50) {
		case 0:
			spec.Demand.Accelerators = 9
			spec.Demand.Within = placer.LevelWorker
		case 1:
			e.Fails = true
		}
	}
	g.events = append(g.events, e)
}

func (g *generator) randomWorker() string {
	return g.trace.Topology[g.rng.IntN(len(g.trace.Topology))].ID
}

// addWorkerLoss adds the loss of one worker, which rejoins after 10 to 60 minutes.
func (g *generator) addWorkerLoss() {
	at, worker := g.randomTime(6*hour, 18*hour), g.randomWorker()
	g.events = append(g.events, Event{At: at, LostWorker: worker}, Event{At: at + g.randomTime(10*minute, 60*minute), RejoinedWorker: worker})
}

// addPeakFaults adds the loss of two workers, one a minute after the other has rejoined, a worker on which every job
// fails for two hours, and the cancellation of about a fifth of the batch jobs submitted before 19:00.
func (g *generator) addPeakFaults() {
	first, second, faulty := g.trace.Topology[1].ID, g.trace.Topology[4].ID, g.trace.Topology[7].ID
	at := g.randomTime(8*hour, 16*hour)
	g.events = append(g.events,
		Event{At: at, LostWorker: first}, Event{At: at + 20*minute, RejoinedWorker: first},
		Event{At: at + 21*minute, LostWorker: second}, Event{At: at + 50*minute, RejoinedWorker: second},
		Event{At: 10 * hour, FaultyWorker: faulty}, Event{At: 12 * hour, RepairedWorker: faulty},
	)
	cancellation := Event{At: 19 * hour}
	for _, e := range g.events {
		if e.Submit != nil && e.Submit.Class == scheduler.ClassBatch && e.At < cancellation.At && g.rng.IntN(5) == 0 {
			cancellation.Cancel = append(cancellation.Cancel, e.Submit.ID)
		}
	}
	slices.Sort(cancellation.Cancel)
	g.events = append(g.events, cancellation)
}

// addMaintenance drains up to 11 workers one at a time from 08:00, in the order of the racks, for 15 minutes each.
func (g *generator) addMaintenance() {
	for i, w := range g.trace.Topology {
		if i >= len(smallTopology("", 0)) {
			return
		}
		at := 8*hour + timekeeper.Millis(i)*20*minute
		g.events = append(g.events, Event{At: at, DrainedWorker: w.ID}, Event{At: at + 15*minute, UndrainedWorker: w.ID})
	}
}
