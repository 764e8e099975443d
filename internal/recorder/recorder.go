package recorder

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// lineBuffer is the number of lines buffered per subscriber. A subscriber whose buffer is full is disconnected, so that
// a slow one costs bounded memory and never blocks the apply loop.
const lineBuffer = 4096

// Line is one line of a recording. The first line holds a snapshot of the cluster, the others the inputs and the ends
// of jobs in the order in which they are applied. Exactly one of the pointers is set.
type Line struct {
	At            timekeeper.Millis `json:"at-millis"`
	Snapshot      *Snapshot         `json:"base,omitempty"`
	Event         *scheduler.Event  `json:"event,omitempty"`
	PresetInForce *string           `json:"preset-in-force,omitempty"`
	Ended         *EndedJob         `json:"ended,omitempty"`
}

// Snapshot is the state of the cluster at the start of a recording.
type Snapshot struct {
	Workers    []placer.Worker       `json:"workers"`
	Workspaces []scheduler.Workspace `json:"workspaces"`
	Presets    []registrar.Preset    `json:"presets"`
	Preset     string                `json:"preset"`
}

// EndedJob is the end of a job. RunTime is the run time of the last attempt plus the run time that earlier attempts
// saved, or zero if the last attempt did not start.
type EndedJob struct {
	ID      string            `json:"id"`
	End     string            `json:"end"`
	RunTime timekeeper.Millis `json:"ran-millis"`
}

// Recorder sends lines to any number of subscribers. Its zero value is ready to use. mu guards subscribers and preset.
type Recorder struct {
	mu          sync.Mutex
	subscribers map[chan Line]struct{}
	preset      string
}

// Subscribe returns a channel whose first line is a snapshot of state. The channel is closed if the subscriber does not
// keep up. The returned function ends the subscription without closing the channel.
func (r *Recorder) Subscribe(state registrar.State) (<-chan Line, func()) {
	lines := make(chan Line, lineBuffer)
	lines <- Line{At: state.Now, Snapshot: takeSnapshot(state)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.subscribers == nil {
		r.subscribers = map[chan Line]struct{}{}
	}
	r.subscribers[lines] = struct{}{}
	return lines, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers, lines)
	}
}

func takeSnapshot(s registrar.State) *Snapshot {
	snapshot := &Snapshot{Presets: s.Presets(), Preset: s.ActivePreset}
	s.Scheduler.Cells().VisitLoads(func(l placer.Load) { snapshot.Workers = append(snapshot.Workers, l.Worker) })
	for _, share := range s.Scheduler.Shares() {
		snapshot.Workspaces = append(snapshot.Workspaces, share.Workspace)
	}
	return snapshot
}

// Observe records an applied command and its effect; s is the state after it. It is called from the goroutine that
// applies the log, and does not block.
func (r *Recorder) Observe(s registrar.State, c registrar.Command, e registrar.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.subscribers) == 0 {
		return
	}
	for _, line := range r.linesFor(s, c, e) {
		r.broadcast(line)
	}
}

func (r *Recorder) linesFor(s registrar.State, c registrar.Command, e registrar.Effect) []Line {
	var lines []Line
	for i := range c.Events {
		if isExternalInput(c.Events[i]) {
			lines = append(lines, Line{At: s.Now, Event: &c.Events[i]})
		}
	}
	if c.Detach != nil {
		lines = append(lines, Line{At: s.Now, Event: &scheduler.Event{WorkerLost: &scheduler.WorkerLost{Worker: c.Detach.Agent}}})
	}
	if c.Attach != nil && c.Attach.Worker != nil {
		lines = append(lines, Line{At: s.Now, Event: &scheduler.Event{WorkerJoined: c.Attach.Worker}})
	}
	if s.ActivePreset != r.preset {
		if r.preset != "" {
			current := s.ActivePreset
			lines = append(lines, Line{At: s.Now, PresetInForce: &current})
		}
		r.preset = s.ActivePreset
	}
	for _, d := range e.Decisions {
		if d.Kind == scheduler.DecideEnd {
			lines = append(lines, Line{At: s.Now, Ended: &EndedJob{d.Job.Spec.ID, d.Job.End.String(), runTime(d.Job)}})
		}
	}
	return lines
}

// runTime returns the run time of the last attempt plus that saved by earlier ones, or 0 if the last attempt did not
// start, as Started is reset whenever a job is queued again.
func runTime(j *scheduler.Job) timekeeper.Millis {
	if j.Started == 0 {
		return 0
	}
	return j.SavedRunTime + j.EndedAt - j.Started
}

// isExternalInput reports whether an event comes from a caller or an operator rather than from an agent or a timer.
func isExternalInput(e scheduler.Event) bool {
	return e.JobSubmitted != nil || e.JobsCancelled != nil || e.WorkerDrained != nil
}

// broadcast sends a line to all subscribers and disconnects those whose buffer is full. The caller holds mu.
func (r *Recorder) broadcast(line Line) {
	for subscriber := range r.subscribers {
		select {
		case subscriber <- line:
		default:
			delete(r.subscribers, subscriber)
			close(subscriber)
		}
	}
}
