// Command medlargrade runs and operates a medlargrade site.
//
// # Usage
//
//	medlargrade entry --settings entry.json      serve callers, plan and dispatch
//	medlargrade target --settings target.json    run tasks on one worker
//	medlargrade config check|diff|apply|show     review and apply the configuration
//	medlargrade submit|job|cancel|list           act as a caller
//	medlargrade status|dump                      look into a running process
//	medlargrade standin-platform|standin-worker  stand-ins for tests and demonstrations
//
// Exit codes: 0 success, 1 failure, 2 invalid input or settings, 3 a conflict
// with another operator or caller, 4 the request did not run, 5 the outcome is
// unknown.
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
	exitFailure  = 1
	exitInvalid  = 2
	exitConflict = 3
	exitNotRun   = 4
	exitUnknown  = 5
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := newParser()
	if _, err := parser.ParseArgs(args); err != nil {
		return report(err)
	}
	return 0
}

func report(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Println(flagErr.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, flagErr.Message)
		return exitInvalid
	}
	fmt.Fprintln(os.Stderr, "medlargrade:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailure
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
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // The definition of the command is malformed.
		}
	}
	return parser
}

// signals returns a context that ends with the first SIGTERM or SIGINT. A second
// signal ends the process at once.
func signals() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		cancel()
		<-ch
		os.Exit(exitFailure)
	}()
	return ctx, cancel
}
