// Package placer holds the topology as a tree of cells (worker, rack, availability zone, region, cluster) and places
// gangs in it. Its state is persistent: a change returns a new value that shares all unchanged parts with the old one.
package placer
