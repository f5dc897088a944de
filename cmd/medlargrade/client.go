package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/transport/caller"
)

// callerFlags are common to the commands that act as a caller.
type callerFlags struct {
	Entry string           `long:"entry" default:"http://127.0.0.1:8080" description:"URL of an entry's callers' API"`
	Wait  process.Duration `long:"wait" default:"30s" description:"how long to wait for the end of the job"`
}

// clientMargin is how much longer than the wait a call may take.
const clientMargin = 15 * time.Second

func (f callerFlags) client() caller.Client { return caller.Client{Base: f.Entry} }

func (f callerFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Duration(f.Wait)+clientMargin)
}

// submitCommand submits a job.
type submitCommand struct {
	callerFlags
	Workspace     string `long:"workspace" required:"true" description:"workspace that submits the job"`
	Kind          string `long:"kind" required:"true" description:"kind of work"`
	Workers       int    `long:"workers" default:"1" description:"number of workers"`
	Accelerators  int    `long:"accelerators" default:"1" description:"accelerators on each worker"`
	Adjacent      string `long:"adjacent" default:"none" choice:"none" choice:"rack" choice:"worker" description:"how close the tasks must be"`
	DeclaredTime  string `long:"declared-time" description:"expected run time, such as 90s"`
	Deadline      string `long:"deadline" description:"time until the result is useless"`
	Key           string `long:"key" description:"idempotency key"`
	Payload       string `long:"payload" description:"JSON value for the tasks, or @FILE"`
	NonIdempotent bool   `long:"at-most-once" description:"run at most once, whatever the kind says"`
}

// Execute submits the job and prints the response.
func (c *submitCommand) Execute([]string) error {
	payload, err := readPayload(c.Payload)
	if err != nil {
		return &ExitError{ExitProblems, err}
	}
	req := callerapi.Request{
		Workspace: c.Workspace, Kind: c.Kind,
		Shape:        callerapi.Shape{Workers: c.Workers, Accelerators: c.Accelerators, Adjacent: operator.Adjacency(c.Adjacent)},
		DeclaredTime: c.DeclaredTime, Deadline: c.Deadline, Key: c.Key, Payload: payload,
	}
	if c.NonIdempotent {
		no := false
		req.Idempotent = &no
	}
	ctx, cancel := c.context()
	defer cancel()
	resp, err := c.client().Submit(ctx, req, time.Duration(c.Wait))
	return printResponse(os.Stdout, resp, err)
}

// readPayload returns the JSON value of the flag, or of the file that it names.
func readPayload(s string) (json.RawMessage, error) {
	if s == "" {
		return nil, nil
	}
	b := []byte(s)
	if s[0] == '@' {
		var err error
		if b, err = os.ReadFile(s[1:]); err != nil {
			return nil, fmt.Errorf("payload: %w", err)
		}
	}
	if !json.Valid(b) {
		return nil, errors.New("payload: not a JSON value")
	}
	return b, nil
}

// jobArgs name a job.
type jobArgs struct {
	Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
	Key       string `positional-arg-name:"KEY" required:"true"`
}

// jobCommand looks up a job.
type jobCommand struct {
	callerFlags
	Args jobArgs `positional-args:"true"`
}

// Execute looks the job up and prints the response.
func (c *jobCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	resp, err := c.client().Lookup(ctx, c.Args.Workspace, c.Args.Key, time.Duration(c.Wait))
	return printResponse(os.Stdout, resp, err)
}

// cancelCommand cancels a job.
type cancelCommand struct {
	callerFlags
	Args jobArgs `positional-args:"true"`
}

// Execute cancels the job and prints the response.
func (c *cancelCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	resp, err := c.client().Cancel(ctx, c.Args.Workspace, c.Args.Key)
	if err == nil {
		return printJSON(os.Stdout, resp)
	}
	return callError(err)
}

// listCommand lists the jobs of a workspace.
type listCommand struct {
	callerFlags
	Workspace string `long:"workspace" required:"true" description:"workspace whose jobs are listed"`
	After     string `long:"after" description:"list only keys after this one"`
	Limit     int    `long:"limit" default:"100" description:"number of jobs"`
}

// Execute prints the list.
func (c *listCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	list, err := c.client().List(ctx, c.Workspace, c.After, c.Limit)
	if err != nil {
		return callError(err)
	}
	return printJSON(os.Stdout, list)
}

// printResponse prints a response and turns its outcome into an exit code.
func printResponse(w io.Writer, resp callerapi.Response, err error) error {
	if err != nil {
		return callError(err)
	}
	if err := printJSON(w, resp); err != nil {
		return err
	}
	switch resp.Outcome {
	case callerapi.NotRun:
		return &ExitError{ExitNotRun, fmt.Errorf("not run: %s", resp.Reason)}
	case callerapi.Unknown:
		return &ExitError{ExitUndecided, errors.New("the outcome is unknown")}
	case callerapi.Ran:
		if resp.Answer != nil && resp.Answer.Failed {
			return &ExitError{ExitFailed, fmt.Errorf("the task failed: %s", resp.Answer.Error)}
		}
	}
	return nil
}

func callError(err error) error {
	var status *caller.StatusError
	if errors.As(err, &status) && len(status.Problems) > 0 {
		return &ExitError{ExitProblems, err}
	}
	return err
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
