// Package authenticator identifies callers by bearer token. Tokens are read from a file and never logged.
package authenticator
