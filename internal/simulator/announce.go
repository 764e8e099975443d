package simulator

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

// announcePeriodically sends the current announcement to the agent at address every second until ctx ends.
func announcePeriodically(ctx context.Context, address string, current func() agent.Announcement) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = announceOnce(ctx, address, current()) // an error is ignored: the next tick sends it again
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
		return fmt.Errorf("create announcement request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send announcement: %w", err)
	}
	return resp.Body.Close()
}
