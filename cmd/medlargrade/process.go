package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/process"
)

// entryCommand runs an entry process.
type entryCommand struct {
	Settings string                `long:"settings" description:"JSON file with the settings; flags take precedence over it"`
	Flags    process.EntrySettings `group:"Settings"`
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *entryCommand) Execute([]string) error {
	hup := reloadSignals()
	set, err := c.settings()
	if err != nil {
		return err
	}
	read := func() (process.Settings, error) { return c.settings() }
	return serve(c.Settings, set.Name, set, read, hup, func(ctx context.Context, log zerolog.Logger) error {
		return process.RunEntry(ctx, set, process.TCP(), log)
	})
}

// settings returns the checked settings of the file and the flags.
func (c *entryCommand) settings() (process.EntrySettings, error) {
	set := process.DefaultEntrySettings()
	err := loadSettings(c.Settings, &set, &c.Flags)
	return set, err
}

// targetCommand runs a target process.
type targetCommand struct {
	Settings string                 `long:"settings" description:"JSON file with the settings; flags take precedence over it"`
	Flags    process.TargetSettings `group:"Settings"`
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *targetCommand) Execute([]string) error {
	hup := reloadSignals()
	set, err := c.settings()
	if err != nil {
		return err
	}
	read := func() (process.Settings, error) { return c.settings() }
	return serve(c.Settings, set.Name, set, read, hup, func(ctx context.Context, log zerolog.Logger) error {
		return process.RunTarget(ctx, set, process.TCP(), log)
	})
}

// settings returns the checked settings of the file and the flags.
func (c *targetCommand) settings() (process.TargetSettings, error) {
	set := process.DefaultTargetSettings()
	err := loadSettings(c.Settings, &set, &c.Flags)
	return set, err
}

// reloadSignals returns a channel of requests to read the settings again. Without it, the
// signal ends the process, so it is to be called first.
func reloadSignals() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// serve runs a process with its log and takes changes of its settings.
func serve(path, name string, set process.Settings, read func() (process.Settings, error), hup <-chan os.Signal,
	run func(context.Context, zerolog.Logger) error,
) error {
	logger := process.NewLogger(os.Stdout, name, set.LogSettings())
	defer logger.Close()
	ctx, cancel := shutdownContext()
	defer cancel()
	r := &process.Reloader{Path: path, Read: read, Logger: logger, Signal: hup}
	go r.Run(ctx, set)
	return run(ctx, logger.Log)
}

// settings are the settings of a process.
type settings interface {
	Check() error
}

// loadSettings fills set from the file, lays the flags over it and checks the
// whole. Both set and flags point to the same type of struct.
func loadSettings(path string, set, flags settings) error {
	if err := process.ReadSettings(path, set); err != nil {
		return &ExitError{ExitInvalid, err}
	}
	overrideSettings(set, flags)
	if err := set.Check(); err != nil {
		return &ExitError{ExitInvalid, err}
	}
	return nil
}
