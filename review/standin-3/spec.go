package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const specJob = "9be2c41d07f5a368"

// oddSpec lets one caller hand in a job whose spec is text in an old encoding (ISO 8859-2), which JSON does not allow. It has
// to be refused; what a runner is told to start must be what the caller sent.
func oddSpec(ctx context.Context, c *cluster, trouble bool) (bool, error) {
	if err := c.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // every agent has attached its runner
	name := "Dvo\u0159\u00e1k"
	if trouble {
		name = "Dvo\xf8\xe1k"
	}
	body := `{"spec":"{'customer':'` + name + `'}","phases":[{"count":1,"cpu":4000,"memMb":4096,"gpu":1,"estimateMs":500}]}`
	sent := `{'customer':'` + name + `'}`
	status, err := c.post(ctx, "http://"+c.fronts[0].callers+routePrefix+specJob, body)
	if err != nil {
		return false, err
	}
	c.record.line("sent the spec %q -> %d", sent, status)
	if status >= http.StatusBadRequest {
		return false, nil
	}
	told := ""
	if !await(5*time.Second, func() bool { told = c.world.spec(specJob); return told != "" }) {
		return false, fmt.Errorf("no runner was told to start the job")
	}
	c.record.line("a runner was told to start the spec %q", told)
	return told != sent, nil
}

// post sends a body as it is, and returns the status.
func (c *cluster) post(ctx context.Context, url, body string) (int, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Host = routeHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Credential", tenantKey)
	q.Header.Set("X-Deadline-Ms", "3000")
	response, err := c.client.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	c.record.line("call POST %s -> %d %s", url, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, nil
}

// spec returns the spec of the last start of a job that a runner was told, or "".
func (w *world) spec(job string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job]
}
