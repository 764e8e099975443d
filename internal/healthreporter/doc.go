// Package healthreporter serves the health checks of the platform's load balancer: liveness and readiness of the
// process.
package healthreporter
