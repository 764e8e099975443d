// Command standin-3 plays the cases of the third review. It starts the project's own programs on loopback addresses and
// stands in for clients, the operator and runners.
//
// Its exit code is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	caseLimit  = 115 * time.Second
)

var cases = map[string]func(context.Context, *cluster, bool) (broken bool, err error){
	"gang-end": gangEnd,
	"odd-id":   oddID,
	"odd-spec": oddSpec,
	"spot":     spot,
}

func main() { os.Exit(play()) }

// play runs the case that the first argument names and writes its record to the path in the second one.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	c, err := newCluster(r, runnersOf[os.Args[1]])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.stop()
	broken, err := cases[os.Args[1]](ctx, c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.line("the rule was broken")
		return exitBroken
	}
	r.line("the rule held")
	return exitHeld
}
