// Site2 starts a small deployment of medlargrade on loopback: the project's processes, and
// stand-ins for the store, the workers and the clients. It plays a case and checks a rule.
//
// Usage: site2 CASE TROUBLE. MEDLARGRADE is the path of the program. What was sent, answered and run
// goes to the standard output. The exit status is 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run. TROUBLE is 1, or 0 to leave the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome of a case.
type outcome int

const (
	held outcome = iota
	broken
	notRun
)

type scenario struct {
	options options
	play    func(s *site, trouble bool) outcome
}

const caseTimeout = 115 * time.Second

func main() {
	if len(os.Args) != 3 || os.Args[2] != "0" && os.Args[2] != "1" {
		fmt.Fprintln(os.Stderr, "usage: site2 CASE TROUBLE, with TROUBLE 0 or 1")
		os.Exit(int(notRun))
	}
	c, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(int(notRun))
	}
	trouble := os.Args[2] == "1"
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	s, err := newSite(c.options)
	if err != nil {
		if s != nil {
			s.record("the case can't run: %v", err)
			s.close()
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	s.record("disruption: %t", trouble)
	result := make(chan outcome, 1)
	go func() { result <- c.play(s, trouble) }()
	var o outcome
	select {
	case o = <-result:
	case <-stopped:
		s.record("the case was stopped by a signal")
		o = notRun
	case <-time.After(caseTimeout - time.Since(s.started)):
		s.record("the case takes too long")
		o = notRun
	}
	s.record("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[o])
	s.close()
	os.Exit(int(o))
}
