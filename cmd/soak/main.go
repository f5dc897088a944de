// Command soak injects random faults into real medlargrade processes and checks what
// callers and workers observe.
//
// # Usage
//
//	soak --binary bin/medlargrade --seed 7
//	soak --binary bin/medlargrade --seeds 50 --parallel 4
//
// It prints a line for each run. For a run with violations, it also prints these, the
// faults and the directory of the logs. It exits with 1 if any run has violations.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/soak"
)

type options struct {
	Binary   string        `long:"binary" default:"bin/medlargrade" description:"path of the medlargrade binary"`
	Logs     string        `long:"logs" description:"directory for settings and logs; a temporary one if missing"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of runs, each with the next seed"`
	Parallel int           `long:"parallel" default:"1" description:"number of concurrent runs"`
	Length   time.Duration `long:"length" default:"30s" description:"duration of the load"`
	Finish   time.Duration `long:"finish" default:"45s" description:"how long accepted jobs may take after the last fault"`
	Entries  int           `long:"entries" default:"2" description:"number of entry processes"`
	Targets  int           `long:"targets" default:"6" description:"number of target processes, each with a worker"`
	Callers  int           `long:"callers" default:"8" description:"number of callers; the first claims its guarantee"`
	Cuts     bool          `long:"planner-cuts" description:"inject no faults but cuts of the process that plans, with refused connections"`
	Restarts bool          `long:"worker-restarts" description:"inject no faults but restarts of workers behind cuts, of which some have other labels then"`
	ManyEnds bool          `long:"many-ends" description:"inject no fault but one change of the planner, beside more ends than a worker lists at a time"`
	Faults   bool          `long:"faults" description:"print the faults of each run"`
}

var errViolations = errors.New("some runs have violations")

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := o.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1) //nolint:gocritic // the deferred cancel is not needed
	}
}

func (o options) check() error {
	if o.Entries < 1 || o.Targets < 3 || o.Callers < 1 || o.Parallel < 1 || o.Length <= 0 || o.Finish <= 0 {
		return errors.New("a run needs at least 1 entry, 3 targets, 1 caller, 1 parallel run, and positive times")
	}
	if _, err := os.Stat(o.Binary); err != nil {
		return fmt.Errorf("medlargrade binary: %w", err)
	}
	return nil
}

func (o options) run(ctx context.Context) error {
	if err := o.check(); err != nil {
		return err
	}
	if o.Logs == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return fmt.Errorf("make directory for logs: %w", err)
		}
		o.Logs = dir
	}
	var mu sync.Mutex
	violated := false
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.Parallel)
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		g.Go(func() error {
			dir := filepath.Join(o.Logs, fmt.Sprint(seed))
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return fmt.Errorf("make directory for logs: %w", err)
			}
			r, err := soak.Run(ctx, soak.Config{
				Binary: o.Binary, Dir: dir, Seed: seed, Length: o.Length, Finish: o.Finish,
				Entries: o.Entries, Targets: o.Targets, Callers: o.Callers, PlannerCuts: o.Cuts, WorkerRestarts: o.Restarts, ManyEnds: o.ManyEnds,
			})
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			o.print(r, dir)
			violated = violated || len(r.Violations) > 0
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if violated {
		return errViolations
	}
	return nil
}

func (o options) print(r soak.Report, dir string) {
	fmt.Println(r)
	for _, v := range r.Violations {
		fmt.Println("    violation:", v)
	}
	if o.Faults || len(r.Violations) > 0 {
		for _, f := range r.Faults {
			fmt.Println("    fault at", f)
		}
		fmt.Println("    logs in", dir)
	}
}
