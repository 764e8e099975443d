// Command standin-2 plays the cases of the second review: it starts a small deployment on loopback addresses, with
// stand-ins for runners, clients and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, runRunner(os.Args[2]))
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns its exit code.
func play(name, path string, trouble bool) int {
	known, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	r, err := openRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(r, known.runners)
	if c != nil {
		defer c.stop()
		stopOnSignal(c)
	}
	var broken string
	if err == nil {
		broken, err = known.play(c, trouble)
	}
	switch {
	case err != nil:
		r.add("result  not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		r.add("result  broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("result  held")
	fmt.Println("held")
	return exitHeld
}

// stopOnSignal ends all processes of the case when it is interrupted.
func stopOnSignal(c *cluster) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.stop()
		os.Exit(exitNotRun)
	}()
}
