package main

import (
	"github.com/medlargrade/medlargrade/daemon"
	"github.com/medlargrade/medlargrade/process"
)

// siteEntryCommand runs an entry on the platform.
type siteEntryCommand struct {
	Settings string `long:"settings" required:"true" description:"JSON file with the settings"`
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *siteEntryCommand) Execute([]string) error {
	ctx, cancel := signals()
	defer cancel()
	set := daemon.DefaultEntrySettings()
	if err := readSettings(c.Settings, &set); err != nil {
		return err
	}
	return daemon.RunEntry(ctx, set, daemon.TCP(), process.NewLogger(set.LogLevel, set.Name))
}

// siteTargetCommand runs a target process on the platform.
type siteTargetCommand struct {
	Settings string `long:"settings" required:"true" description:"JSON file with the settings"`
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *siteTargetCommand) Execute([]string) error {
	ctx, cancel := signals()
	defer cancel()
	set := daemon.DefaultTargetSettings()
	if err := readSettings(c.Settings, &set); err != nil {
		return err
	}
	return daemon.RunTarget(ctx, set, daemon.TCP(), process.NewLogger(set.LogLevel, set.Name))
}

// readSettings fills and checks settings from a file.
func readSettings(path string, set settings) error {
	if err := process.ReadSettings(path, set); err != nil {
		return &ExitError{ExitProblems, err}
	}
	if err := set.Check(); err != nil {
		return &ExitError{ExitProblems, err}
	}
	return nil
}
