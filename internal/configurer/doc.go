// Package configurer defines the settings of the daemon. Flags, environment variables, validation and docs/settings.md
// all derive from one table.
package configurer
