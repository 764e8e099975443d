// Package launcher puts the roles of a daemon process together, starts them and stops them gracefully.
package launcher
