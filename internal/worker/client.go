package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/lagoonmill/lagoonmill/internal/placer"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// The states of tasks at the platform.
const (
	StateRunning  = "running"
	StateFinished = "finished"
	StateFailed   = "failed"
	StateStopped  = "stopped" // by a call, or because its lease ended
)

const maxAnswerBytes = 4 << 20

// Task is what the platform is asked to run; it stops the task by itself when the lease ends.
type Task struct {
	ID           string            `json:"id"`
	Members      int               `json:"members"`
	Accelerators int               `json:"accelerators"` // per member
	Cores        int               `json:"cores"`        // per member
	Payload      string            `json:"payload"`
	Resume       timekeeper.Millis `json:"resume-millis"` // run time kept by earlier checkpoints
	Lease        timekeeper.Millis `json:"lease-millis"`
}

// TaskState is what the platform tells of a task. Usage lags behind what the task does.
type TaskState struct {
	ID            string            `json:"id"`
	State         string            `json:"state"`
	Ran           timekeeper.Millis `json:"ran-millis"`
	Reason        string            `json:"reason,omitempty"`
	UsedCores     float64           `json:"used-cores"`
	DeclaredCores int               `json:"declared-cores"` // of all members
}

// Tasks is the platform's list of tasks; Version grows with every change of a state.
type Tasks struct {
	Version uint64      `json:"version"`
	Tasks   []TaskState `json:"tasks"`
}

// Renewal extends the leases of several tasks at once.
type Renewal struct {
	Leases map[string]timekeeper.Millis `json:"leases"` // task to span from now
}

// CheckpointResult tells the run time of this task that the checkpoint keeps.
type CheckpointResult struct {
	Saved timekeeper.Millis `json:"saved-millis"`
}

// A StatusError is an HTTP status other than success.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and what the platform said.
func (e *StatusError) Error() string {
	return fmt.Sprintf("worker interface answered %d: %s", e.Status, e.Text)
}

// Client calls the worker interface at one address, host:port. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the worker interface at address.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address + "/v1", http: &http.Client{}}
}

// Describe returns the worker as the platform declares it.
func (c *Client) Describe(ctx context.Context) (placer.Worker, error) {
	var w placer.Worker
	err := c.call(ctx, http.MethodGet, "/worker", nil, &w)
	return w, err
}

// Run starts a task.
func (c *Client) Run(ctx context.Context, t Task) error {
	return c.call(ctx, http.MethodPost, "/tasks", t, nil)
}

// Renew extends the leases of tasks.
func (c *Client) Renew(ctx context.Context, r Renewal) error {
	return c.call(ctx, http.MethodPost, "/renew", r, nil)
}

// Checkpoint saves a task's progress and returns the run time kept.
func (c *Client) Checkpoint(ctx context.Context, id string) (timekeeper.Millis, error) {
	var r CheckpointResult
	err := c.call(ctx, http.MethodPost, "/tasks/"+url.PathEscape(id)+"/checkpoint", struct{}{}, &r)
	return r.Saved, err
}

// Throttle bounds a task's cores.
func (c *Client) Throttle(ctx context.Context, id string, cores int) error {
	return c.call(ctx, http.MethodPost, "/tasks/"+url.PathEscape(id)+"/throttle", map[string]int{"cores": cores}, nil)
}

// Stop ends a task; stopping one that has ended is no error.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, "/tasks/"+url.PathEscape(id)+"/stop", struct{}{}, nil)
}

// Tasks returns all tasks once their version is above after, or when wait is over.
func (c *Client) Tasks(ctx context.Context, after uint64, wait timekeeper.Millis) (Tasks, error) {
	var t Tasks
	query := url.Values{
		"after":       {strconv.FormatUint(after, 10)},
		"wait-millis": {strconv.FormatInt(int64(wait), 10)},
	}
	err := c.call(ctx, http.MethodGet, "/tasks?"+query.Encode(), nil, &t)
	return t, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode call: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("make call: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call worker interface: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read answer of worker interface: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{resp.StatusCode, string(data)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("parse answer of worker interface: %w", err)
	}
	return nil
}
