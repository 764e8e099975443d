package placer

import (
	"fmt"
	"strings"
)

// Level is the level of a cell in the topology, from one worker up to the whole cluster.
type Level uint8

// The levels of cells, from the smallest to the largest.
const (
	LevelWorker Level = iota
	LevelRack
	LevelZone
	LevelRegion
	LevelCluster
	levels
)

var levelNames = [levels]string{"worker", "rack", "availability-zone", "region", "cluster"}

// String returns the level's name as used in documents.
func (l Level) String() string {
	if l >= levels {
		return "unknown"
	}
	return levelNames[l]
}

// ParseLevel returns the level with the given name, as returned by String.
func ParseLevel(name string) (Level, error) {
	for i, n := range levelNames {
		if n == name {
			return Level(i), nil
		}
	}
	return 0, fmt.Errorf("unknown level %q: want one of %s", name, strings.Join(levelNames[:], ", "))
}

// MarshalText returns the level's name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText sets the level to the one with the given name.
func (l *Level) UnmarshalText(text []byte) error {
	parsed, err := ParseLevel(string(text))
	if err != nil {
		return err
	}
	*l = parsed
	return nil
}

// Worker is a machine as the platform declares it. Accelerators and Cores are counts.
type Worker struct {
	ID           string `cbor:"1,keyasint" json:"id" yaml:"id"`
	Region       string `cbor:"2,keyasint" json:"region" yaml:"region"`
	Zone         string `cbor:"3,keyasint" json:"availability-zone" yaml:"availability-zone"`
	Rack         string `cbor:"4,keyasint" json:"rack" yaml:"rack"`
	Accelerators int    `cbor:"5,keyasint" json:"accelerators" yaml:"accelerators"`
	Cores        int    `cbor:"6,keyasint" json:"cores" yaml:"cores"`
}

// Cell returns the id of the cell of the given level that holds the worker. It is empty for the cluster.
func (w Worker) Cell(level Level) string {
	switch level {
	case LevelWorker:
		return w.ID
	case LevelRack:
		return w.Region + "/" + w.Zone + "/" + w.Rack
	case LevelZone:
		return w.Region + "/" + w.Zone
	case LevelRegion:
		return w.Region
	default:
		return ""
	}
}

// Demand is what a gang needs: Members of equal size, all in one cell of level Within. Accelerators and Cores are
// counts per member. A demand without accelerators is placed by cores.
type Demand struct {
	Members      int   `cbor:"1,keyasint" json:"members" yaml:"members"`
	Accelerators int   `cbor:"2,keyasint" json:"accelerators" yaml:"accelerators"`
	Cores        int   `cbor:"3,keyasint" json:"cores" yaml:"cores"`
	Within       Level `cbor:"4,keyasint" json:"within" yaml:"within"`
}

// Total returns the number of accelerators of the whole gang.
func (d Demand) Total() int { return d.Members * d.Accelerators }

// Validate returns an error that names the first invalid field, or nil.
func (d Demand) Validate() error {
	switch {
	case d.Members < 1:
		return fmt.Errorf("members: got %d, want at least 1", d.Members)
	case d.Accelerators < 0:
		return fmt.Errorf("accelerators: got %d, want at least 0", d.Accelerators)
	case d.Cores < 0:
		return fmt.Errorf("cores: got %d, want at least 0", d.Cores)
	case d.Accelerators == 0 && d.Cores == 0:
		return fmt.Errorf("accelerators, cores: at least one must be above 0")
	}
	return nil
}

// Part is the number of members of a gang on one worker.
type Part struct {
	Worker  string `cbor:"1,keyasint" json:"worker"`
	Members int    `cbor:"2,keyasint" json:"members"`
}

// Placement holds the parts of a gang, one for each worker, ordered by worker.
type Placement []Part

// Members returns the number of members placed.
func (p Placement) Members() int {
	n := 0
	for _, part := range p {
		n += part.Members
	}
	return n
}

// On returns the number of members on worker.
func (p Placement) On(worker string) int {
	for _, part := range p {
		if part.Worker == worker {
			return part.Members
		}
	}
	return 0
}
