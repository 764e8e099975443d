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

// Document is what one file may hold.
type Document struct {
	Workspaces []scheduler.Workspace `yaml:"workspaces"`
	Presets    []Preset              `yaml:"presets"`
	Jobs       []Job                 `yaml:"jobs"`
}

// Preset is a preset in a document; what it leaves out has the values of an ordinary day.
type Preset registrar.Preset

// UnmarshalYAML reads a preset over the defaults.
func (p *Preset) UnmarshalYAML(node *yaml.Node) error {
	filled := registrar.Preset{Policy: scheduler.DefaultPolicy()}
	if err := decodeKnown(node, &filled); err != nil {
		return err
	}
	*p = Preset(filled)
	return nil
}

// decodeKnown decodes a node and refuses unknown keys, which a plain Node.Decode would let pass.
func decodeKnown(node *yaml.Node, v any) error {
	text, err := yaml.Marshal(node)
	if err != nil {
		return fmt.Errorf("line %d: %w", node.Line, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("in the entry that begins at line %d, counted from there: %w", node.Line, err)
	}
	return nil
}

// Job is a job in a document. Repeatable is true where it is left out.
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

// Spec returns the job as it is submitted.
func (j Job) Spec() scheduler.JobSpec {
	return scheduler.JobSpec{
		ID: j.ID, Workspace: j.Workspace, Class: j.Class, Demand: j.Demand, Declared: j.Declared,
		Checkpoint: j.Checkpoint, Repeatable: j.Repeatable == nil || *j.Repeatable, Payload: j.Payload,
	}
}

// Parse reads and checks a document.
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
