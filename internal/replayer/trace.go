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

// The files of a trace.
const (
	fileTopology = "topology.yaml"
	fileSettings = "settings.yaml"
	fileEvents   = "events.jsonl"
	fileOutcomes = "outcomes.yaml"
)

// Settings is what a trace runs under.
type Settings struct {
	Deployment string                `yaml:"deployment"`
	Preset     string                `yaml:"preset"` // in force at the start
	Made       string                `yaml:"made,omitempty"`
	Completion float64               `yaml:"completion-weight"`
	Workspaces []scheduler.Workspace `yaml:"workspaces"`
	Presets    []parser.Preset       `yaml:"presets"`
}

// Event is one input from outside; exactly one of the fields after At is set, but for Run and Fails, which belong to
// Submit and tell how the job really goes.
type Event struct {
	At      timekeeper.Millis  `json:"at-millis"`
	Submit  *scheduler.JobSpec `json:"submit,omitempty"`
	Run     timekeeper.Millis  `json:"run-millis,omitempty"` // true run time
	Fails   bool               `json:"fails,omitempty"`      // every attempt fails at its end
	Cancel  []string           `json:"cancel,omitempty"`
	Lost    string             `json:"worker-lost,omitempty"`
	Back    string             `json:"worker-back,omitempty"`
	Bad     string             `json:"worker-fails-all,omitempty"`
	Good    string             `json:"worker-works-again,omitempty"`
	Drain   string             `json:"worker-drained,omitempty"`
	Undrain string             `json:"worker-undrained,omitempty"`
	Preset  string             `json:"preset,omitempty"`
}

// Outcomes is what a trace states about its replay. Zero fields state nothing.
type Outcomes struct {
	Ends           map[string]string            `yaml:"ends,omitempty"`           // job to its end
	StartedWithin  map[string]timekeeper.Millis `yaml:"started-within,omitempty"` // job to the longest wait for its first start
	Attempts       map[string]int               `yaml:"attempts,omitempty"`       // job to the number of its attempts
	UrgentWithin   timekeeper.Millis            `yaml:"urgent-within,omitempty"`  // longest wait of any urgent job that its guarantee can hold
	LargestWithin  timekeeper.Millis            `yaml:"gangs-within,omitempty"`   // longest wait of any gang of more than one worker
	AllEnd         bool                         `yaml:"all-end,omitempty"`        // every job reaches an end
	QuarantinedAny []string                     `yaml:"quarantined,omitempty"`    // workers that were quarantined at some time
	FailsUnder     []string                     `yaml:"fails-under,omitempty"`    // policies under which the outcomes do not hold
}

// Trace is a parsed archive.
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

// Read reads a trace from a file.
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

// Parse reads a trace from the text of an archive.
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
			return nil, fmt.Errorf("%s is missing", name)
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
			return nil, fmt.Errorf("line %d: its time is before that of the line above", number)
		}
		events = append(events, e)
	}
	return events, lines.Err()
}

// Format returns the trace as the text of an archive.
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

// policies returns the policy of each preset, with the ordinary one where the trace names none.
func (t *Trace) policies() map[string]scheduler.Policy {
	found := map[string]scheduler.Policy{"ordinary": scheduler.DefaultPolicy()}
	for _, p := range t.Settings.Presets {
		found[p.Name] = p.Policy
	}
	return found
}
