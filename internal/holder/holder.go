package holder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

// Reasons for which an entry takes no new work.
var (
	ErrUnconfirmed = errors.New("the entry has not read a confirmed state yet")
	ErrNoLease     = errors.New("the entry's configuration lease has ended")
	ErrStopping    = errors.New("the entry is stopping")
	ErrSwitching   = errors.New("a preset is being switched")
)

const switchPollInterval = 5 * time.Millisecond

// Holder tells whether an entry may take new work. It is safe for concurrent use.
type Holder struct {
	machine   *registrar.Machine
	leaseHeld func() bool
	confirmed atomic.Bool
	draining  atomic.Bool
	stopping  atomic.Bool
}

// New returns a holder of the configuration in machine; leased tells whether the lease holds now.
func New(machine *registrar.Machine, leased func() bool) *Holder {
	return &Holder{machine: machine, leaseHeld: leased}
}

// Acked returns the revision that the entry works on. It takes no new work between two presets, so that it holds a
// chosen one from the moment it knows of it.
func (h *Holder) Acked() uint64 {
	if !h.confirmed.Load() {
		return 0
	}
	return h.machine.State().Revision
}

// Confirm notes that the state has reached an index that a quorum confirmed after the process started.
func (h *Holder) Confirm() { h.confirmed.Store(true) }

// Drain tells the balancer to send nothing more; what still comes is served.
func (h *Holder) Drain() { h.draining.Store(true) }

// Draining reports whether Drain was called.
func (h *Holder) Draining() bool { return h.draining.Load() }

// Stop makes the holder refuse new work for good.
func (h *Holder) Stop() { h.stopping.Store(true) }

// Ready returns why the entry wants no new connections, or nil.
func (h *Holder) Ready() error {
	if h.draining.Load() {
		return ErrStopping
	}
	return h.refusal()
}

func (h *Holder) refusal() error {
	switch {
	case h.stopping.Load():
		return ErrStopping
	case !h.confirmed.Load():
		return ErrUnconfirmed
	case !h.leaseHeld():
		return ErrNoLease
	}
	return nil
}

// Admit waits out a switch of presets and returns why new work is refused, or nil.
func (h *Holder) Admit(ctx context.Context) error {
	for {
		if err := h.refusal(); err != nil {
			return err
		}
		if !h.machine.State().Switching() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrSwitching
		case <-time.After(switchPollInterval):
		}
	}
}
