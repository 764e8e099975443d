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

// The deployments and days that traces are made for.
var (
	Deployments = []string{"taukvads", "dvorak"}
	Days        = []string{"ordinary", "peak", "maintenance"}
)

// MakeLetterSize is the name of the deployment at the size that the project is built for.
const MakeLetterSize = "letter"

// stream is a kind of job that comes again and again.
type stream struct {
	name       string
	workspace  string
	class      scheduler.Class
	demands    []placer.Demand
	perDay     int
	from, to   timekeeper.Millis // time of day in which they come
	shortest   timekeeper.Millis
	longest    timekeeper.Millis
	burst      int // jobs that come together
	checkpoint bool
	deadline   timekeeper.Millis // after submission
	once       bool
}

// maker makes a trace from a seed.
type maker struct {
	rng    *rand.Rand
	trace  *Trace
	events []Event
	busy   float64 // share by which a day's load is multiplied
}

func demand(members, accelerators int, within placer.Level) placer.Demand {
	return placer.Demand{Members: members, Accelerators: accelerators, Cores: 2, Within: within}
}

const (
	hour   = timekeeper.Hour
	minute = timekeeper.Minute
	day    = 24 * hour
)

func taukvads() ([]scheduler.Workspace, []stream) {
	return []scheduler.Workspace{
			{Name: "planner", Weight: 2, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(3, 8, placer.LevelRack)}}},
			{Name: "overflow", Weight: 1, Guarantee: []scheduler.Shape{{Count: 2, Demand: demand(1, 8, placer.LevelWorker)}}},
			{Name: "tickets", Weight: 1, Guarantee: []scheduler.Shape{{Count: 4, Demand: demand(1, 2, placer.LevelWorker)}}},
			{Name: "reports", Weight: 1, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(1, 8, placer.LevelWorker)}}},
		}, []stream{
			{name: "routes", workspace: "planner", class: scheduler.ClassNormal, demands: []placer.Demand{demand(3, 8, placer.LevelRack)}, perDay: 6, from: 0, to: 4 * hour, shortest: 20 * minute, longest: 60 * minute, checkpoint: true, deadline: 6 * hour},
			{name: "rebuild", workspace: "overflow", class: scheduler.ClassUrgent, demands: []placer.Demand{demand(1, 8, placer.LevelWorker), demand(1, 4, placer.LevelWorker)}, perDay: 30, from: 0, to: day, shortest: 3 * minute, longest: 15 * minute, deadline: 30 * minute},
			{name: "ticket", workspace: "tickets", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 1, placer.LevelWorker), demand(1, 2, placer.LevelWorker)}, perDay: 240, from: 5 * hour, to: 22 * hour, shortest: 5 * minute, longest: 45 * minute, burst: 12, deadline: 8 * hour},
			{name: "forecast", workspace: "reports", class: scheduler.ClassBatch, demands: []placer.Demand{demand(2, 8, placer.LevelRack), demand(4, 4, placer.LevelZone)}, perDay: 14, from: 0, to: day, shortest: 60 * minute, longest: 180 * minute, checkpoint: true, deadline: 12 * hour},
			{name: "study", workspace: "reports", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 2, placer.LevelWorker), demand(1, 3, placer.LevelWorker)}, perDay: 60, from: 0, to: day, shortest: 60 * minute, longest: 300 * minute, burst: 5, checkpoint: true, deadline: 20 * hour},
			{name: "archive", workspace: "tickets", class: scheduler.ClassNormal, demands: []placer.Demand{demand(1, 2, placer.LevelWorker)}, perDay: 12, from: 8 * hour, to: 18 * hour, shortest: 2 * minute, longest: 10 * minute, once: true, deadline: 2 * hour},
		}
}

