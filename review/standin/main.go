// Command standin plays one case of the review: it starts the project's own programs as separate
// processes on loopback, with stand-ins for the platform, the workers and the consumers, and checks
// one rule by what these have seen.
//
// # Usage
//
//	standin CASE REPOSITORY RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// result is the outcome of a case: what breaks the rule, or nothing.
type result struct {
	broken []string
}

// runTime bounds a case.
const runTime = 115 * time.Second

type playFunc func(rec *recorder, repo, dir string, trouble bool) (result, error)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		return 2
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		return 2
	}
	repo, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	// The processes get SIGKILL when this one ends.
	time.AfterFunc(runTime, func() {
		rec.printf("the case took too long")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	res, err := play(rec, repo, dir, trouble)
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	case len(res.broken) > 0:
		for _, b := range res.broken {
			rec.printf("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
