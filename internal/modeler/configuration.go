package modeler

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Queue is where jobs of one kind are submitted.
type Queue struct {
	Name        string            `cbor:"1,keyasint"`
	Host        string            `cbor:"2,keyasint"` // the host name that callers ask for
	Prefix      string            `cbor:"3,keyasint"` // the path under which its jobs are
	Service     string            `cbor:"4,keyasint"` // the workers that may run its tasks
	Priority    int               `cbor:"5,keyasint"` // zero comes first
	MaxAttempts int               `cbor:"6,keyasint"` // failed runs that end a task; zero is no limit
	Stretch     float64           `cbor:"7,keyasint"` // objective, in chains of the job's work
	Target      timekeeper.Millis `cbor:"8,keyasint"` // objective beyond that
	Public      bool              `cbor:"9,keyasint,omitempty"`
	Advised     bool              `cbor:"10,keyasint,omitempty"` // placements need the placement advisor's consent
}

// Objective returns the time since submission within which a job is finished on time; chain is that of the job.
func (q Queue) Objective(chain timekeeper.Millis) timekeeper.Millis {
	return timekeeper.Millis(q.Stretch*float64(chain)) + q.Target
}

// Workspace is a tenant with its keys and its guarantee.
type Workspace struct {
	Name         string   `cbor:"1,keyasint"`
	Keys         []string `cbor:"2,keyasint"`
	Accelerators int      `cbor:"3,keyasint,omitempty"` // guaranteed for urgent jobs at all times
}

// Configuration is the settings that operators replace as a whole; it is immutable.
type Configuration struct {
	Version    uint64      `cbor:"1,keyasint"`
	Queues     []Queue     `cbor:"2,keyasint"`
	Services   []string    `cbor:"3,keyasint"`
	Workspaces []Workspace `cbor:"4,keyasint"`
	Source     []byte      `cbor:"5,keyasint"` // the document as the operator sent it
}

// Queue returns the queue with the given name.
func (c Configuration) Queue(name string) (Queue, bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// Route returns the queue of the longest prefix that path begins with.
func (c Configuration) Route(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}

// Workspace returns the workspace with the given name.
func (c Configuration) Workspace(name string) (Workspace, bool) {
	i := slices.IndexFunc(c.Workspaces, func(w Workspace) bool { return w.Name == name })
	if i < 0 {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// Holder returns the workspace that a key belongs to.
func (c Configuration) Holder(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	i := slices.IndexFunc(c.Workspaces, func(w Workspace) bool { return slices.ContainsFunc(w.Keys, equalsKey(key)) })
	if i < 0 {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// equalsKey compares keys in constant time, so that the time of a refusal tells nothing of them.
func equalsKey(key string) func(string) bool {
	return func(other string) bool { return subtle.ConstantTimeCompare([]byte(key), []byte(other)) == 1 }
}

// Check reports why the configuration cannot be used.
func (c Configuration) Check() error {
	places := map[string]bool{}
	for _, q := range c.Queues {
		if !slices.Contains(c.Services, q.Service) {
			return fmt.Errorf("queue %q names the unknown service %q", q.Name, q.Service)
		}
		place := q.Host + " " + q.Prefix
		if places[place] {
			return fmt.Errorf("queue %q shares its host and prefix with another", q.Name)
		}
		places[place] = true
	}
	return c.checkKeys()
}

func (c Configuration) checkKeys() error {
	owners := map[string]string{}
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			if owner, taken := owners[key]; taken && owner != w.Name {
				return errors.New("workspaces " + owner + " and " + w.Name + " share a key")
			}
			owners[key] = w.Name
		}
	}
	return nil
}
