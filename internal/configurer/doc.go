// Package configurer holds the settings of the daemon: one table gives the flags, the environment variables, the
// checks and the page docs/settings.md.
package configurer
