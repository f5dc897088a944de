package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/state/table"
)

// configTimeout bounds one subcommand. It must exceed the time of up to 17 s for which
// apply retries after a lost reply.
const configTimeout = time.Minute

// StoreFactory opens the store of the platform at a URL.
type StoreFactory func(url string) (table.Store, error)

// Env is the environment of the config subcommands.
type Env struct {
	Context   context.Context
	Stdin     io.Reader
	Stdout    io.Writer // results
	Stderr    io.Writer // problems, warnings and errors that explain the exit code
	OpenStore StoreFactory
}

// Config is the config subcommand. The CLI calls the version of the accepted
// configuration its generation.
type Config struct {
	Check ConfigCheck `command:"check" description:"Check a configuration file" long-description:"Prints everything that is wrong with the file, and warnings. Exit codes: 0 no problems, 2 problems, 1 other errors."`
	Diff  ConfigDiff  `command:"diff" description:"Compare a configuration file with the accepted configuration" long-description:"Prints one line per change and the generation compared with. Exit codes: 0 compared, 6 differences with --exit-code, 2 the file can't be parsed, 1 other errors."`
	Apply ConfigApply `command:"apply" description:"Make a configuration file the accepted configuration" long-description:"Applies the file if the accepted generation is the expected one. Exit codes: 0 accepted or no differences, 2 problems, 3 another change was accepted first, 5 the change may or may not be accepted, 1 other errors."`
	Show  ConfigShow  `command:"show" description:"Print the accepted configuration" long-description:"Exit codes: 0 printed, 1 errors."`
}

// NewConfig returns the config subcommand for an environment.
func NewConfig(env *Env) *Config {
	return &Config{
		Check: ConfigCheck{Env: env},
		Diff:  ConfigDiff{storeFlags: storeFlags{Env: env}},
		Apply: ConfigApply{storeFlags: storeFlags{Env: env}},
		Show:  ConfigShow{storeFlags: storeFlags{Env: env}},
	}
}

// fileArg is the positional argument FILE.
type fileArg struct {
	File string `positional-arg-name:"FILE" description:"configuration file, or - for standard input"`
}

// storeFlags are the flags of subcommands that use the store.
type storeFlags struct {
	*Env     `no-flag:"true"`
	Platform string `long:"platform" value-name:"URL" required:"true" description:"URL of the platform's table service and object store"`
}

// open returns the store and a context for one subcommand.
func (f storeFlags) open() (context.Context, context.CancelFunc, table.Store, error) {
	store, err := f.OpenStore(f.Platform)
	if err != nil {
		return nil, nil, nil, failure(err)
	}
	ctx, cancel := context.WithTimeout(f.Context, configTimeout)
	return ctx, cancel, store, nil
}

// printf ignores errors: the exit code reports how a subcommand ended, and a closed
// output must not change it.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// failure returns err with the exit code of a general failure.
func failure(err error) error { return &ExitError{Code: ExitFailed, Err: err} }

// readConfig parses a configuration file.
func (e *Env) readConfig(file string) (operator.Config, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(e.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return operator.Config{}, failure(fmt.Errorf("read configuration: %w", err))
	}
	cfg, err := operator.Parse(data)
	if err != nil {
		return operator.Config{}, &ExitError{Code: ExitInvalid, Err: fmt.Errorf("%s: %w", file, err)}
	}
	return cfg, nil
}

// printProblems prints the problems and warnings of a configuration and returns the
// number of problems.
func (e *Env) printProblems(cfg operator.Config) int {
	problems := cfg.Check()
	for _, p := range problems {
		printf(e.Stderr, "problem: %s\n", p)
	}
	for _, p := range cfg.Warnings() {
		printf(e.Stderr, "warning: %s\n", p)
	}
	return len(problems)
}

// printDiff prints the changes from the current configuration and returns their
// number.
func (e *Env) printDiff(current *configuration.Snapshot, cfg operator.Config) int {
	changes := operator.Diff(current.Config, cfg)
	for _, c := range changes {
		printf(e.Stdout, "%s\n", c)
	}
	if len(changes) == 0 {
		printf(e.Stdout, "no differences from generation %d\n", current.Version)
	} else {
		printf(e.Stdout, "%d changes from generation %d\n", len(changes), current.Version)
	}
	return len(changes)
}

// ConfigCheck is the subcommand config check.
type ConfigCheck struct {
	*Env `no-flag:"true"`
	Args fileArg `positional-args:"yes" required:"yes"`
}

