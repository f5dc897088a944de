// Command medlargrade-report draws what the logs of a site say of a period: a page with tables
// and plots of queues, accelerators, passes, preemptions and lost work.
//
// It is a program of its own, because the drawing library would add to the memory of each
// daemon.
//
// # Usage
//
//	medlargrade-report --log entry.log --log target.log --out report.html
//	medlargrade experiment LOAD.json --json > comparison.json
//	medlargrade-report --experiment comparison.json --out comparison.html
//
// Exit codes: 0 success, 1 failure, 2 invalid flags or unreadable logs.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/medlargrade/medlargrade/eventlog"
	"github.com/medlargrade/medlargrade/eventlog/dayreport"
	"github.com/medlargrade/medlargrade/experiment"
	"github.com/medlargrade/medlargrade/experiment/comparisonpage"
)

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

type options struct {
	Logs       []string `long:"log" description:"file with the log lines of one or more processes, in any order; may be given several times; standard input if missing"`
	Experiment string   `long:"experiment" description:"file with the JSON output of medlargrade experiment, to draw that instead of logs"`
	Out        string   `long:"out" description:"file to write the page to" default:"report.html"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stderr)) }

func run(args []string, stdin io.Reader, stderr io.Writer) int {
	var opts options
	rest, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stderr, usage.Message)
		return 0
	case err != nil:
		return fail(stderr, exitInvalid, err)
	case len(rest) > 0:
		return fail(stderr, exitInvalid, fmt.Errorf("unexpected argument %q", rest[0]))
	}
	if opts.Experiment != "" {
		return drawExperiment(opts, stderr)
	}
	lines, err := eventlog.ReadFiles(opts.Logs, stdin)
	if err != nil {
		return fail(stderr, exitInvalid, err)
	}
	if len(lines) == 0 {
		return fail(stderr, exitInvalid, errors.New("the logs have no events"))
	}
	if err := write(opts.Out, dayreport.New(lines).WriteHTML); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return 0
}

// drawExperiment draws the output of medlargrade experiment.
func drawExperiment(opts options, stderr io.Writer) int {
	if len(opts.Logs) > 0 {
		return fail(stderr, exitInvalid, errors.New("--experiment and --log exclude each other"))
	}
	text, err := os.ReadFile(opts.Experiment)
	if err != nil {
		return fail(stderr, exitInvalid, fmt.Errorf("read experiment: %w", err))
	}
	var c experiment.Comparison
	if err := json.Unmarshal(text, &c); err != nil {
		return fail(stderr, exitInvalid, fmt.Errorf("experiment %s: %w", opts.Experiment, err))
	}
	if len(c.Policies) == 0 {
		return fail(stderr, exitInvalid, fmt.Errorf("experiment %s: no policies", opts.Experiment))
	}
	if err := write(opts.Out, func(w io.Writer) error { return comparisonpage.Write(w, c) }); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return 0
}

// write writes the page to a file, which it leaves as it was if the page can't be drawn.
func write(path string, page func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".report-*")
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	err = errors.Join(page(f), f.Chmod(0o644), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("write page %s: %w", path, err)
	}
	return nil
}

func fail(stderr io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(stderr, "medlargrade-report:", err)
	return code
}