func dvorak() ([]scheduler.Workspace, []stream) {
	return []scheduler.Workspace{
			{Name: "booking", Weight: 2, Guarantee: []scheduler.Shape{{Count: 2, Demand: demand(1, 8, placer.LevelWorker)}}},
			{Name: "matching", Weight: 1, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(2, 8, placer.LevelRack)}}},
			{Name: "photos", Weight: 1, Guarantee: []scheduler.Shape{{Count: 1, Demand: demand(3, 8, placer.LevelRack)}}},
			{Name: "fitters", Weight: 1, Guarantee: []scheduler.Shape{{Count: 2, Demand: demand(1, 4, placer.LevelWorker)}}},
		}, []stream{
			{name: "confirm", workspace: "booking", class: scheduler.ClassUrgent, demands: []placer.Demand{demand(1, 4, placer.LevelWorker), demand(1, 8, placer.LevelWorker)}, perDay: 60, from: 6 * hour, to: 23 * hour, shortest: 1 * minute, longest: 6 * minute, deadline: 10 * minute},
			{name: "match", workspace: "matching", class: scheduler.ClassNormal, demands: []placer.Demand{demand(2, 8, placer.LevelRack)}, perDay: 8, from: 17 * hour, to: 22 * hour, shortest: 20 * minute, longest: 50 * minute, checkpoint: true, deadline: 4 * hour},
			{name: "photo", workspace: "photos", class: scheduler.ClassBatch, demands: []placer.Demand{demand(3, 8, placer.LevelRack), demand(2, 8, placer.LevelRack)}, perDay: 14, from: 0, to: day, shortest: 40 * minute, longest: 120 * minute, checkpoint: true, deadline: 12 * hour},
			{name: "fitting", workspace: "fitters", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 1, placer.LevelWorker), demand(1, 2, placer.LevelWorker), demand(1, 3, placer.LevelWorker)}, perDay: 220, from: 6 * hour, to: 23 * hour, shortest: 10 * minute, longest: 90 * minute, burst: 10, deadline: 8 * hour},
			{name: "learn", workspace: "fitters", class: scheduler.ClassBatch, demands: []placer.Demand{demand(1, 2, placer.LevelWorker), demand(1, 4, placer.LevelWorker)}, perDay: 40, from: 0, to: day, shortest: 90 * minute, longest: 240 * minute, burst: 4, checkpoint: true, deadline: 20 * hour},
			{name: "dispatch", workspace: "booking", class: scheduler.ClassNormal, demands: []placer.Demand{demand(1, 2, placer.LevelWorker)}, perDay: 12, from: 8 * hour, to: 18 * hour, shortest: 1 * minute, longest: 4 * minute, once: true, deadline: 2 * hour},
		}
}

// letter describes 140 workspaces on 1,100 workers of one accelerator.
func letter() ([]scheduler.Workspace, []stream) {
	var workspaces []scheduler.Workspace
	var streams []stream
	for i := range 140 {
		name := fmt.Sprintf("team%03d", i)
		workspaces = append(workspaces, scheduler.Workspace{Name: name, Weight: 1, Guarantee: []scheduler.Shape{{
			Count: 1, Demand: placer.Demand{Members: 4, Accelerators: 1, Cores: 2, Within: placer.LevelRack},
		}}})
	}
	streams = append(streams,
		stream{name: "gang", class: scheduler.ClassBatch, demands: []placer.Demand{demand(128, 1, placer.LevelZone), demand(64, 1, placer.LevelZone), demand(32, 1, placer.LevelZone), demand(16, 1, placer.LevelRack)}, perDay: 90, to: day, shortest: 2 * hour, longest: 8 * hour, checkpoint: true},
		stream{name: "urgent", class: scheduler.ClassUrgent, demands: []placer.Demand{demand(4, 1, placer.LevelRack), demand(1, 1, placer.LevelWorker)}, perDay: 120, to: day, shortest: 10 * minute, longest: 60 * minute},
		stream{name: "tasks", class: scheduler.ClassBatch, demands: []placer.Demand{{Members: 90, Cores: 1, Within: placer.LevelCluster}, {Members: 60, Cores: 1, Within: placer.LevelCluster}}, perDay: 440, to: day, shortest: 10 * hour, longest: 18 * hour, checkpoint: true},
	)
	return workspaces, streams
}

// Make returns a made trace of a day for a deployment; equal seeds give equal traces.
func Make(deployment, kind string, seed uint64) (*Trace, error) {
	m := &maker{rng: rand.New(rand.NewPCG(seed, 11)), trace: &Trace{}, busy: 1}
	t := m.trace
	t.Settings = Settings{
		Deployment: deployment, Preset: kind, Completion: 0.7,
		Made: fmt.Sprintf("by 'lagoonmill trace make --deployment %s --day %s --seed %d'", deployment, kind, seed),
	}
	t.Comment = fmt.Sprintf("A made trace: %s on a day of kind %s, seed %d. No recorded input.", deployment, kind, seed)
	var streams []stream
	switch deployment {
	case "taukvads":
		t.Settings.Workspaces, streams = taukvads()
		t.Topology = smallTopology("riga", 64)
	case "dvorak":
		t.Settings.Workspaces, streams = dvorak()
		t.Topology = smallTopology("czechia", 32)
		t.Settings.Completion = 0.3
	case MakeLetterSize:
		t.Settings.Workspaces, streams = letter()
		t.Topology = letterTopology()
		t.Settings.Completion = 0.5
	default:
		return nil, fmt.Errorf("unknown deployment %q", deployment)
	}
	if !slices.Contains(Days, kind) {
		return nil, fmt.Errorf("unknown day %q: want one of %v", kind, Days)
	}
	t.Settings.Presets = presetsOf()
	m.dayOf(kind, streams)
	return t, nil
}

func presetsOf() []parser.Preset {
	ordinary, peak, maintenance := scheduler.DefaultPolicy(), scheduler.DefaultPolicy(), scheduler.DefaultPolicy()
	peak.Grace = 500
	peak.WaitBound = hour
	maintenance.QuarantineShare = 30
	return []parser.Preset{
		{Name: "ordinary", Policy: ordinary}, {Name: "peak", Policy: peak}, {Name: "maintenance", Policy: maintenance},
	}
}

