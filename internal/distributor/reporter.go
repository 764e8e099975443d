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
	reportAgainAfter = time.Second
	maxReportBatch   = 512
)

// reporter proposes members' reports in batches. A report that the state has not taken up after a while is added
// again by the next reconciliation. mu guards both maps.
type reporter struct {
	client proposer
	log    logger.Logger

	mu      sync.Mutex
	waiting map[string]scheduler.Event
	sent    map[string]time.Time
	ready   chan struct{}
}

func newReporter(client proposer, log logger.Logger) *reporter {
	return &reporter{
		client: client, log: log, ready: make(chan struct{}, 1),
		waiting: map[string]scheduler.Event{}, sent: map[string]time.Time{},
	}
}

// add queues a report, unless it was sent only just.
func (r *reporter) add(e scheduler.Event) {
	key := reportKey(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.sent[key]) < reportAgainAfter {
		return
	}
	r.waiting[key] = e
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

func (r *reporter) take() []scheduler.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch []scheduler.Event
	now := time.Now()
	for key, e := range r.waiting {
		if len(batch) == maxReportBatch {
			break
		}
		batch = append(batch, e)
		delete(r.waiting, key)
		r.sent[key] = now
	}
	for key, at := range r.sent {
		if now.Sub(at) > reportAgainAfter {
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
		for batch := r.take(); len(batch) > 0; batch = r.take() {
			if _, err := r.client.Propose(ctx, registrar.Command{Events: batch}); err != nil {
				r.log.Log(logger.ReportFailed, logger.F("reports", len(batch)), logger.F("error", err))
				break
			}
		}
	}
}
