// Command stand plays the surroundings of a small deployment for the scripts of the review: the platform, the
// servers, the operator and the clients, all as the users' pages describe them, on loopback addresses. It
// starts the gateways with the command of the deploy file, and ends all that it has started.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. A case returns whether the rule held, and what it found.
var cases = map[string]func(c *cluster, trouble bool) (held bool, verdict string){
	"firststart": firstStart,
	"giveup":     giveUp,
	"limits":     limits,
}

func main() { os.Exit(run()) }

// run plays a case: stand CASE GATEWAY RECORD. It returns 0 if the rule held, 1 if not, and 2 if the case
// could not run.
func run() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE GATEWAY RECORD")
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	var c *cluster
	defer func() {
		if c != nil {
			c.stopAll()
		}
		if p := recover(); p != nil {
			if reason, ok := p.(cannotRun); ok {
				fmt.Fprintln(os.Stderr, "could not run:", reason.reason)
				status = 2
				return
			}
			panic(p)
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	c = newCluster(os.Args[2], dir, newRecord(os.Args[3]))
	type result struct {
		held    bool
		verdict string
		failure any
	}
	results := make(chan result, 1)
	go func() {
		var r result
		defer func() { r.failure = recover(); results <- r }()
		r.held, r.verdict = cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case <-stop:
		return 2
	case r := <-results:
		if r.failure != nil {
			panic(r.failure)
		}
		c.record.add("verdict: %s", r.verdict)
		fmt.Println(r.verdict)
		if !r.held {
			return 1
		}
	}
	return 0
}
