package parser

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Document is the content of a file.
type Document struct {
	Workspaces []scheduler.Workspace `yaml:"workspaces"`
	Presets    []Preset              `yaml:"presets"`
	Jobs       []Job                 `yaml:"jobs"`
}

// Preset is a preset in a document. Omitted fields of its policy have the values of scheduler.DefaultPolicy.
type Preset registrar.Preset

// UnmarshalYAML decodes a preset over the default policy.
func (p *Preset) UnmarshalYAML(node *yaml.Node) error {
	preset := registrar.Preset{Policy: scheduler.DefaultPolicy()}
	if err := decodeStrict(node, &preset); err != nil {
		return err
	}
	*p = Preset(preset)
	return nil
}

// decodeStrict decodes a node into v and rejects unknown keys, which Node.Decode accepts.
func decodeStrict(node *yaml.Node, v any) error {
	text, err := yaml.Marshal(node)
	if err != nil {
		return fmt.Errorf("line %d: %w", node.Line, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("in the entry that starts at line %d, with lines counted from there: %w", node.Line, err)
	}
	return nil
}

// Job is a job in a document. A nil Repeatable means true.
type Job struct {
	ID         string            `yaml:"id"`
	Workspace  string            `yaml:"workspace"`
	Class      scheduler.Class   `yaml:"class"`
	Demand     placer.Demand     `yaml:"demand"`
	Declared   timekeeper.Millis `yaml:"declared-run"`
	Checkpoint bool              `yaml:"can-checkpoint"`
	Repeatable *bool             `yaml:"repeatable"`
	Payload    string            `yaml:"payload"`
}

// Spec converts the job to the form in which it is submitted.
func (j Job) Spec() scheduler.JobSpec {
	return scheduler.JobSpec{
		ID: j.ID, Workspace: j.Workspace, Class: j.Class, Demand: j.Demand, DeclaredRunTime: j.Declared,
		CanCheckpoint: j.Checkpoint, Repeatable: j.Repeatable == nil || *j.Repeatable, Payload: j.Payload,
	}
}

// Parse decodes and validates a document.
func Parse(text []byte) (Document, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var d Document
	if err := dec.Decode(&d); err != nil {
		if errors.Is(err, io.EOF) {
			return d, errors.New("the document is empty")
		}
		return d, fmt.Errorf("parse document: %w", err)
	}
	return d, d.validate()
}

func (d Document) validate() error {
	for i, w := range d.Workspaces {
		if err := w.Validate(); err != nil {
			return fmt.Errorf("workspaces[%d] %q: %w", i, w.Name, err)
		}
	}
	for i, p := range d.Presets {
		if p.Name == "" {
			return fmt.Errorf("presets[%d]: name: must not be empty", i)
		}
	}
	for i, j := range d.Jobs {
		if err := j.Demand.Validate(); err != nil {
			return fmt.Errorf("jobs[%d] %q: demand.%w", i, j.ID, err)
		}
	}
	return nil
}
