// Package commander is the command lines of the three programs.
package commander
