// Command medlargrade runs and operates a medlargrade site.
//
// # Usage
//
//	medlargrade entry --settings entry.json      serve callers and record their jobs
//	medlargrade target --settings target.json    run the agent of one worker, and plan the site
//	medlargrade config check|diff|apply|show     review and apply the configuration
//	medlargrade evacuate DATACENTRE              start nothing more in a data centre
//	medlargrade submit|job|cancel|list           act as a caller
//	medlargrade status|dump                      show the state of the site or of a process
//	medlargrade place FILE|ID                    tell where a job would be placed now
//	medlargrade explain ID --log FILE            tell what happened to a job
//	medlargrade experiment LOAD.json             play a load against the planner in simulated time
//	medlargrade standin                          run a stand-in for the platform and its workers
//
// Exit codes: 0 success, 1 failure, 2 invalid input or settings, 3 a conflict
// with another operator, 4 the request did not run, 5 the outcome is unknown, 6
// differences found by "config diff --exit-code".
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2 // the input or the settings are invalid; nothing was done
	ExitConflict    = 3 // another change was accepted first; nothing was applied
	ExitNotRun      = 4 // the request did not run
	ExitUnknown     = 5 // the request may have run, or the change may be accepted
	ExitDifferences = 6 // diff --exit-code found differences
)

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code int
	Err  error // nil if there is nothing left to print
}

func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns Err.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error of an Execute method or of the flags
// parser.
func ExitCode(err error) int {
	var exit *ExitError
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return ExitOK
	case errors.As(err, &usage):
		return ExitInvalid
	}
	return ExitFailed
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(args []string) int {
	_, err := newParser().ParseArgs(args)
	printError(err)
	return ExitCode(err)
}

// printError prints the error or the requested help.
func printError(err error) {
	var usage *flags.Error
	var exit *ExitError
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
	case errors.As(err, &exit) && exit.Err == nil:
	default:
		fmt.Fprintln(os.Stderr, "medlargrade:", err)
	}
}

// command is one subcommand.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func newParser() *flags.Parser {
	parser := flags.NewNamedParser("medlargrade", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = `Runs and operates a medlargrade site.

Exit codes: 0 success, 1 failure, 2 invalid input or settings, 3 a conflict with another operator, 4 the request did not run, 5 the outcome is unknown, 6 differences found by "config diff --exit-code".`
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // The command's struct tags are invalid.
		}
	}
	return parser
}

// shutdownContext returns a context that is cancelled by the first SIGTERM or SIGINT.
// A second signal exits the process immediately.
func shutdownContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		cancel()
		<-ch
		os.Exit(ExitFailed)
	}()
	return ctx, cancel
}
