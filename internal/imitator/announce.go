package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/agent"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
)

// announceForever tells the agent at address again and again what runs beside it, until ctx ends.
func announceForever(ctx context.Context, address string, current func() agent.Announcement) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = announceOnce(ctx, address, current()) // an agent that is away is told again soon
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func announceOnce(ctx context.Context, address string, a agent.Announcement) error {
	data, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+agent.AnnouncePath, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("make announcement: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return resp.Body.Close()
}
