package recorder

import (
	"errors"

	"github.com/lagoonmill/lagoonmill/internal/parser"
	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Assemble makes a trace of a recording. A job's true run time is that of its last attempt with what earlier ones
// saved; of a job that had not ended it is the declared one.
func Assemble(lines []Line, deployment string, completionWeight float64) (*replayer.Trace, error) {
	if len(lines) == 0 || lines[0].Base == nil {
		return nil, errors.New("the recording does not begin with the cluster's base")
	}
	base := lines[0].Base
	t := &replayer.Trace{
		Comment: "A recorded trace.", Topology: base.Workers,
		Settings: replayer.Settings{Deployment: deployment, Preset: base.Preset, Completion: completionWeight, Workspaces: base.Workspaces},
	}
	for _, p := range base.Presets {
		t.Settings.Presets = append(t.Settings.Presets, parser.Preset(p))
	}
	submitted := map[string]int{}
	for _, line := range lines[1:] {
		at := line.At - lines[0].At
		if line.Ended != nil {
			noteEnd(t, submitted, *line.Ended)
			continue
		}
		e, ok := eventOf(at, line)
		if !ok {
			continue
		}
		if e.Submit != nil {
			submitted[e.Submit.ID] = len(t.Events)
		}
		t.Events = append(t.Events, e)
	}
	return t, nil
}

func noteEnd(t *replayer.Trace, submitted map[string]int, ended EndedJob) {
	i, ok := submitted[ended.ID]
	if !ok {
		return // submitted before the recording
	}
	switch ended.End {
	case scheduler.EndFinished.String():
		t.Events[i].Run = ended.Ran
	case scheduler.EndFailed.String():
		t.Events[i].Run, t.Events[i].Fails = max(ended.Ran, 1), true
	}
}

func eventOf(at timekeeper.Millis, line Line) (replayer.Event, bool) {
	e := replayer.Event{At: at}
	switch {
	case line.Used != nil:
		e.Preset = *line.Used
	case line.Event.JobSubmitted != nil:
		e.Submit, e.Run = line.Event.JobSubmitted, line.Event.JobSubmitted.Declared
	case line.Event.JobsCancelled != nil:
		e.Cancel = line.Event.JobsCancelled.Jobs
	case line.Event.WorkerLost != nil:
		e.Lost = line.Event.WorkerLost.Worker
	case line.Event.WorkerJoined != nil:
		e.Back = line.Event.WorkerJoined.ID
	case line.Event.WorkerDrained != nil && line.Event.WorkerDrained.Drained:
		e.Drain = line.Event.WorkerDrained.Worker
	case line.Event.WorkerDrained != nil:
		e.Undrain = line.Event.WorkerDrained.Worker
	default:
		return e, false
	}
	return e, true
}
