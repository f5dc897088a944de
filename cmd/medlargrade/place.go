package main

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/transport/caller"
)

// placeCommand tells where a job would be placed now.
type placeCommand struct {
	Platform  string `long:"platform" env:"MEDLARGRADE_PLATFORM" default:"http://127.0.0.1:8400" description:"URL of the platform's store"`
	Config    string `long:"config" default:"applied" choice:"applied" choice:"platform" description:"source of the configuration, and format of FILE"`
	Process   string `long:"process" description:"URL of the planner's operators' API; found by the owner's row if missing"`
	Kind      string `long:"kind" description:"kind of the job, which a submission in the platform's format does not name"`
	Workspace string `long:"workspace" description:"workspace of the job, which a submission in the platform's format does not name"`
	JSON      bool   `long:"json" description:"print JSON"`
	Args      struct {
		Job string `positional-arg-name:"FILE|ID" description:"file with a submission, - for standard input, or the ID of a recorded job"`
	} `positional-args:"yes" required:"yes"`
}

// placeReport is what the command prints.
type placeReport struct {
	// Refused is why an entry would refuse the submission now; empty if it would not.
	Refused    string `json:",omitempty"` // Placement is nil if it would have no job
	RetryAfter string `json:",omitempty"` // of the refusal
	// Unknown is why the placement cannot be known; empty if it is known.
	Unknown   string            `json:",omitempty"`
	Placement *shard.PlaceReply `json:",omitempty"`
}

// Execute prints the placement as tables or JSON.
func (c *placeCommand) Execute([]string) error {
	store, err := openStore(c.Platform)
	if err != nil {
		return &ExitError{ExitInvalid, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	report, err := c.report(ctx, store)
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(os.Stdout, report)
	} else {
		err = writePlacement(os.Stdout, report)
	}
	if err == nil && report.Unknown != "" {
		return &ExitError{Code: ExitUnknown}
	}
	return err
}

func (c *placeCommand) report(ctx context.Context, store table.Store) (placeReport, error) {
	request := shard.PlaceRequest{ID: c.Args.Job}
	var report placeReport
	if c.isFile() {
		j, refusal, err := c.check(ctx, store)
		var unknown *placementUnknownError
		switch {
		case errors.As(err, &unknown):
			report.Unknown = unknown.reason
			return report, nil
		case err != nil:
			return placeReport{}, err
		}
		if refusal != nil {
			report.Refused = fmt.Sprintf("%s: %s", refusal.Reason, refusal.Detail)
			if refusal.RetryAfter > 0 {
				report.RetryAfter = refusal.RetryAfter.String()
			}
		}
		if j.ID == "" {
			return report, nil
		}
		j.Payload = "" // The placement does not depend on it.
		request = shard.PlaceRequest{Job: &j}
	}
	return report, c.ask(ctx, store, request, &report)
}

// placementUnknownError reports why the placement of a submission cannot be known.
type placementUnknownError struct{ reason string }

func (e *placementUnknownError) Error() string { return "the placement can't be known: " + e.reason }

// isFile reports whether the argument names a file, and not a job.
func (c *placeCommand) isFile() bool {
	if c.Args.Job == "-" {
		return true
	}
	_, err := os.Stat(c.Args.Job)
	return err == nil || strings.ContainsAny(c.Args.Job, "/.")
}

// fixedConfig is a configuration.Source of one snapshot.
type fixedConfig struct{ snapshot *configuration.Snapshot }

// Current implements configuration.Source.
func (f fixedConfig) Current(context.Context) *configuration.Snapshot { return f.snapshot }

// check returns the job of the submission and the refusal that an entry would answer with.
func (c *placeCommand) check(ctx context.Context, store table.Store) (job.Job, *outcome.NotRun, error) {
	body, err := readInput(c.Args.Job)
	if err != nil {
		return job.Job{}, nil, &ExitError{ExitInvalid, err}
	}
	snapshot, err := process.ReadConfig(ctx, store, c.Config)
	if err != nil {
		return job.Job{}, nil, &placementUnknownError{fmt.Sprintf("the store does not answer: %v", err)}
	}
	if snapshot == nil || snapshot.Version == 0 {
		return job.Job{}, nil, &placementUnknownError{"there is no configuration"}
	}
	if c.Config == process.SourcePlatform {
		j, err := c.platformJob(snapshot, body)
		return j, nil, err
	}
	req, err := callerapi.Decode(bytes.NewReader(body))
	if err != nil {
		return job.Job{}, nil, &ExitError{ExitInvalid, fmt.Errorf("%s: %w", c.Args.Job, err)}
	}
	jobs := intake.New(store, process.ShardPart, new(table.Clock), metrics.NewSet(), zerolog.Nop())
	defer jobs.Close()
	requests := intake.NewRequests(jobs, fixedConfig{snapshot}, nil)
	defer requests.Close()
	j, refusal := requests.Check(ctx, caller.RequestOf(req.WithDefaults()))
	return j, refusal, nil
}

// platformJob returns the job of a submission in the platform's format.
func (c *placeCommand) platformJob(snapshot *configuration.Snapshot, body []byte) (job.Job, error) {
	j, err := platform.DecodeSubmission(body)
	if err != nil {
		return job.Job{}, &ExitError{ExitInvalid, fmt.Errorf("%s: %w", c.Args.Job, err)}
	}
	kind, ok := snapshot.Kind(c.Workspace, c.Kind)
	if !ok {
		return job.Job{}, &ExitError{ExitInvalid, fmt.Errorf("--kind: unknown kind %q", c.Kind)}
	}
	if _, ok := snapshot.Workspace(c.Workspace); !ok {
		return job.Job{}, &ExitError{ExitInvalid, fmt.Errorf("--workspace: unknown workspace %q", c.Workspace)}
	}
	j.ID, j.Kind, j.Pool, j.Workspace = rand.Text(), kind.Name(), kind.Pool(), c.Workspace
	return j, nil
}

// readInput reads a file, or standard input if its name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		b, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return b, nil
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the submission: %w", err)
	}
	return b, nil
}

