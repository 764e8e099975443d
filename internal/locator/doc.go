// Package locator finds the control replica that leads and sends calls to it. It starts from configured addresses and
// learns others from every reply, so that all replicas may be replaced over time.
//
// Every call must be idempotent: a call without an answer is repeated, at another replica if need be, until its context
// ends or a limit is reached.
package locator