// Execute checks a file. It does not use the store.
func (c *ConfigCheck) Execute([]string) error {
	cfg, err := c.readConfig(c.Args.File)
	if err != nil {
		return err
	}
	if n := c.printProblems(cfg); n > 0 {
		return &ExitError{Code: ExitInvalid, Err: fmt.Errorf("%s: %d problems", c.Args.File, n)}
	}
	guaranteed := 0
	for _, w := range cfg.Workspaces() {
		guaranteed += w.GuaranteedSlots()
	}
	printf(c.Stdout, "no problems: %d workers, %d of %d slots guaranteed, %d workspaces, %d kinds\n",
		cfg.Site().Workers(), guaranteed, cfg.Site().Slots(), len(cfg.Workspaces()), len(cfg.Kinds()))
	return nil
}

// ConfigDiff is the subcommand config diff.
type ConfigDiff struct {
	storeFlags
	ExitCode bool    `long:"exit-code" description:"exit with 6 if there are differences"`
	Args     fileArg `positional-args:"yes" required:"yes"`
}

// Execute compares a file with the accepted configuration.
func (c *ConfigDiff) Execute([]string) error {
	cfg, err := c.readConfig(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel, store, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	current, err := configuration.Read(ctx, store)
	if err != nil {
		return failure(err)
	}
	n := c.printDiff(current, cfg)
	c.printProblems(cfg)
	if n > 0 && c.ExitCode {
		return &ExitError{Code: ExitDifferences}
	}
	return nil
}

// ConfigApply is the subcommand config apply.
type ConfigApply struct {
	storeFlags
	Wait   process.Duration `long:"wait" default:"0s" description:"how long to wait until the platform answers, at most 1m"`
	Expect *uint64          `long:"expect" value-name:"N" description:"apply only if the accepted generation is N, as shown by diff (default: the generation at the start)"`
	Args   fileArg          `positional-args:"yes" required:"yes"`
}

// Execute applies a file.
func (c *ConfigApply) Execute([]string) error {
	cfg, err := c.readConfig(c.Args.File)
	if err != nil {
		return err
	}
	if n := c.printProblems(cfg); n > 0 {
		return &ExitError{Code: ExitInvalid, Err: fmt.Errorf("%s: %d problems, nothing applied", c.Args.File, n)}
	}
	ctx, cancel, store, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	current, err := readWithin(ctx, store, time.Duration(c.Wait))
	if err != nil {
		return failure(err)
	}
	expected := current.Version
	if c.Expect != nil {
		expected = *c.Expect
	}
	same := expected == current.Version && c.printDiff(current, cfg) == 0
	generation, err := configuration.Apply(ctx, store, expected, cfg)
	var conflict *configuration.VersionConflictError
	var unknown *configuration.OutcomeUnknownError
	switch {
	case err == nil && same:
		return nil
	case err == nil:
		printf(c.Stdout, "generation %d accepted\n", generation)
		return nil
	case errors.As(err, &conflict):
		found := fmt.Sprint("found generation ", conflict.Found)
		if conflict.Found == 0 {
			found = "but none has been applied"
		}
		return &ExitError{Code: ExitConflict, Err: fmt.Errorf("expected generation %d, %s: nothing applied; run diff again", conflict.Expected, found)}
	case errors.As(err, &unknown):
		return &ExitError{Code: ExitUnknown, Err: fmt.Errorf("%w; run diff once the store is back: no differences mean that it is accepted", err)}
	}
	return failure(err)
}

// readWithin reads the accepted configuration. It repeats the read for up to wait while the
// platform does not answer.
func readWithin(ctx context.Context, store table.Store, wait time.Duration) (*configuration.Snapshot, error) {
	end := time.Now().Add(wait)
	for {
		current, err := configuration.Read(ctx, store)
		if err == nil || time.Now().Add(retryPause).After(end) || !pause.For(ctx, retryPause) {
			return current, err
		}
	}
}

// ConfigShow is the subcommand config show.
type ConfigShow struct {
	storeFlags
	Generation bool   `long:"generation" description:"print only the number of the accepted generation"`
	At         uint64 `long:"at" value-name:"N" description:"print generation N instead of the accepted one"`
}

// Execute prints the accepted configuration, an earlier one or the number of the
// accepted generation.
func (c *ConfigShow) Execute([]string) error {
	ctx, cancel, store, err := c.open()
	if err != nil {
		return err
	}
	defer cancel()
	var snapshot *configuration.Snapshot
	if c.At > 0 {
		snapshot, err = configuration.ReadAt(ctx, store, c.At)
	} else {
		snapshot, err = configuration.Read(ctx, store)
	}
	switch {
	case err != nil:
		return failure(err)
	case c.Generation:
		printf(c.Stdout, "%d\n", snapshot.Version)
		return nil
	case snapshot.Version == 0:
		return failure(errors.New("no configuration has been applied"))
	}
	if _, err := c.Stdout.Write(snapshot.Config.JSON()); err != nil {
		return failure(fmt.Errorf("print configuration: %w", err))
	}
	return nil
}
