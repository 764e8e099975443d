// Package timekeeper holds the clock type of the system: milliseconds, read from a monotonic, a wall or a manual clock.
package timekeeper
