// Package router chooses the backend server of a request from an immutable snapshot, without locks.
package router
