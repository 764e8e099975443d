package admitter

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

// The reasons for which an entry refuses new work.
var (
	ErrUnconfirmed = errors.New("the entry has not read a confirmed state yet")
	ErrNoLease     = errors.New("the entry's configuration lease has ended")
	ErrStopping    = errors.New("the entry is stopping")
	ErrSwitching   = errors.New("the entry is switching presets")
)

// switchPollInterval is the pause between two checks whether a switch of presets has ended.
const switchPollInterval = 5 * time.Millisecond

// Admitter decides whether an entry may accept new work. It is safe for concurrent use.
type Admitter struct {
	machine   *registrar.Machine
	leaseHeld func() bool
	confirmed atomic.Bool
	draining  atomic.Bool
	stopping  atomic.Bool
}

// New returns an admitter for the configuration in machine. leaseHeld reports whether the configuration lease is held
// now.
func New(machine *registrar.Machine, leaseHeld func() bool) *Admitter {
	return &Admitter{machine: machine, leaseHeld: leaseHeld}
}

// AckedRevision returns the revision that the entry works with, or zero before Confirm. The entry accepts no new work
// while presets are switched, so that it complies with a newly chosen preset as soon as it knows of it.
func (a *Admitter) AckedRevision() uint64 {
	if !a.confirmed.Load() {
		return 0
	}
	return a.machine.State().Revision
}

// Confirm records that the state has reached an index that a quorum confirmed after the process started.
func (a *Admitter) Confirm() { a.confirmed.Store(true) }

// Drain makes Ready fail, so that the balancer sends nothing more. Work that still arrives is accepted.
func (a *Admitter) Drain() { a.draining.Store(true) }

// Draining reports whether Drain was called.
func (a *Admitter) Draining() bool { return a.draining.Load() }

// Stop makes the admitter refuse new work permanently.
func (a *Admitter) Stop() { a.stopping.Store(true) }

// Ready returns why the entry should get no new connections, or nil.
func (a *Admitter) Ready() error {
	if a.draining.Load() {
		return ErrStopping
	}
	return a.refusal()
}

func (a *Admitter) refusal() error {
	switch {
	case a.stopping.Load():
		return ErrStopping
	case !a.confirmed.Load():
		return ErrUnconfirmed
	case !a.leaseHeld():
		return ErrNoLease
	}
	return nil
}

// Admit waits until presets are not being switched and returns why new work is refused, or nil. It returns ErrSwitching
// if ctx ends before that.
func (a *Admitter) Admit(ctx context.Context) error {
	for {
		if err := a.refusal(); err != nil {
			return err
		}
		if !a.machine.State().Switching() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrSwitching
		case <-time.After(switchPollInterval):
		}
	}
}
