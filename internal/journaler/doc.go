// Package journaler stores a replica's log, votes and snapshots in one data directory.
//
// Each append writes one checksummed record and syncs it before it returns. Opening a journal truncates a torn last
// record. It fails if intact records follow a damaged one, since those records have been acknowledged.
package journaler
