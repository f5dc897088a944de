// Command soak plays randomized faults against the real programs and checks what
// callers and workers see.
//
// # Usage
//
//	soak --binary bin/medlargrade --seed 7
//	soak --binary bin/medlargrade --seeds 50 --parallel 4
//
// It prints a line for each run, and the violations of the runs that have some with the
// directory of their logs. It exits with 1 if there are any.
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
	Binary   string        `long:"binary" default:"bin/medlargrade" description:"the programs"`
	Logs     string        `long:"logs" description:"directory for settings and logs; a temporary one if missing"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of runs, each with the next seed"`
	Parallel int           `long:"parallel" default:"1" description:"runs at a time"`
	Length   time.Duration `long:"length" default:"30s" description:"time of the load"`
	Finish   time.Duration `long:"finish" default:"45s" description:"time for accepted jobs after the last fault"`
	Entries  int           `long:"entries" default:"2" description:"entry processes"`
	Targets  int           `long:"targets" default:"6" description:"target processes, with a worker each"`
	Callers  int           `long:"callers" default:"8" description:"callers; the first claims its guarantee"`
	Faults   bool          `long:"faults" description:"print the faults of each run"`
}

var errViolations = errors.New("promises were broken")

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
		os.Exit(1) //nolint:gocritic // all has ended
	}
}

func (o options) check() error {
	if o.Entries < 1 || o.Targets < 3 || o.Callers < 1 || o.Parallel < 1 || o.Length <= 0 || o.Finish <= 0 {
		return errors.New("a run needs an entry, three targets, a caller, and times above zero")
	}
	if _, err := os.Stat(o.Binary); err != nil {
		return fmt.Errorf("the programs: %w", err)
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
				Entries: o.Entries, Targets: o.Targets, Callers: o.Callers,
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
		fmt.Println("    broken:", v)
	}
	if o.Faults || len(r.Violations) > 0 {
		for _, f := range r.Faults {
			fmt.Println("    fault at", f)
		}
		fmt.Println("    logs in", dir)
	}
}
