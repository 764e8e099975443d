// Package runner is an HTTP client of backend servers. It forwards a request and returns the verified answer, or an
// error that says whether the request may have run.
package runner
