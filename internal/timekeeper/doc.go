// Package timekeeper defines times and durations in milliseconds, and a monotonic, a wall and a manual clock.
package timekeeper
