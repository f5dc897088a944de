package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/transport/caller"
)

// entryFlags are the flags of commands that call an entry.
type entryFlags struct {
	Entry string `long:"entry" env:"MEDLARGRADE_ENTRY" default:"http://127.0.0.1:8080" description:"URL of an entry's callers' API"`
}

// callTimeoutMargin is how much longer than its wait at the entry a call may take.
const callTimeoutMargin = 15 * time.Second

func (f entryFlags) client() caller.Client { return caller.Client{Base: f.Entry} }

// callContext returns a context for a call that waits at the entry for up to wait.
func (f entryFlags) callContext(wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), wait+callTimeoutMargin)
}

// waitFlags are the flags of commands that wait for the end of a job.
type waitFlags struct {
	Wait process.Duration `long:"wait" default:"30s" description:"how long to wait for the end of the job; 0s returns at once"`
}

func (f waitFlags) duration() time.Duration { return time.Duration(f.Wait) }

// submitCommand submits a job.
type submitCommand struct {
	entryFlags
	waitFlags
	Workspace    string `long:"workspace" required:"true" description:"workspace that submits the job"`
	Kind         string `long:"kind" required:"true" description:"kind of work"`
	Workers      int    `long:"workers" default:"1" description:"number of workers"`
	Accelerators int    `long:"accelerators" default:"1" description:"accelerators on each worker"`
	Adjacent     string `long:"adjacent" default:"none" choice:"none" choice:"rack" choice:"worker" description:"placement of the tasks: none for any workers, rack for one rack if possible, worker for a single worker"`
	DeclaredTime string `long:"declared-time" description:"expected run time, such as 90s"`
	Deadline     string `long:"deadline" description:"time within which the job must start, such as 10m"`
	Key          string `long:"key" description:"idempotency key; random if missing"`
	Payload      string `long:"payload" description:"JSON value for the tasks, or @FILE"`
	AtMostOnce   bool   `long:"at-most-once" description:"run at most once, even if the kind is idempotent"`

	Retry process.Duration `long:"retry" default:"0s" description:"how long to submit the job again while it certainly has not run and the answer says when to come back, or the entry does not listen"`
}

// Execute submits the job and prints the response.
func (c *submitCommand) Execute([]string) error {
	payload, err := readPayload(c.Payload)
	if err != nil {
		return &ExitError{ExitInvalid, err}
	}
	req := callerapi.Request{
		Workspace: c.Workspace, Kind: c.Kind,
		Shape:        callerapi.Shape{Workers: c.Workers, Accelerators: c.Accelerators, Adjacent: operator.Adjacency(c.Adjacent)},
		DeclaredTime: c.DeclaredTime, Deadline: c.Deadline, Key: c.Key, Payload: payload,
	}
	if c.AtMostOnce {
		idempotent := false
		req.Idempotent = &idempotent
	}
	resp, err := c.submit(req)
	return printResponse(os.Stdout, resp, err)
}

// retryPause is the time between two attempts to reach a process that does not answer.
const retryPause = 200 * time.Millisecond

// submit submits a request, and repeats it as long as c.Retry allows.
func (c *submitCommand) submit(req callerapi.Request) (callerapi.Response, error) {
	end := time.Now().Add(time.Duration(c.Retry))
	for {
		ctx, cancel := c.callContext(c.duration())
		resp, err := c.client().Submit(ctx, req, c.duration())
		cancel()
		wait := time.Duration(0)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			wait = retryPause
		case err == nil && resp.Outcome == callerapi.NotRun:
			wait = time.Duration(resp.RetryAfter)
		}
		if wait == 0 || time.Now().Add(wait).After(end) {
			return resp, err
		}
		time.Sleep(wait)
	}
}

// readPayload returns the JSON value in s, or in the file that s names as @FILE.
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

// jobArgs are the positional arguments that identify a job.
type jobArgs struct {
	Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
	Key       string `positional-arg-name:"KEY" required:"true"`
}

// jobCommand looks up a job.
type jobCommand struct {
	entryFlags
	waitFlags
	Args jobArgs `positional-args:"true"`
}

// Execute looks up the job and prints the response.
func (c *jobCommand) Execute([]string) error {
	ctx, cancel := c.callContext(c.duration())
	defer cancel()
	resp, err := c.client().Lookup(ctx, c.Args.Workspace, c.Args.Key, c.duration())
	return printResponse(os.Stdout, resp, err)
}

// cancelCommand cancels a job.
type cancelCommand struct {
	entryFlags
	Args jobArgs `positional-args:"true"`
}

// Execute cancels the job and prints the response.
func (c *cancelCommand) Execute([]string) error {
	ctx, cancel := c.callContext(0)
	defer cancel()
	resp, err := c.client().Cancel(ctx, c.Args.Workspace, c.Args.Key)
	if err == nil {
		return printJSON(os.Stdout, resp)
	}
	return callError(err)
}

// listCommand lists the jobs of a workspace.
type listCommand struct {
	entryFlags
	Workspace string `long:"workspace" required:"true" description:"workspace whose jobs are listed"`
	After     string `long:"after" description:"list only keys after this one"`
	Limit     int    `long:"limit" default:"100" description:"largest number of jobs to list, up to 1000"`
}

// Execute prints the list.
func (c *listCommand) Execute([]string) error {
	ctx, cancel := c.callContext(0)
	defer cancel()
	list, err := c.client().List(ctx, c.Workspace, c.After, c.Limit)
	if err != nil {
		return callError(err)
	}
	return printJSON(os.Stdout, list)
}

// printResponse prints a response and returns an error with the exit code of its
// outcome.
func printResponse(w io.Writer, resp callerapi.Response, err error) error {
	if err != nil {
		return callError(err)
	}
	if err := printJSON(w, resp); err != nil {
		return err
	}
	switch resp.Outcome {
	case callerapi.NotRun:
		code := ExitNotRun
		if resp.Reason == string(outcome.ReasonInvalid) {
			code = ExitInvalid
		}
		return &ExitError{code, notRunError(resp)}
	case callerapi.Unknown:
		return &ExitError{ExitUnknown, errors.New("the outcome is unknown")}
	case callerapi.Ran:
		if resp.Answer != nil && resp.Answer.Failed {
			return &ExitError{ExitFailed, fmt.Errorf("the task failed: %s", resp.Answer.Error)}
		}
	}
	return nil
}

// notRunError returns an error with the reason and all problems of a request that did
// not run.
func notRunError(resp callerapi.Response) error {
	text := "not run: " + resp.Reason
	if resp.Detail != "" {
		text += ": " + resp.Detail
	}
	if len(resp.Errors) > 0 {
		text += ": " + (&callerapi.InvalidError{Problems: resp.Errors}).Error()
	}
	return errors.New(text)
}

// callError returns the error of a call with its exit code.
func callError(err error) error {
	var status *caller.StatusError
	switch {
	case errors.Is(err, callerapi.ErrNotFound):
		return callerapi.ErrNotFound
	case errors.As(err, &status) && status.Status == http.StatusBadRequest:
		return &ExitError{ExitInvalid, err}
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
