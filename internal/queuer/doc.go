// Package queuer holds queues that are bounded by the number and by the bytes of their items, so that a consumer that
// stands still cannot use up the memory of its process.
package queuer
