// Package runner talks to a backend server: it passes a request on over HTTP and takes the whole answer, or tells
// what went wrong and whether the request may have run.
package runner
