package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/medlargrade/medlargrade/coordination/scheduler"
)

// operatorFlags name the process to look into.
type operatorFlags struct {
	Process string `long:"process" default:"http://127.0.0.1:8081" description:"URL of the process's operators' API"`
}

// lookTimeout bounds a request to the operators' API.
const lookTimeout = 10 * time.Second

func (f operatorFlags) get(path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
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

// dumpCommand prints the whole state of a process.
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

// statusCommand shows what an entry knows.
type statusCommand struct {
	operatorFlags
	JSON bool `long:"json" description:"print JSON"`
}

// Execute prints the tables.
func (c *statusCommand) Execute([]string) error {
	body, err := c.get("/status")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := os.Stdout.Write(body)
		return err
	}
	var st scheduler.State
	if err := json.Unmarshal(body, &st); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return writeStatus(os.Stdout, st)
}

// table collects lines of tab-separated cells.
type table struct {
	bytes.Buffer
}

func (t *table) line(format string, args ...any) {
	_, _ = fmt.Fprintf(&t.Buffer, format+"\n", args...) // A Buffer takes every write.
}

func writeStatus(out io.Writer, st scheduler.State) error {
	var t table
	t.line("entry %s  generation %d  ready %t  leaving %t\n", st.Entry, st.Generation, st.Ready, st.Leaving)
	t.line("TARGET\tDATA CENTRE\tRACK\tSLOTS\tFREE\tLANE\tHEALTH\tSTATE")
	for _, x := range st.Targets {
		state := "ready"
		switch {
		case x.Leaving:
			state = "leaving"
		case !x.Ready:
			state = "not ready"
		}
		t.line("%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s", x.Name, x.DataCentre, x.Rack, x.Slots, x.Free, x.KeepFree, x.Health, state)
	}
	t.line("\nWORKSPACE\tGUARANTEE\tIN USE\tLENT\tUNUSED\tQUEUED")
	for _, x := range st.Workspaces {
		t.line("%s\t%d\t%d\t%d\t%d\t%d", x.Workspace, x.Guarantee, x.Slots, x.Lent, x.Unused, x.Queued)
	}
	t.line("\nTASK\tWORKSPACE\tKIND\tCLASS\tTARGET\tSLOTS\tLENT\tRUNS")
	for _, x := range st.Tasks {
		t.line("%s\t%s\t%s\t%s\t%s\t%d\t%t\t%s", x.ID(), x.Workspace, x.Kind, x.Class, x.Target, x.Slots, x.Lent, x.Run.Round(time.Second))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := t.WriteTo(w); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}
