//go:build review

// Command standin3 plays the cases of review 3: it starts the stand-ins of the platform (store, engines, clients) in its
// own process and the daemons as processes of their own, all on loopback, and ends all that it started.
//
// Usage, in the root of the repository: standin3 CASE RECORD. With TROUBLE=0 in the environment the case is played without its disruption. Exit codes: 0
// the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitBroken    = 1
	exitCannotRun = 2

	topicOperators = "keyed.op"
	topicEngines   = "keyed.servers"
	topicGroups    = "keyed.groups"
)

var cases = map[string]func(*world) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	broken := cases[os.Args[1]](w)
	w.end()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
}

// running is the world of the case that is played; cannotRun ends it.
var running *world

func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", arguments...)
	if running != nil {
		running.end()
	}
	os.Exit(exitCannotRun)
}
