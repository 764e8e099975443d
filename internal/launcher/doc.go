// Package launcher assembles the roles of a daemon process, starts them and shuts them down gracefully.
package launcher
