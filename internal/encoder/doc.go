// Package encoder turns typed messages into bytes and back, for the journal, the log and the calls between processes.
package encoder
