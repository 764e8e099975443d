package recorder

import (
	"errors"

	"github.com/lagoonmill/lagoonmill/internal/parser"
	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// BuildTrace converts a recording to a trace. A submitted job gets the recorded run time if it finished or failed, and
// keeps its declared run time otherwise. completionWeight, from 0 to 1, is the weight of the completion times against
// that of the fragmentation (1 - completionWeight) in the score of a replay.
func BuildTrace(lines []Line, deployment string, completionWeight float64) (*replayer.Trace, error) {
	if len(lines) == 0 || lines[0].Snapshot == nil {
		return nil, errors.New("recording does not begin with a snapshot of the cluster")
	}
	snapshot := lines[0].Snapshot
	t := &replayer.Trace{
		Comment: "A recorded trace.", Topology: snapshot.Workers,
		Settings: replayer.Settings{Deployment: deployment, Preset: snapshot.Preset, CompletionWeight: completionWeight, Workspaces: snapshot.Workspaces},
	}
	for _, p := range snapshot.Presets {
		t.Settings.Presets = append(t.Settings.Presets, parser.Preset(p))
	}
	submitted := map[string]int{} // job ID to index in t.Events
	for _, line := range lines[1:] {
		at := line.At - lines[0].At
		if line.Ended != nil {
			recordEnd(t, submitted, *line.Ended)
			continue
		}
		e, ok := traceEvent(at, line)
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

// recordEnd sets the run time, and for a failed job the failure, in the event that submitted the job. Jobs with any
// other end keep their declared run time.
func recordEnd(t *replayer.Trace, submitted map[string]int, ended EndedJob) {
	i, ok := submitted[ended.ID]
	if !ok {
		return // submitted before the recording began
	}
	switch ended.End {
	case scheduler.EndFinished.String():
		t.Events[i].RunTime = ended.RunTime
	case scheduler.EndFailed.String():
		// The recorded run time is zero if the last attempt did not start; JSON omits a zero.
		t.Events[i].RunTime, t.Events[i].Fails = max(ended.RunTime, 1), true
	}
}

// traceEvent converts a line to an event of a trace. It reports false for events that a trace does not contain.
func traceEvent(at timekeeper.Millis, line Line) (replayer.Event, bool) {
	e := replayer.Event{At: at}
	switch {
	case line.PresetInForce != nil:
		e.Preset = *line.PresetInForce
	case line.Event.JobSubmitted != nil:
		e.Submit, e.RunTime = line.Event.JobSubmitted, line.Event.JobSubmitted.DeclaredRunTime
	case line.Event.JobsCancelled != nil:
		e.Cancel = line.Event.JobsCancelled.Jobs
	case line.Event.WorkerLost != nil:
		e.LostWorker = line.Event.WorkerLost.Worker
	case line.Event.WorkerJoined != nil:
		// Also for a worker that joins for the first time: a trace has no other event for it.
		e.RejoinedWorker = line.Event.WorkerJoined.ID
	case line.Event.WorkerDrained != nil && line.Event.WorkerDrained.Drained:
		e.DrainedWorker = line.Event.WorkerDrained.Worker
	case line.Event.WorkerDrained != nil:
		e.UndrainedWorker = line.Event.WorkerDrained.Worker
	default:
		return e, false
	}
	return e, true
}
