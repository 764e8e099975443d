// Package recorder streams the inputs of a running cluster's scheduler to subscribers and converts recordings to
// traces.
package recorder
