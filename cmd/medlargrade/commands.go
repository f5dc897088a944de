package main

import (
	"context"
	"os"
	"reflect"

	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/state/table"
)

// openStore returns the platform's store at a URL.
func openStore(url string) (table.Store, error) {
	if err := process.CheckURL("platform", url); err != nil {
		return nil, err
	}
	return platform.NewStore(process.TCP().HTTP(), url), nil
}

// newEnv returns the environment of the config subcommands in a real process.
func newEnv() *Env {
	return &Env{
		Context:   context.Background(),
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		OpenStore: openStore,
	}
}

// commands returns the subcommands. Each one's settings are its flags.
func commands() []command {
	return []command{
		{"entry", "Run an entry process", "Serves callers and records their jobs.", &entryCommand{}},
		{"target", "Run a target process", "Is the agent of the worker beside it, and plans the site while no other target process does.", &targetCommand{}},
		{"config", "Review and apply the configuration", "Checks, compares, applies and shows the configuration of the site.", NewConfig(newEnv())},
		{"submit", "Submit a job", "Submits a job and waits for its outcome.", &submitCommand{}},
		{"job", "Look up a job", "Shows what is known of a job, and waits for its end if asked.", &jobCommand{}},
		{"cancel", "Cancel a job", "Asks for the end of a job.", &cancelCommand{}},
		{"list", "List the jobs of a workspace", "Lists the recorded jobs of a workspace in key order.", &listCommand{}},
		{"status", "Show targets, guarantees and jobs", "Shows what the store says of the site, as a table or as JSON. It only reads.", &statusCommand{}},
		{"dump", "Dump the state of a process", "Prints the whole state of an entry or target process as JSON.", &dumpCommand{}},
		{"explain", "Tell what happened to a job", "Reads log lines of any number of processes and prints those that explain one job, in order of time, with the gaps.", &explainCommand{}},
		{"standin", "Run a stand-in for the platform", "Serves the platform's store and any number of workers from memory, for tests and demonstrations.", &standinCommand{}},
	}
}

// overrideSettings copies the fields of flags that are set over the settings in dst. Both
// are pointers to the same type of struct.
func overrideSettings(dst, flags any) {
	d := reflect.ValueOf(dst).Elem()
	f := reflect.ValueOf(flags).Elem()
	for i := range f.NumField() {
		if !f.Field(i).IsZero() {
			d.Field(i).Set(f.Field(i))
		}
	}
}
