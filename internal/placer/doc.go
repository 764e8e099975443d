// Package placer keeps the topology as a tree of cells (worker, rack, availability zone, region, cluster) and finds
// places for gangs in it. Its state is immutable: a change returns a new value that shares what did not change.
package placer
