// Package meter collects the metrics of a process: counters, gauges, and histograms by workspace and class.
package meter
