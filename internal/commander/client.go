package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/operator"
	"github.com/lagoonmill/lagoonmill/internal/recorder"
)

const (
	requestTimeout  = 20 * time.Second
	maxAttempts     = 10
	retryInterval   = 300 * time.Millisecond
	maxResponseSize = 64 << 20 // bytes
)

// apiClient calls the administration API. When an entry cannot be reached or is unavailable, it retries at the next one;
// every change carries a command id, so that retries are idempotent.
type apiClient struct {
	servers    []string
	token      string
	httpClient *http.Client
	current    int // index of the entry to call, modulo len(servers)
}

func newClient(c *cli.Command) (*apiClient, error) {
	path := c.String("token-file")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("--token-file: %w; want a file with one bearer token", err)
	}
	servers := strings.Split(c.String("server"), ",")
	return &apiClient{servers: servers, token: strings.TrimSpace(string(data)), httpClient: &http.Client{Timeout: requestTimeout}}, nil
}

// get sends a GET request for path and decodes the response into out.
func (a *apiClient) get(ctx context.Context, path string, out any) error {
	return a.call(ctx, http.MethodGet, path, nil, nil, out)
}

// mutate sends in to path and decodes the response into out; either may be nil. It generates a command id unless header
// has one.
func (a *apiClient) mutate(ctx context.Context, method, path string, header http.Header, in, out any) error {
	if header == nil {
		header = http.Header{}
	}
	if header.Get(operator.HeaderCommand) == "" {
		header.Set(operator.HeaderCommand, uuid.NewString())
	}
	return a.call(ctx, method, path, header, in, out)
}

func (a *apiClient) call(ctx context.Context, method, path string, header http.Header, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	var lastErr error
	for range maxAttempts {
		status, data, err := a.attempt(ctx, method, path, header, body)
		switch {
		case err == nil && status/100 == 2:
			return decodeResponse(data, out)
		case err == nil && !retryable(status):
			return responseError(status, data)
		case err == nil:
			lastErr = responseError(status, data)
		default:
			lastErr = &exitError{ExitUnavailable, err}
		}
		a.current++
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(retryInterval):
		}
	}
	return lastErr
}

// retryable reports whether a call with this response status may succeed at another entry or later at the same one.
func retryable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusBadGateway
}

func (a *apiClient) attempt(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	url := "http://" + a.servers[a.current%len(a.servers)] + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("create request: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+a.token)
	resp, err := a.httpClient.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("call entry: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return 0, nil, fmt.Errorf("read response: %w", err)
	}
	return resp.StatusCode, data, nil
}

func decodeResponse(data []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func responseError(status int, data []byte) error {
	var p operator.Problem
	if json.Unmarshal(data, &p) != nil || p.Error == "" {
		p.Error = fmt.Sprintf("entry returned status %d: %s", status, bytes.TrimSpace(data))
	}
	code := ExitFailed
	switch status {
	case http.StatusBadRequest:
		code = ExitUsage
	case http.StatusConflict, http.StatusUnprocessableEntity, http.StatusForbidden, http.StatusUnauthorized:
		code = ExitRefused
	case http.StatusNotFound:
		code = ExitNotFound
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		code = ExitUnavailable
	}
	return &exitError{code, errors.New(p.Error)}
}

// readRecording reads a recording until ctx ends. A stream that ends earlier is an error, since the recording is then
// incomplete.
func (a *apiClient) readRecording(ctx context.Context, path string) ([]recorder.Line, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.servers[0]+path, nil)
	if err != nil {
		return nil, usageError("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+a.token)
	resp, err := (&http.Client{}).Do(req)
	if err != nil {
		return nil, &exitError{ExitUnavailable, fmt.Errorf("open recording: %w", err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
		return nil, responseError(resp.StatusCode, data)
	}
	var lines []recorder.Line
	for dec := json.NewDecoder(resp.Body); ; {
		var line recorder.Line
		if err := dec.Decode(&line); err != nil {
			if ctx.Err() != nil {
				return lines, nil
			}
			return nil, &exitError{ExitUnavailable, fmt.Errorf("recording interrupted: %w", err)}
		}
		lines = append(lines, line)
	}
}
