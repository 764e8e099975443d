// Package balancer serves the health checks of the platform's load balancer: liveness and readiness of the process.
package balancer
