// Package replayer runs traces of the scheduler's inputs against a policy and states what came of them. A trace is a
// txtar archive with the topology, the settings, the inputs and the stated outcomes; replays take no wall-clock time
// and give the same result each time.
package replayer
