// Package prover holds system tests of the guarantees to callers. They start daemons and stand-ins as separate
// processes on loopback, kill, suspend and disconnect them, and compare the responses to callers with the journals of
// the stand-ins. One short test always runs. The long tests have the build tag "proof" and run with make prove.
package prover
