package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

// experimentCommand plays a load against the planner in simulated time.
type experimentCommand struct {
	Policies []string `long:"policy" value-name:"FILE" description:"JSON file with a policy of the planner, as in Policy of a target's settings; give it several times to compare policies; the default policy if missing"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of the first run; the following runs have the following seeds"`
	Runs     int      `long:"runs" default:"10" description:"number of runs for each policy"`
	JSON     bool     `long:"json" description:"print JSON, from which medlargrade-report draws a page"`
	Args     struct {
		Load string `positional-arg-name:"LOAD.json" required:"yes" description:"file with the load"`
	} `positional-args:"yes"`
}

// maxRuns bounds the runs of one command. A run takes about 0.1 s for 11 workers and 2 s for 240.
const maxRuns = 10000

// Execute plays the runs, reports progress on standard error, and prints the outcome.
func (c *experimentCommand) Execute([]string) error {
	l, policies, err := c.read()
	if err != nil {
		return &ExitError{ExitInvalid, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out, err := experiment.Compare(ctx, l, policies, c.Seed, c.Runs, newProgress(os.Stderr))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(os.Stdout, out)
	}
	return writeComparison(os.Stdout, out)
}

// read reads and checks the input.
func (c *experimentCommand) read() (experiment.Load, []experiment.NamedPolicy, error) {
	if c.Runs < 1 || c.Runs > maxRuns {
		return experiment.Load{}, nil, fmt.Errorf("runs: %d is not between 1 and %d", c.Runs, maxRuns)
	}
	text, err := os.ReadFile(c.Args.Load)
	if err != nil {
		return experiment.Load{}, nil, fmt.Errorf("read load: %w", err)
	}
	l, err := experiment.ParseLoad(text)
	if err != nil {
		return experiment.Load{}, nil, fmt.Errorf("load %s: %w", c.Args.Load, err)
	}
	policies := make([]experiment.NamedPolicy, 0, max(len(c.Policies), 1))
	for _, name := range c.Policies {
		p, err := readPolicy(name)
		if err != nil {
			return experiment.Load{}, nil, err
		}
		policies = append(policies, experiment.NamedPolicy{Name: strings.TrimSuffix(filepath.Base(name), ".json"), Policy: p})
	}
	if len(policies) == 0 {
		policies = append(policies, experiment.NamedPolicy{Name: "default"})
	}
	return l, policies, nil
}

func readPolicy(name string) (planner.Policy, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return planner.Policy{}, fmt.Errorf("read policy: %w", err)
	}
	var p planner.Policy
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return planner.Policy{}, fmt.Errorf("policy %s: %w", name, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return planner.Policy{}, fmt.Errorf("policy %s: data after the end of the policy", name)
	}
	return p, nil
}

// progressSteps is the number of progress lines of a command, so that its output stays short.
const progressSteps = 10

// newProgress returns a function that writes a line for each tenth of the runs.
func newProgress(w io.Writer) func(done, total int) {
	written := 0
	return func(done, total int) {
		if step := done * progressSteps / total; step > written {
			written = step
			_, _ = fmt.Fprintf(w, "%d of %d runs\n", done, total) // Progress may be lost.
		}
	}
}

// writeComparison writes the outcome of each policy as tables.
func writeComparison(out io.Writer, c experiment.Comparison) error {
	var t tableText
	t.writeRow("%d runs of each policy, seeds from %d\n", c.Runs, c.Seed)
	t.writeRow("POLICY\tSHARE\tEARNED\tWORST WINDOWS\tCORE-SECONDS WASTED\tSTARTS\tSTOPS\tREFUSALS")
	for _, p := range c.Policies {
		t.writeRow("%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t%.1f", p.Name, p.Share, p.Earned, p.WorstWindows, p.WastedCoreSeconds, p.Starts, p.Stops, p.Refusals)
	}
	t.writeGroups("KIND", c.Policies, func(p experiment.PolicyOutcome) []experiment.Group { return p.Kinds })
	t.writeGroups("SIZE", c.Policies, func(p experiment.PolicyOutcome) []experiment.Group { return p.Sizes })
	t.writeGroups("WORKSPACE", c.Policies, func(p experiment.PolicyOutcome) []experiment.Group { return p.Workspaces })
	return t.writeAligned(out, "experiment")
}

// writeGroups writes a table in which the policies stand below each other for each group.
func (t *tableText) writeGroups(title string, policies []experiment.PolicyOutcome, groups func(experiment.PolicyOutcome) []experiment.Group) {
	t.writeRow("\n%s\tPOLICY\tJOBS\tON TIME\tLATE\tUNEARNED\tEARNED\tWAIT, MEDIAN MS\t95 %% MS\tMAXIMUM MS", title)
	for i := range groups(policies[0]) {
		for _, p := range policies {
			g := groups(p)[i]
			t.writeRow("%s\t%s\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d", g.Name, p.Name, g.Jobs, g.OnTime, g.Late, g.Unearned, g.Share, g.WaitMedianMillis, g.Wait95Millis, g.WaitMaxMillis)
		}
	}
}
