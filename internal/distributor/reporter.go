package distributor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

const (
	resendInterval = time.Second
	maxReportBatch = 512
)

// reporter proposes the reports of members in batches. If the state still lacks a report after resendInterval, the next
// call to Hub.reportChanges adds it again. mu guards both maps, which are keyed by reportKey.
type reporter struct {
	client proposer
	log    logger.Logger

	mu      sync.Mutex
	pending map[string]scheduler.Event
	sent    map[string]time.Time
	ready   chan struct{}
}

func newReporter(client proposer, log logger.Logger) *reporter {
	return &reporter{
		client: client, log: log, ready: make(chan struct{}, 1),
		pending: map[string]scheduler.Event{}, sent: map[string]time.Time{},
	}
}

// add queues a report unless it was sent within resendInterval.
func (r *reporter) add(e scheduler.Event) {
	key := reportKey(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.sent[key]) < resendInterval {
		return
	}
	r.pending[key] = e
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

func reportKey(e scheduler.Event) string {
	switch {
	case e.MemberArmed != nil:
		return fmt.Sprintf("armed %s %d %s", e.MemberArmed.Job, e.MemberArmed.Attempt, e.MemberArmed.Worker)
	case e.MemberRefused != nil:
		return fmt.Sprintf("refused %s %d %s", e.MemberRefused.Job, e.MemberRefused.Attempt, e.MemberRefused.Worker)
	case e.WorkerDrained != nil:
		return "drained " + e.WorkerDrained.Worker
	default:
		return fmt.Sprintf("ended %s %d %s", e.MemberEnded.Job, e.MemberEnded.Attempt, e.MemberEnded.Worker)
	}
}

// nextBatch removes up to maxReportBatch pending reports and marks them as sent.
func (r *reporter) nextBatch() []scheduler.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch []scheduler.Event
	now := time.Now()
	for key, e := range r.pending {
		if len(batch) == maxReportBatch {
			break
		}
		batch = append(batch, e)
		delete(r.pending, key)
		r.sent[key] = now
	}
	for key, at := range r.sent {
		if now.Sub(at) > resendInterval {
			delete(r.sent, key)
		}
	}
	return batch
}

func (r *reporter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.ready:
		}
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			if _, err := r.client.Propose(ctx, registrar.Command{Events: batch}); err != nil {
				r.log.Log(logger.ReportFailed, logger.F("reports", len(batch)), logger.F("error", err))
				break
			}
		}
	}
}
