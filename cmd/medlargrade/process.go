package main

import (
	"github.com/medlargrade/medlargrade/process"
)

// entryCommand runs an entry process.
type entryCommand struct {
	Settings string                `long:"settings" description:"JSON file with the settings; flags take precedence over it"`
	Flags    process.EntrySettings `group:"Settings"`
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *entryCommand) Execute([]string) error {
	set, err := c.settings()
	if err != nil {
		return err
	}
	ctx, cancel := signals()
	defer cancel()
	return process.RunEntry(ctx, set, process.TCP(), process.NewLogger(set.LogLevel, set.Name))
}

// settings returns the checked settings of the file and the flags.
func (c *entryCommand) settings() (process.EntrySettings, error) {
	set := process.DefaultEntrySettings()
	if err := process.ReadSettings(c.Settings, &set); err != nil {
		return set, &ExitError{ExitProblems, err}
	}
	overlay(&set, &c.Flags)
	if err := set.Check(); err != nil {
		return set, &ExitError{ExitProblems, err}
	}
	return set, nil
}

// targetCommand runs a target process.
type targetCommand struct {
	Settings string                 `long:"settings" description:"JSON file with the settings; flags take precedence over it"`
	Flags    process.TargetSettings `group:"Settings"`
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *targetCommand) Execute([]string) error {
	set, err := c.settings()
	if err != nil {
		return err
	}
	ctx, cancel := signals()
	defer cancel()
	return process.RunTarget(ctx, set, process.TCP(), process.NewLogger(set.LogLevel, set.Name))
}

// settings returns the checked settings of the file and the flags.
func (c *targetCommand) settings() (process.TargetSettings, error) {
	set := process.DefaultTargetSettings()
	if err := process.ReadSettings(c.Settings, &set); err != nil {
		return set, &ExitError{ExitProblems, err}
	}
	overlay(&set, &c.Flags)
	if err := set.Check(); err != nil {
		return set, &ExitError{ExitProblems, err}
	}
	return set, nil
}
