// Package inspector checks the scheduler's state from outside: it computes anew, slowly and without the scheduler's own
// indexes, what must hold after every step.
package inspector
