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
	settings, err := c.loadSettings()
	if err != nil {
		return err
	}
	read := func() (process.Settings, error) { return c.loadSettings() }
	return serve(c.Settings, settings.Name, settings, read, hup, func(ctx context.Context, log zerolog.Logger) error {
		return process.RunEntry(ctx, settings, process.TCP(), log)
	})
}

// loadSettings returns the checked settings from the file and the flags.
func (c *entryCommand) loadSettings() (process.EntrySettings, error) {
	settings := process.DefaultEntrySettings()
	err := readSettings(c.Settings, &settings, &c.Flags)
	return settings, err
}

// targetCommand runs a target process.
type targetCommand struct {
	Settings string                 `long:"settings" description:"JSON file with the settings; flags take precedence over it"`
	Flags    process.TargetSettings `group:"Settings"`
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *targetCommand) Execute([]string) error {
	hup := reloadSignals()
	settings, err := c.loadSettings()
	if err != nil {
		return err
	}
	read := func() (process.Settings, error) { return c.loadSettings() }
	return serve(c.Settings, settings.Name, settings, read, hup, func(ctx context.Context, log zerolog.Logger) error {
		return process.RunTarget(ctx, settings, process.TCP(), log)
	})
}

// loadSettings returns the checked settings from the file and the flags.
func (c *targetCommand) loadSettings() (process.TargetSettings, error) {
	settings := process.DefaultTargetSettings()
	err := readSettings(c.Settings, &settings, &c.Flags)
	return settings, err
}

// reloadSignals returns a channel that receives SIGHUP, the request to reload the
// settings. It must be called first: an unhandled SIGHUP terminates the process.
func reloadSignals() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// serve runs a process with its logger and reloads its settings when they change.
func serve(path, name string, settings process.Settings, read func() (process.Settings, error), hup <-chan os.Signal,
	run func(context.Context, zerolog.Logger) error,
) error {
	logger := process.NewLogger(os.Stdout, name, settings.LogSettings())
	defer logger.Close()
	ctx, cancel := shutdownContext()
	defer cancel()
	r := &process.Reloader{Path: path, Read: read, Logger: logger, Signal: hup}
	go r.Run(ctx, settings)
	return run(ctx, logger.Log)
}

// checker is implemented by the settings of a process.
type checker interface {
	Check() error
}

// readSettings reads the file into dst, overrides it with flags and checks the result.
// Both dst and flags are pointers to the same struct type.
func readSettings(path string, dst, flags checker) error {
	if err := process.ReadSettings(path, dst); err != nil {
		return &ExitError{ExitInvalid, err}
	}
	overrideSettings(dst, flags)
	if err := dst.Check(); err != nil {
		return &ExitError{ExitInvalid, err}
	}
	return nil
}
