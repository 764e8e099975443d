// Package locator finds the control replica that leads and makes calls of it. It knows some addresses from the start
// and learns others from every answer, so that the replicas may all move in time.
//
// Every call must be idempotent: one without an answer is made again, of another replica if need be, until its time
// is over.
package locator
