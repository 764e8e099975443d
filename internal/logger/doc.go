// Package logger writes structured logs of numbered events. Every event is declared in the catalogue, from which
// docs/events.md is generated.
package logger
