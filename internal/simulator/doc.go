// Package simulator simulates the systems around lagoonmill for demonstrations and tests: a backend server, with
// injected faults if configured, and a worker of the platform. Both announce themselves to the agent on their host.
package simulator
