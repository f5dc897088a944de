package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/medlargrade/medlargrade/coordination/overview"
	"github.com/medlargrade/medlargrade/process"
)

// operatorFlags are the flags of commands that query a process.
type operatorFlags struct {
	Process string `long:"process" env:"MEDLARGRADE_PROCESS" default:"http://127.0.0.1:8081" description:"URL of the process's operators' API"`
}

// queryTimeout bounds a request to the operators' API, and all reads of the store for
// one status.
const queryTimeout = 10 * time.Second

func (f operatorFlags) get(path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.Process+path, nil)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get %s: %s", path, resp.Status)
	}
	return body, nil
}

// dumpCommand prints the complete state of a process.
type dumpCommand struct {
	operatorFlags
}

// Execute prints the state as JSON.
func (c *dumpCommand) Execute([]string) error {
	body, err := c.get("/dump")
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(body)
	return err
}

// statusCommand shows the state of the site as recorded in the store.
type statusCommand struct {
	Platform string `long:"platform" env:"MEDLARGRADE_PLATFORM" default:"http://127.0.0.1:8400" description:"URL of the platform's store"`
	Config   string `long:"config" default:"applied" choice:"applied" choice:"platform" description:"source of the configuration"`
	JSON     bool   `long:"json" description:"print JSON"`
}

// Execute prints the state as tables or JSON.
func (c *statusCommand) Execute([]string) error {
	store, err := openStore(c.Platform)
	if err != nil {
		return &ExitError{ExitInvalid, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	snapshot, err := process.ReadConfig(ctx, store, c.Config)
	if err != nil {
		return err
	}
	o, err := overview.Read(ctx, store, process.ShardPart, snapshot)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(os.Stdout, o)
	}
	return writeStatus(os.Stdout, o)
}

// tableText collects the rows of tables with tab-separated cells.
type tableText struct {
	bytes.Buffer
}

func (t *tableText) writeRow(format string, args ...any) {
	_, _ = fmt.Fprintf(&t.Buffer, format+"\n", args...) // Writes to a Buffer don't fail.
}

// writeAligned writes the rows with aligned cells. Errors begin with the name of the command.
func (t *tableText) writeAligned(out io.Writer, command string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := t.WriteTo(w); err != nil {
		return fmt.Errorf("%s: %w", command, err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("%s: %w", command, err)
	}
	return nil
}

func writeStatus(out io.Writer, o overview.Overview) error {
	var t tableText
	planner := "nobody"
	if o.Planner.Name != "" {
		planner = o.Planner.Name
	}
	t.writeRow("configuration %d  planner %s  epoch %d  last write %s ago  ended %d\n", o.ConfigVersion, planner, o.Planner.Epoch, o.Planner.Age, o.Ended)
	for _, r := range o.Evacuated {
		t.writeRow("evacuated: %s\n", describeEvacuation(r))
	}
	t.writeRow("TARGET\tADDRESS\tRUNS\tSTATE")
	for _, x := range o.Targets {
		state := "answers"
		if x.Silent {
			state = "silent"
		}
		t.writeRow("%s\t%s\t%d\t%s", x.Name, x.Address, x.Runs, state)
	}
	t.writeRow("\nWORKSPACE\tGUARANTEED\tIN USE\tWAITING")
	for _, x := range o.Workspaces {
		t.writeRow("%s\t%d\t%d\t%d", x.Name, x.Guaranteed, x.InUse, x.Waiting)
	}
	t.writeRow("\nJOB\tWORKSPACE\tKIND\tSTATE\tTASKS\tDONE\tRUNNING\tACCELERATORS\tFAILURES\tCRASHES")
	for _, x := range o.Jobs {
		t.writeRow("%s/%d\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d", x.ID, x.Occurrence, x.Workspace, x.Kind, x.State, x.Tasks, x.Done, x.Running, x.Accelerators, x.Failures, x.Crashes)
	}
	if len(o.Malformed) > 0 {
		t.writeRow("\nrows that can't be decoded and are left out: %s", strings.Join(o.Malformed, ", "))
	}
	return t.writeAligned(out, "status")
}
