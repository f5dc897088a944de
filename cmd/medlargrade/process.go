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
	err := fillSettings(c.Settings, &set, &c.Flags)
	return set, err
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
	err := fillSettings(c.Settings, &set, &c.Flags)
	return set, err
}

// settings are the settings of a process.
type settings interface {
	Check() error
}

// fillSettings fills set from the file, lays the flags over it and checks the
// whole. Both set and flags point to the same type of struct.
func fillSettings(path string, set, flags settings) error {
	if err := process.ReadSettings(path, set); err != nil {
		return &ExitError{ExitProblems, err}
	}
	overlay(set, flags)
	if err := set.Check(); err != nil {
		return &ExitError{ExitProblems, err}
	}
	return nil
}
