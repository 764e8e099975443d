// Package caller serves callers' requests over HTTP: it admits a request, forwards it to a backend server and returns
// the complete answer, or an error that says whether the request ran.
package caller
