// Package journaler keeps a replica's log, its votes and its snapshots on disk, under one data folder.
//
// Every append is one checksummed record and is synced before it returns. A torn last record is cut when the
// journal is opened; damage before intact records is refused, since those records had been acknowledged.
package journaler
