// Command standin plays the scripted cases of the review: it starts a small deployment of the project's own programs on
// loopback addresses, with stand-ins for the runners, the clients and the operator, and checks one rule.
//
//	standin CASE RECORD ROOT
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) (bool, error){
	"deregister": deregister,
	"pending":    pending,
	"manyends":   manyEnds,
	"silent":     silent,
	"firm":       firm,
}

const maxTime = 110 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD ROOT")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	c, err := newCluster(rec, os.Args[3])
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	code := 2
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.printf("the case could not run: %v", o.err)
		case o.broken:
			rec.printf("the rule was broken")
			code = 1
		default:
			rec.printf("the rule held")
			code = 0
		}
	case <-interrupted:
		rec.printf("interrupted")
	case <-time.After(maxTime):
		rec.printf("the case could not run: it took longer than %v", maxTime)
	}
	c.stop(os.Getenv("KEEP") != "")
	return code
}
