package replayer

import (
	"fmt"

	"github.com/lagoonmill/lagoonmill/internal/scheduler"
)

// Variant derives the policy of a replay from that of a preset: unchanged, replaced by a baseline, or with one
// mechanism disabled or replaced by a naive one.
type Variant struct {
	Name   string
	Kind   VariantKind
	Change func(scheduler.Policy) scheduler.Policy
}

// VariantKind is the role of a variant in a comparison.
type VariantKind uint8

// The kinds of variants.
const (
	KindUnchanged VariantKind = iota
	KindBaseline
	KindAblation
	KindNaive
)

// Names of variants.
const (
	Unchanged   = "lagoonmill"
	FirstCome   = "first-come-first-fit"
	Static      = "static-partition"
	CountQuota  = "count-quota"
	naiveCounts = "naive-count-guarantee"
	naiveTrust  = "naive-trust-run-times"
)

// baselinePolicy returns a change to first fit and the given guarantee mode. It keeps Grace, ArmTimeout, MaxFailures
// and HoldBatch of the policy and disables all other mechanisms.
func baselinePolicy(mode scheduler.GuaranteeMode) func(scheduler.Policy) scheduler.Policy {
	return func(p scheduler.Policy) scheduler.Policy {
		return scheduler.Policy{
			Guarantee: mode, FirstFit: true, Grace: p.Grace, ArmTimeout: p.ArmTimeout, MaxFailures: p.MaxFailures,
			HoldBatch: p.HoldBatch,
		}
	}
}

// Variants returns all variants, the unchanged policy first.
func Variants() []Variant {
	without := func(name string, change func(*scheduler.Policy)) Variant {
		return Variant{"without-" + name, KindAblation, func(p scheduler.Policy) scheduler.Policy {
			change(&p)
			return p
		}}
	}
	return []Variant{
		{Unchanged, KindUnchanged, func(p scheduler.Policy) scheduler.Policy { return p }},
		{FirstCome, KindBaseline, func(p scheduler.Policy) scheduler.Policy {
			q := baselinePolicy(scheduler.GuaranteeNone)(p)
			q.StrictOrder, q.IgnoreClasses = true, true
			return q
		}},
		{Static, KindBaseline, baselinePolicy(scheduler.GuaranteeStatic)},
		{CountQuota, KindBaseline, baselinePolicy(scheduler.GuaranteeCounts)},
		without("best-fit", func(p *scheduler.Policy) { p.FirstFit = true }),
		without("rebind", func(p *scheduler.Policy) { p.Rebind = false }),
		without("reservation", func(p *scheduler.Policy) { p.ReserveAfter = 0 }),
		without("defragment", func(p *scheduler.Policy) { p.Defragment = false }),
		without("shortest-first", func(p *scheduler.Policy) { p.ShortestFirst = false }),
		without("quarantine", func(p *scheduler.Policy) { p.QuarantineAfter = 0 }),
		{naiveTrust, KindNaive, func(p scheduler.Policy) scheduler.Policy {
			p.WaitBound = 1000 * p.WaitBound // reservations rely on declared run times
			p.Defragment = false
			return p
		}},
		{naiveCounts, KindNaive, func(p scheduler.Policy) scheduler.Policy {
			p.Guarantee = scheduler.GuaranteeCounts
			return p
		}},
	}
}

// FindVariant returns the variant with the given name.
func FindVariant(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, fmt.Errorf("unknown policy %q", name)
}
