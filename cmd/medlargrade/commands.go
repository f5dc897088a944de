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
	return platform.NewStore(process.TCP().HTTPClient(), url), nil
}

// newEnv returns an environment with the standard streams and the platform's store.
func newEnv() *Env {
	return &Env{
		Context:   context.Background(),
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		OpenStore: openStore,
	}
}

// commands returns the subcommands. The fields of their data are their flags.
func commands() []command {
	return []command{
		{"entry", "Run an entry process", "Serves callers and records their jobs.", &entryCommand{}},
		{"target", "Run a target process", "Runs the agent of one worker, and plans the site while no other target process does.", &targetCommand{}},
		{"config", "Review and apply the configuration", "Checks, compares, applies and shows the configuration of the site.", NewConfig(newEnv())},
		{"evacuate", "Evacuate a data centre", "Requests that nothing more be started in a data centre until the request is withdrawn with --release. Without a data centre it lists the requests. Exit codes: 0 recorded or listed, 2 an unknown data centre or the platform is the source of the configuration, 5 the change may or may not be recorded, 1 other errors.", &Evacuate{Env: newEnv()}},
		{"submit", "Submit a job", "Submits a job and waits for its outcome.", &submitCommand{}},
		{"job", "Look up a job", "Shows what is known of a job, and waits for its end if asked.", &jobCommand{}},
		{"cancel", "Cancel a job", "Requests the cancellation of a job.", &cancelCommand{}},
		{"list", "List the jobs of a workspace", "Lists the recorded jobs of a workspace in key order.", &listCommand{}},
		{"status", "Show targets, guarantees and jobs", "Shows the site as recorded in the store, as tables or as JSON. It changes nothing.", &statusCommand{}},
		{"dump", "Dump the state of a process", "Prints the whole state of an entry or target process as JSON.", &dumpCommand{}},
		{"place", "Tell where a job would be placed", "Asks the planner where a submission or a recorded job would be placed now, and why, without submitting it. Exit codes: 0 answered, also if an entry would refuse the submission, 2 an invalid submission, 5 the placement can't be known, 1 other errors.", &placeCommand{}},
		{"explain", "Tell what happened to a job", "Reads log lines of any number of processes and prints those about one job in order of time, with the gaps between them.", &explainCommand{}},
		{"experiment", "Play a load against the planner", "Plays the jobs of a load against the planner in simulated time, under one or more policies, and prints what callers get.", &experimentCommand{}},
		{"standin", "Run a stand-in for the platform", "Serves the platform's store and any number of workers from memory, for tests and demonstrations.", &standinCommand{}},
	}
}

// overrideSettings copies the fields of flags that are not zero to dst. Both are
// pointers to the same struct type.
func overrideSettings(dst, flags any) {
	d := reflect.ValueOf(dst).Elem()
	f := reflect.ValueOf(flags).Elem()
	for i := range f.NumField() {
		if !f.Field(i).IsZero() {
			d.Field(i).Set(f.Field(i))
		}
	}
}
