package modeler

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// Queue holds the settings of jobs that are submitted under one host and path prefix.
type Queue struct {
	Name         string            `cbor:"1,keyasint"`
	Host         string            `cbor:"2,keyasint"`            // host name in requests
	Prefix       string            `cbor:"3,keyasint"`            // path prefix in requests
	Service      string            `cbor:"4,keyasint"`            // only workers of this service run the queue's tasks
	Priority     int               `cbor:"5,keyasint"`            // zero is the highest
	MaxAttempts  int               `cbor:"6,keyasint"`            // failed runs of a task that fail the job; zero for no limit
	Stretch      float64           `cbor:"7,keyasint"`            // objective, as a factor of the job's critical path
	Target       timekeeper.Millis `cbor:"8,keyasint"`            // added to the objective
	Public       bool              `cbor:"9,keyasint,omitempty"`  // calls need no valid key
	NeedsAdvisor bool              `cbor:"10,keyasint,omitempty"` // placements need the approval of the placement advisor
}

// Objective returns the time since submission within which a job with the given critical path should end.
func (q Queue) Objective(criticalPath timekeeper.Millis) timekeeper.Millis {
	return timekeeper.Millis(q.Stretch*float64(criticalPath)) + q.Target
}

// Workspace is a tenant with its API keys and its guaranteed accelerators.
type Workspace struct {
	Name         string   `cbor:"1,keyasint"`
	Keys         []string `cbor:"2,keyasint"`
	Accelerators int      `cbor:"3,keyasint,omitempty"` // guaranteed for urgent jobs at all times
}

// Configuration holds the settings that operators replace as a whole. It is immutable.
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

// Route returns the queue of the given host with the longest prefix of path.
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

// WorkspaceByKey returns the workspace that a key belongs to. The empty key belongs to none.
func (c Configuration) WorkspaceByKey(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	i := slices.IndexFunc(c.Workspaces, func(w Workspace) bool { return slices.ContainsFunc(w.Keys, equalsKey(key)) })
	if i < 0 {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// equalsKey returns a function that compares keys with the given one in constant time, so that response times reveal
// nothing about valid keys.
func equalsKey(key string) func(string) bool {
	return func(other string) bool { return subtle.ConstantTimeCompare([]byte(key), []byte(other)) == 1 }
}

// Check returns an error if the configuration is invalid.
func (c Configuration) Check() error {
	routes := map[string]bool{}
	for _, q := range c.Queues {
		if !slices.Contains(c.Services, q.Service) {
			return fmt.Errorf("queue %q refers to the unknown service %q", q.Name, q.Service)
		}
		route := q.Host + " " + q.Prefix
		if routes[route] {
			return fmt.Errorf("queue %q has the same host and prefix as another queue", q.Name)
		}
		routes[route] = true
		if err := q.check(); err != nil {
			return fmt.Errorf("queue %q: %w", q.Name, err)
		}
	}
	for _, w := range c.Workspaces {
		if w.Accelerators < 0 || w.Accelerators > maxAmount {
			return fmt.Errorf("workspace %q is guaranteed %d accelerators, want 0 to %d", w.Name, w.Accelerators, maxAmount)
		}
	}
	return c.checkKeys()
}

// maxStretch bounds the product of a stretch and a critical path.
const maxStretch = 1000

// check returns an error if objectives and ranks that are computed from the queue's settings could overflow.
func (q Queue) check() error {
	if q.Stretch < 0 || q.Stretch > maxStretch || q.Target < 0 || q.Target > maxSpan {
		return fmt.Errorf("the stretch must be from 0 to %d and the target from 0 to %d ms", maxStretch, maxSpan)
	}
	if q.Priority < -maxAmount || q.Priority > maxAmount || q.MaxAttempts < 0 {
		return errors.New("the priority or the number of attempts is out of range")
	}
	return nil
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
