// Package admitter decides whether an entry may accept new work: it must hold the configuration lease, know a confirmed
// state, not be switching presets and not be stopping.
package admitter
