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

// The states of a task at the platform.
const (
	StateRunning  = "running"
	StateFinished = "finished"
	StateFailed   = "failed"
	StateStopped  = "stopped" // by Stop, or because its lease expired
)

const maxAnswerBytes = 4 << 20

// Task is a task for the platform to run. The platform stops the task when its lease expires.
type Task struct {
	ID           string            `json:"id"`
	Members      int               `json:"members"`
	Accelerators int               `json:"accelerators"` // per member
	Cores        int               `json:"cores"`        // per member
	Payload      string            `json:"payload"`
	Resume       timekeeper.Millis `json:"resume-millis"` // run time saved by earlier checkpoints, to resume from
	Lease        timekeeper.Millis `json:"lease-millis"`
}

// TaskState is the state of a task as the platform reports it. Its usage lags behind the actual usage.
type TaskState struct {
	ID            string            `json:"id"`
	State         string            `json:"state"`
	Ran           timekeeper.Millis `json:"ran-millis"`
	Reason        string            `json:"reason,omitempty"`
	UsedCores     float64           `json:"used-cores"`
	DeclaredCores int               `json:"declared-cores"` // of all members
}

// Tasks is the platform's list of tasks. Version increases with every change of a task's state.
type Tasks struct {
	Version uint64      `json:"version"`
	Tasks   []TaskState `json:"tasks"`
}

// Renewal extends the leases of several tasks at once.
type Renewal struct {
	Leases map[string]timekeeper.Millis `json:"leases"` // task id to the new lease's duration, from receipt
}

// CheckpointResult holds the run time of this task that a checkpoint saved.
type CheckpointResult struct {
	Saved timekeeper.Millis `json:"saved-millis"`
}

// A StatusError is an answer with an HTTP status other than 2xx.
type StatusError struct {
	Status int
	Text   string
}

// Error returns a message with the status and the body of the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("worker interface answered %d: %s", e.Status, e.Text)
}

// Client calls the worker interface at one address, host:port. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the worker interface at address, host:port.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address + "/v1", http: &http.Client{}}
}

// Describe returns the worker's identity and capacity as the platform declares them.
func (c *Client) Describe(ctx context.Context) (placer.Worker, error) {
	var w placer.Worker
	err := c.call(ctx, http.MethodGet, "/worker", nil, &w)
	return w, err
}

// Run starts a task.
func (c *Client) Run(ctx context.Context, t Task) error {
	return c.call(ctx, http.MethodPost, "/tasks", t, nil)
}

// Renew extends the leases of several tasks.
func (c *Client) Renew(ctx context.Context, r Renewal) error {
	return c.call(ctx, http.MethodPost, "/renew", r, nil)
}

// Checkpoint saves a task's progress and returns the run time of this task that it saved.
func (c *Client) Checkpoint(ctx context.Context, id string) (timekeeper.Millis, error) {
	var r CheckpointResult
	err := c.call(ctx, http.MethodPost, "/tasks/"+url.PathEscape(id)+"/checkpoint", struct{}{}, &r)
	return r.Saved, err
}

// Throttle limits the cores that a task may use.
func (c *Client) Throttle(ctx context.Context, id string, cores int) error {
	return c.call(ctx, http.MethodPost, "/tasks/"+url.PathEscape(id)+"/throttle", map[string]int{"cores": cores}, nil)
}

// Stop stops a task. It is no error if the task has already ended.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, "/tasks/"+url.PathEscape(id)+"/stop", struct{}{}, nil)
}

// Tasks is a long poll: it returns all tasks once their version exceeds after, or when wait has passed.
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
