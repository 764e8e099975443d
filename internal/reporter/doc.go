// Package reporter turns replays into figures: tables that compare policies, and plots of how accelerators were used.
package reporter
