// Package commander implements the command lines of lagoonmilld, lagoonmill and lagoonmill-standin.
package commander
