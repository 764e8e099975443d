// Package prover shows the promises on separate processes: its tests start daemons and stand-ins on loopback, kill,
// freeze and cut them, and compare what callers were told with what the stand-ins noted. The short test always runs;
// the long ones carry the build tag "proof" and run with make prove.
package prover
