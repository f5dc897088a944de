//go:build review3

// Command site3 plays the cases of the third review. It starts the project's own programs as
// separate processes on loopback, with the project's stand-ins for the platform's store and the
// workers, brings about the disruption of one case and checks one rule by what the callers and the
// workers have seen.
//
// # Usage
//
//	target/review3 CASE RECORD
//
// CASE is the name of the case and RECORD the file for what was sent, answered and run. It exits with 1 if the
// rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds a case, in which all processes are started and ended.
const maxDuration = 115 * time.Second

// maxTries is how often the site is started until it serves.
const maxTries = 3

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// play plays a case on a site that serves.
type play func(ctx context.Context, s *site, trouble bool) error

// caseSpec is one case.
type caseSpec struct {
	settings siteSettings
	play     play
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		return 2
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", os.Args[1])
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", os.Args[1], trouble)
	s, err := newSite(ctx, c.settings, rec)
	for try := 1; err != nil && try < maxTries; try++ {
		// Another program may have taken one of the ports.
		rec.add("the site could not be started: %v", err)
		s.close()
		s, err = newSite(ctx, c.settings, rec)
	}
	if err == nil {
		err = c.play(ctx, s, trouble)
	}
	s.close()
	switch {
	case errors.Is(err, errBroken):
		rec.add("BROKEN: %v", err)
		return 1
	case err != nil:
		rec.add("could not run: %v", err)
		return 2
	}
	rec.add("HELD")
	return 0
}
