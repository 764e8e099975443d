// Package authenticator knows who calls by bearer token. Tokens come from files and are never logged.
package authenticator
