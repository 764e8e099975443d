// Package encoder encodes typed messages as CBOR and decodes them, for the journal, the log and the calls between
// processes.
package encoder
