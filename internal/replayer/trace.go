package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"
	"golang.org/x/tools/txtar"

	"github.com/lagoonmill/lagoonmill/internal/parser"
	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Names of the files in a trace archive.
const (
	fileTopology = "topology.yaml"
	fileSettings = "settings.yaml"
	fileEvents   = "events.jsonl"
	fileOutcomes = "outcomes.yaml"
)

// Settings are the presets, workspaces and score weights under which a trace runs.
type Settings struct {
	Deployment       string                `yaml:"deployment"`
	Preset           string                `yaml:"preset"`            // in force at the start
	GeneratedBy      string                `yaml:"made,omitempty"`    // command line of a synthetic trace
	CompletionWeight float64               `yaml:"completion-weight"` // weight of completion time in the score, 0 to 1
	Workspaces       []scheduler.Workspace `yaml:"workspaces"`
	Presets          []parser.Preset       `yaml:"presets"`
}

// Event is one external input. Exactly one of the fields after At is set, except that RunTime and Fails belong to
// Submit and give the actual behaviour of the job.
type Event struct {
	At              timekeeper.Millis  `json:"at-millis"`
	Submit          *scheduler.JobSpec `json:"submit,omitempty"`
	RunTime         timekeeper.Millis  `json:"run-millis,omitempty"` // actual run time
	Fails           bool               `json:"fails,omitempty"`      // every attempt fails after the run time
	Cancel          []string           `json:"cancel,omitempty"`     // job IDs
	LostWorker      string             `json:"worker-lost,omitempty"`
	RejoinedWorker  string             `json:"worker-back,omitempty"`
	FaultyWorker    string             `json:"worker-fails-all,omitempty"` // every attempt on it fails from now on
	RepairedWorker  string             `json:"worker-works-again,omitempty"`
	DrainedWorker   string             `json:"worker-drained,omitempty"` // its jobs are evicted
	UndrainedWorker string             `json:"worker-undrained,omitempty"`
	Preset          string             `json:"preset,omitempty"` // in force from now on
}

// Outcomes are the expected outcomes of a replay. Zero fields are not checked.
type Outcomes struct {
	Ends          map[string]string            `yaml:"ends,omitempty"`           // end by job
	StartedWithin map[string]timekeeper.Millis `yaml:"started-within,omitempty"` // maximum wait for the first start, by job
	Attempts      map[string]int               `yaml:"attempts,omitempty"`       // number of attempts by job
	UrgentWithin  timekeeper.Millis            `yaml:"urgent-within,omitempty"`  // maximum wait of an urgent job whose guarantee is free
	GangsWithin   timekeeper.Millis            `yaml:"gangs-within,omitempty"`   // maximum wait of a job of more than eight accelerators
	AllEnd        bool                         `yaml:"all-end,omitempty"`        // every job must end
	Quarantined   []string                     `yaml:"quarantined,omitempty"`    // workers that must be quarantined at some time
	FailsUnder    []string                     `yaml:"fails-under,omitempty"`    // variants under which some outcome must not hold
}

// Trace is a parsed trace archive.
type Trace struct {
	Name     string
	Comment  string
	Topology []placer.Worker
	Settings Settings
	Events   []Event
	Outcomes Outcomes
}

type topology struct {
	Workers []placer.Worker `yaml:"workers"`
}

// Read reads the trace archive at path.
func Read(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	t, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	t.Name = path
	return t, nil
}

// Parse parses the text of a trace archive.
func Parse(data []byte) (*Trace, error) {
	archive := txtar.Parse(data)
	t := &Trace{Comment: strings.TrimSpace(string(archive.Comment))}
	var top topology
	found := map[string]bool{}
	for _, file := range archive.Files {
		found[file.Name] = true
		var err error
		switch file.Name {
		case fileTopology:
			err = decodeYAML(file.Data, &top)
		case fileSettings:
			err = decodeYAML(file.Data, &t.Settings)
		case fileOutcomes:
			err = decodeYAML(file.Data, &t.Outcomes)
		case fileEvents:
			t.Events, err = parseEvents(file.Data)
		default:
			err = errors.New("unknown file")
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file.Name, err)
		}
	}
	for _, name := range []string{fileTopology, fileSettings, fileEvents} {
		if !found[name] {
			return nil, fmt.Errorf("trace has no file %s", name)
		}
	}
	t.Topology = top.Workers
	return t, nil
}

func decodeYAML(data []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	return dec.Decode(v)
}

func parseEvents(data []byte) ([]Event, error) {
	const longestLine = 1 << 20
	var events []Event
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, longestLine)
	for number := 1; lines.Scan(); number++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		var e Event
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&e); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		if len(events) > 0 && e.At < events[len(events)-1].At {
			return nil, fmt.Errorf("line %d: event is earlier than the preceding one", number)
		}
		events = append(events, e)
	}
	return events, lines.Err()
}

// Format returns the text of the trace archive.
func (t *Trace) Format() ([]byte, error) {
	archive := &txtar.Archive{Comment: []byte(t.Comment + "\n\n")}
	add := func(name string, data []byte) {
		archive.Files = append(archive.Files, txtar.File{Name: name, Data: data})
	}
	for _, part := range []struct {
		name  string
		value any
	}{{fileTopology, topology{t.Topology}}, {fileSettings, t.Settings}} {
		data, err := yaml.Marshal(part.value)
		if err != nil {
			return nil, fmt.Errorf("format %s: %w", part.name, err)
		}
		add(part.name, data)
	}
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for _, e := range t.Events {
		if err := enc.Encode(e); err != nil {
			return nil, fmt.Errorf("format event: %w", err)
		}
	}
	add(fileEvents, lines.Bytes())
	data, err := yaml.Marshal(t.Outcomes)
	if err != nil {
		return nil, fmt.Errorf("format outcomes: %w", err)
	}
	add(fileOutcomes, data)
	return txtar.Format(archive), nil
}

// policies returns the policy of each preset, and the default policy for "ordinary" unless the trace defines it.
func (t *Trace) policies() map[string]scheduler.Policy {
	found := map[string]scheduler.Policy{"ordinary": scheduler.DefaultPolicy()}
	for _, p := range t.Settings.Presets {
		found[p.Name] = p.Policy
	}
	return found
}
