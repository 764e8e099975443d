// Package estimator estimates the run times of jobs and tasks from observed run times and from declarations. Estimates
// may order work and weigh choices, but safety must never depend on them.
package estimator
