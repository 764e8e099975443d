// Package recorder passes on the inputs that a running cluster's scheduler gets, and makes traces of them.
package recorder