// smallTopology is today's size: 11 workers of 8 accelerators, three to a rack, in three availability zones.
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

// letterTopology is 1,100 workers of one accelerator, 25 to a rack, in 8 availability zones of 3 regions.
func letterTopology() []placer.Worker {
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

func (m *maker) dayOf(kind string, streams []stream) {
	if kind == "peak" {
		m.busy = 1.5
	}
	for _, s := range streams {
		m.addStream(s)
	}
	switch kind {
	case "peak":
		m.addPeakFaults()
	case "maintenance":
		m.addMaintenance()
	default:
		m.addWorkerLoss()
	}
	slices.SortStableFunc(m.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	m.trace.Events = m.events
	m.trace.Outcomes = Outcomes{AllEnd: true, UrgentWithin: 2200}
}

func (m *maker) between(from, to timekeeper.Millis) timekeeper.Millis {
	return from + timekeeper.Millis(m.rng.Int64N(int64(to-from)))
}

// addStream spreads a stream's jobs over its part of the day, in bursts where it has them. Declared run times are
// off by up to ten times in three of ten jobs; one job in fifty asks for more than any cell has, and one in fifty
// fails in every attempt.
func (m *maker) addStream(s stream) {
	count := int(float64(s.perDay) * m.busy)
	burst := max(s.burst, 1)
	for i := 0; i < count; i += burst {
		at := m.between(s.from, s.to)
		for k := i; k < min(i+burst, count); k++ {
			m.addJob(s, at+m.between(0, 30*timekeeper.Second), k)
		}
	}
}

func (m *maker) addJob(s stream, at timekeeper.Millis, number int) {
	run := m.between(s.shortest, s.longest)
	declared := run
	if m.rng.IntN(10) < 3 {
		factor := []float64{0.1, 0.3, 3, 10}[m.rng.IntN(4)]
		declared = timekeeper.Millis(float64(run) * factor)
	}
	workspace := s.workspace
	if workspace == "" {
		workspace = m.trace.Settings.Workspaces[m.rng.IntN(len(m.trace.Settings.Workspaces))].Name
	}
	spec := &scheduler.JobSpec{
		ID: fmt.Sprintf("%s/%s-%03d", workspace, s.name, number), Workspace: workspace, Class: s.class,
		Demand: s.demands[m.rng.IntN(len(s.demands))], Declared: declared, Checkpoint: s.checkpoint, Repeatable: !s.once,
	}
	if s.deadline > 0 {
		spec.Deadline = at + s.deadline
	}
	e := Event{At: at, Submit: spec, Run: run}
	if s.class == scheduler.ClassBatch && !s.once {
		switch m.rng.IntN(50) {
		case 0:
			spec.Demand.Accelerators = 9
			spec.Demand.Within = placer.LevelWorker
		case 1:
			e.Fails = true
		}
	}
	m.events = append(m.events, e)
}

func (m *maker) worker() string { return m.trace.Topology[m.rng.IntN(len(m.trace.Topology))].ID }

// addWorkerLoss loses one worker for a while.
func (m *maker) addWorkerLoss() {
	at, worker := m.between(6*hour, 18*hour), m.worker()
	m.events = append(m.events, Event{At: at, Lost: worker}, Event{At: at + m.between(10*minute, 60*minute), Back: worker})
}

// addPeakFaults loses a worker and soon after another, has one that fails everything, and cancels a wave of jobs.
func (m *maker) addPeakFaults() {
	first, second, bad := m.trace.Topology[1].ID, m.trace.Topology[4].ID, m.trace.Topology[7].ID
	at := m.between(8*hour, 16*hour)
	m.events = append(m.events,
		Event{At: at, Lost: first}, Event{At: at + 20*minute, Back: first},
		Event{At: at + 21*minute, Lost: second}, Event{At: at + 50*minute, Back: second},
		Event{At: 10 * hour, Bad: bad}, Event{At: 12 * hour, Good: bad},
	)
	wave := Event{At: 19 * hour}
	for _, e := range m.events {
		if e.Submit != nil && e.Submit.Class == scheduler.ClassBatch && e.At < wave.At && m.rng.IntN(5) == 0 {
			wave.Cancel = append(wave.Cancel, e.Submit.ID)
		}
	}
	slices.Sort(wave.Cancel)
	m.events = append(m.events, wave)
}

// addMaintenance drains rack after rack in the morning, a worker at a time.
func (m *maker) addMaintenance() {
	for i, w := range m.trace.Topology {
		if i >= len(smallTopology("", 0)) {
			return
		}
		at := 8*hour + timekeeper.Millis(i)*20*minute
		m.events = append(m.events, Event{At: at, Drain: w.ID}, Event{At: at + 15*minute, Undrain: w.ID})
	}
}
