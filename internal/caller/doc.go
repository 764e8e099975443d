// Package caller serves requests of callers: it admits them, passes them to a backend server and gives back the
// whole answer, or an error that says whether the request ran.
package caller
