// Package seeder makes property tests repeatable: every run of a test binary draws the same cases unless it is given
// a seed, so that the verdict on a change is the same each time.
package seeder
