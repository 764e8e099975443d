// Package timekeeper defines times and durations in milliseconds, a monotonic, a wall and a manual clock, and calls that
// repeat in an interval.
package timekeeper
