// Package limiter admits requests to an entry by priority class and, within a class, by weighted fair sharing among
// workspaces. It refuses requests at once that would miss their deadline in the queue.
package limiter
