// Package caller serves callers' requests over HTTP: it admits a request, forwards it to a backend server and returns
// the complete answer, or an error that says whether the request ran.
//
// A request that may run only once is claimed in the replicated log before it is forwarded. An attempt is one dispatch
// of it to one agent process; the log numbers the attempts. A new attempt is made only if the previous one is proved not
// to have started. If the outcome of an attempt is not known, the handler fences the attempt at its agent (see package
// agent).
package caller
