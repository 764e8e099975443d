package recorder

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// lineQueue bounds what a slow reader may leave unread; one that leaves more is cut off.
const lineQueue = 4096

// Line is one piece of a recording: first what the cluster is, then inputs and ends of jobs as they are applied.
// Exactly one of the pointers is set.
type Line struct {
	At    timekeeper.Millis `json:"at-millis"`
	Base  *Base             `json:"base,omitempty"`
	Event *scheduler.Event  `json:"event,omitempty"`
	Used  *string           `json:"preset-in-force,omitempty"`
	Ended *EndedJob         `json:"ended,omitempty"`
}

// Base is the cluster at the start of a recording.
type Base struct {
	Workers    []placer.Worker       `json:"workers"`
	Workspaces []scheduler.Workspace `json:"workspaces"`
	Presets    []registrar.Preset    `json:"presets"`
	Preset     string                `json:"preset"`
}

// EndedJob tells how a job ended and how long its last attempt ran, with what earlier ones had saved.
type EndedJob struct {
	ID  string            `json:"id"`
	End string            `json:"end"`
	Ran timekeeper.Millis `json:"ran-millis"`
}

// Recorder passes lines on to any number of readers. Its zero value is ready to use; mu guards the readers.
type Recorder struct {
	mu      sync.Mutex
	readers map[chan Line]struct{}
	preset  string
}

// Subscribe returns a channel that begins with the cluster as it is in state; it is closed when the reader falls
// behind. The returned function ends the subscription.
func (r *Recorder) Subscribe(state registrar.State) (<-chan Line, func()) {
	lines := make(chan Line, lineQueue)
	lines <- Line{At: state.Now, Base: baseOf(state)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers == nil {
		r.readers = map[chan Line]struct{}{}
	}
	r.readers[lines] = struct{}{}
	return lines, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.readers, lines)
	}
}

func baseOf(s registrar.State) *Base {
	b := &Base{Presets: s.Presets(), Preset: s.Current}
	s.Scheduler.Cells().Loads(func(l placer.Load) { b.Workers = append(b.Workers, l.Worker) })
	for _, share := range s.Scheduler.Shares() {
		b.Workspaces = append(b.Workspaces, share.Workspace)
	}
	return b
}

// Observe takes a command as it was applied, from the goroutine that applies the log.
func (r *Recorder) Observe(s registrar.State, c registrar.Command, e registrar.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.readers) == 0 {
		return
	}
	for _, line := range r.linesOf(s, c, e) {
		r.send(line)
	}
}

func (r *Recorder) linesOf(s registrar.State, c registrar.Command, e registrar.Effect) []Line {
	var lines []Line
	for i := range c.Events {
		if isInput(c.Events[i]) {
			lines = append(lines, Line{At: s.Now, Event: &c.Events[i]})
		}
	}
	if c.Detach != nil {
		lines = append(lines, Line{At: s.Now, Event: &scheduler.Event{WorkerLost: &scheduler.WorkerLost{Worker: c.Detach.Agent}}})
	}
	if c.Attach != nil && c.Attach.Worker != nil {
		lines = append(lines, Line{At: s.Now, Event: &scheduler.Event{WorkerJoined: c.Attach.Worker}})
	}
	if s.Current != r.preset {
		if r.preset != "" {
			current := s.Current
			lines = append(lines, Line{At: s.Now, Used: &current})
		}
		r.preset = s.Current
	}
	for _, d := range e.Decisions {
		if d.Kind == scheduler.DecideEnd {
			lines = append(lines, Line{At: s.Now, Ended: &EndedJob{d.Job.Spec.ID, d.Job.End.String(), ranOf(d.Job)}})
		}
	}
	return lines
}

func ranOf(j *scheduler.Job) timekeeper.Millis {
	if j.Started == 0 {
		return 0
	}
	return j.Saved + j.EndedAt - j.Started
}

// isInput tells what comes from outside from what agents report and timers do.
func isInput(e scheduler.Event) bool {
	return e.JobSubmitted != nil || e.JobsCancelled != nil || e.WorkerDrained != nil
}

// send passes a line on and cuts off readers that are behind. The caller holds mu.
func (r *Recorder) send(line Line) {
	for reader := range r.readers {
		select {
		case reader <- line:
		default:
			delete(r.readers, reader)
			close(reader)
		}
	}
}
