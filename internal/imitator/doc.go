// Package imitator plays the outside of the system for demonstrations and tests: a backend server, with faults if
// wanted, and a worker of the platform. Both announce themselves to the agent beside them.
package imitator