// plannerURL returns the URL of the planner's operators' API, or why it is not known.
func (c *placeCommand) plannerURL(ctx context.Context, store table.Store) (url, unknown string) {
	if c.Process != "" {
		return c.Process, ""
	}
	p, err := store.Read(ctx, table.Range{Table: shard.TableShard, Part: process.ShardPart, From: shard.OwnerKey, To: shard.OwnerKey + "\x00"})
	switch {
	case err != nil:
		return "", fmt.Sprintf("the store does not answer: %v", err)
	case len(p.Rows) == 0:
		return "", "no process plans the site"
	}
	row, err := shard.DecodeOwner(p.Rows[0].Value)
	switch {
	case err != nil:
		return "", err.Error()
	case row.Name == "":
		return "", "no process plans the site"
	case row.OperatorAddress == "":
		return "", fmt.Sprintf("the planner %s does not say where it serves operators; give --process", row.Name)
	}
	return "http://" + row.OperatorAddress, ""
}

// ask sends the request to the planner and completes the report.
func (c *placeCommand) ask(ctx context.Context, store table.Store, r shard.PlaceRequest, report *placeReport) error {
	url, unknown := c.plannerURL(ctx, store)
	if report.Unknown = unknown; unknown != "" {
		return nil
	}
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/place", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request to the planner: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		report.Unknown = fmt.Sprintf("the planner does not answer: %v", err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		report.Unknown = fmt.Sprintf("the answer of the planner can't be read: %v", err)
	case resp.StatusCode == http.StatusServiceUnavailable:
		report.Unknown = strings.TrimSpace(string(answer))
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("place: %s", strings.TrimSpace(string(answer)))
	default:
		report.Placement = new(shard.PlaceReply)
		if err := json.Unmarshal(answer, report.Placement); err != nil {
			return fmt.Errorf("decode the answer of the planner: %w", err)
		}
	}
	return nil
}

// writePlacement prints a report as tables.
func writePlacement(out io.Writer, r placeReport) error {
	var t tableText
	if r.Refused != "" {
		t.writeRow("an entry would refuse it: %s  retry after %s", r.Refused, cmp.Or(r.RetryAfter, "never"))
	}
	if r.Unknown != "" {
		t.writeRow("the placement can't be known: %s", r.Unknown)
	}
	if p := r.Placement; p != nil {
		t.writeRow("job %s  kind %s  workspace %s: %s", p.Job, p.Kind, p.Workspace, p.State)
		if p.Reason != "" {
			t.writeRow("because: %s", p.Reason)
		}
		if p.State != planner.PlacementRuns && p.State != planner.PlacementEnded {
			t.writeRow("predicted wait %s", cmp.Or(p.Wait, "unknown"))
		}
		t.writeRow("planner %s  epoch %d  configuration %d, at most %s old  confirmed by the store %s ago", p.Planner, p.Epoch, p.ConfigVersion,
			cmp.Or(p.ConfigAge, "an unknown time"), p.Unconfirmed)
		for _, s := range p.Unreached {
			t.writeRow("not reached: %s, last answer %s ago", s.Name, s.Since)
		}
		if len(p.Tasks) > 0 {
			t.writeRow("\nTASK\tTARGET")
		}
		for _, x := range p.Tasks {
			t.writeRow("%s\t%s", x.Task, x.Target)
		}
		if len(p.Stopped) > 0 {
			t.writeRow("\nSTOPPED FOR IT, %.1f core-seconds lost\tTARGET", p.Loss)
		}
		for _, x := range p.Stopped {
			t.writeRow("%s\t%s", x.Task, x.Target)
		}
		t.writeRow("\nRACK\tTASKS THAT FIT\tAGAINST")
		for _, x := range p.Racks {
			t.writeRow("%s\t%d\t%s", x.Name, x.Fits, x.Against)
		}
		t.writeRow("\nTARGET\tRACK\tDATA CENTRE\tTASKS THAT FIT\tAGAINST")
		for _, x := range p.Targets {
			t.writeRow("%s\t%s\t%s\t%d\t%s", x.Name, x.Rack, x.DataCentre, x.Fits, x.Against)
		}
	}
	return t.writeAligned(out, "place")
}
