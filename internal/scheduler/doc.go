// Package scheduler decides which job runs where and when. It is a pure step function: an immutable state and an
// event give a new state and decisions. It does no I/O, reads no clock and uses no randomness, so that every
// replica of the log and every replay of a trace reaches the same decisions.
package scheduler
