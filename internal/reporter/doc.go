// Package reporter computes metrics of replays, and renders them as tables that compare policies and as plots of the
// accelerators in use.
package reporter
