// Package estimator learns how long jobs run from how long they ran. Its estimates order work and never decide
// what is safe.
package estimator
