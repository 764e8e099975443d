// Package balancer answers the platform's balancer: whether the process lives, and whether it wants new connections.
package balancer
