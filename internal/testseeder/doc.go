// Package testseeder makes property tests deterministic: every run of a test binary generates the same cases unless it
// is given a seed, so that a change passes or fails the same way each time.
package testseeder
