package replayer

import (
	"fmt"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// Variant is a way to decide: a preset's policy as it is, one of the plain baselines, or the policy with one
// mechanism off.
type Variant struct {
	Name   string
	Kind   VariantKind
	Change func(scheduler.Policy) scheduler.Policy
}

// VariantKind tells what a variant is compared for.
type VariantKind uint8

// The kinds of variants.
const (
	KindOwn VariantKind = iota
	KindBaseline
	KindAblation
	KindNaive
)

// The names of variants that others refer to.
const (
	Own         = "lagoonmill"
	FirstCome   = "first-come-first-fit"
	Static      = "static-partition"
	CountQuota  = "count-quota"
	naiveCounts = "naive-count-guarantee"
	naiveTrust  = "naive-trust-run-times"
)

func plain(mode scheduler.GuaranteeMode) func(scheduler.Policy) scheduler.Policy {
	return func(p scheduler.Policy) scheduler.Policy {
		return scheduler.Policy{
			Guarantee: mode, FirstFit: true, Grace: p.Grace, ArmBound: p.ArmBound, MaxFailures: p.MaxFailures,
			HoldBatch: p.HoldBatch,
		}
	}
}

// Variants returns every variant, the own policy first.
func Variants() []Variant {
	off := func(name string, change func(*scheduler.Policy)) Variant {
		return Variant{"without-" + name, KindAblation, func(p scheduler.Policy) scheduler.Policy {
			change(&p)
			return p
		}}
	}
	return []Variant{
		{Own, KindOwn, func(p scheduler.Policy) scheduler.Policy { return p }},
		{FirstCome, KindBaseline, func(p scheduler.Policy) scheduler.Policy {
			q := plain(scheduler.GuaranteeNone)(p)
			q.StrictOrder, q.IgnoreClasses = true, true
			return q
		}},
		{Static, KindBaseline, plain(scheduler.GuaranteeStatic)},
		{CountQuota, KindBaseline, plain(scheduler.GuaranteeCounts)},
		off("best-fit", func(p *scheduler.Policy) { p.FirstFit = true }),
		off("rebind", func(p *scheduler.Policy) { p.Rebind = false }),
		off("reservation", func(p *scheduler.Policy) { p.ReserveAfter = 0 }),
		off("defragment", func(p *scheduler.Policy) { p.Defragment = false }),
		off("shortest-first", func(p *scheduler.Policy) { p.ShortestFirst = false }),
		off("quarantine", func(p *scheduler.Policy) { p.QuarantineAfter = 0 }),
		{naiveTrust, KindNaive, func(p scheduler.Policy) scheduler.Policy {
			p.WaitBound = 1000 * p.WaitBound // a reservation waits for run times to be as declared
			p.Defragment = false
			return p
		}},
		{naiveCounts, KindNaive, func(p scheduler.Policy) scheduler.Policy {
			p.Guarantee = scheduler.GuaranteeCounts
			return p
		}},
	}
}

// FindVariant returns the variant of the given name.
func FindVariant(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, fmt.Errorf("unknown policy %q", name)
}
