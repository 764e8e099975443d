// Package router chooses the backend server for each request from an immutable snapshot, without locks.
package router
