package main

import (
	"context"
	"os"
	"reflect"

	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/transport/platform"
)

// newEnv returns the environment of the config subcommands in a real process.
func newEnv() *Env {
	return &Env{
		Context: context.Background(),
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		OpenStore: func(url string) (rows.Store, error) {
			if err := process.CheckURL("platform", url); err != nil {
				return nil, err
			}
			return platform.New(process.TCP().HTTP, platform.Settings{Address: url}), nil
		},
	}
}

// commands returns the subcommands. Each one's settings are its flags.
func commands() []command {
	return []command{
		{"entry", "Run an entry process", "Serves callers, plans their jobs and dispatches them to targets.", &entryCommand{}},
		{"target", "Run a target process", "Runs tasks on the worker beside it and reports to the entries.", &targetCommand{}},
		{"site-entry", "Run an entry on the platform", "Serves callers and records their jobs.", &siteEntryCommand{}},
		{"site-target", "Run a target process on the platform", "Is the agent of the worker beside it, and may plan the shard.", &siteTargetCommand{}},
		{"config", "Review and apply the configuration", "Checks, compares, applies and shows the configuration of the site.", NewConfig(newEnv())},
		{"submit", "Submit a job", "Submits a job and waits for its outcome.", &submitCommand{}},
		{"job", "Look up a job", "Shows what is known of a job, and waits for its end if asked.", &jobCommand{}},
		{"cancel", "Cancel a job", "Asks for the end of a job.", &cancelCommand{}},
		{"list", "List the jobs of a workspace", "Lists the recorded jobs of a workspace in key order.", &listCommand{}},
		{"status", "Show targets, guarantees and queues", "Shows what an entry knows, as a table or as JSON.", &statusCommand{}},
		{"dump", "Dump the state of a process", "Prints the whole state of an entry or target process as JSON.", &dumpCommand{}},
		{"standin-platform", "Run a stand-in for the platform", "Serves a table service and an object store from memory, for tests and demonstrations.", &standinPlatformCommand{}},
		{"standin-worker", "Run a stand-in for a worker", "Serves a worker that runs tasks as their payload says, for tests and demonstrations.", &standinWorkerCommand{}},
	}
}

// overlay copies the fields of flags that are set over the settings in dst. Both
// are pointers to the same type of struct.
func overlay(dst, flags any) {
	d := reflect.ValueOf(dst).Elem()
	f := reflect.ValueOf(flags).Elem()
	for i := range f.NumField() {
		if !f.Field(i).IsZero() {
			d.Field(i).Set(f.Field(i))
		}
	}
}
