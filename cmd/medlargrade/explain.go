package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/eventlog"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/transport/stdout"
)

const (
	// minGap is the time without a line about the job above which explain reports a
	// gap. A planner reviews waiting work five times a second, and a worker reports
	// at least once a second.
	minGap = time.Second
	// leadTime is how long before a job's first line events of the site are shown. A
	// change of planner takes less.
	leadTime = 5 * time.Second
)

// explainCommand prints what happened to one job.
type explainCommand struct {
	Logs []string `long:"log" description:"file with the log lines of one or more processes, in any order; may be given several times; standard input if missing"`
	Args struct {
		ID string `positional-arg-name:"ID" description:"ID of a job, of one of its tasks, or of a call"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads the logs and prints the explanation.
func (c *explainCommand) Execute([]string) error {
	lines, err := eventlog.ReadFiles(c.Logs, os.Stdin)
	if err != nil {
		return &ExitError{ExitInvalid, err}
	}
	return explain(os.Stdout, lines, c.Args.ID)
}

// siteEvents are the events that may affect any job.
var siteEvents = []int{
	shard.EventOwned, shard.EventOwnershipEnded, shard.EventTakeOverAsked, shard.EventTargetLapsed,
	follow.EventStoreLost, follow.EventStoreRegained, intake.EventStoreSilent, intake.EventStoreBack,
	process.EventStarted, process.EventStopping, process.EventStopped, configuration.EventInForce,
	planner.EventDataCentreEvacuated, planner.EventDataCentreReleased, planner.EventStartsWithheld, planner.EventStartsResumed,
	stdout.EventLinesLeftOut, agent.EventWorkerGone, planner.EventTargetLife,
	planner.EventInterference, planner.EventInterferenceWithdrawn,
}

// errNoLines reports that no line names the job.
var errNoLines = errors.New("no line of the log names the job")

// explain prints the lines about a job, and the site events from leadTime before the
// first to the last of them. The lines must be in order of time.
func explain(out io.Writer, lines []eventlog.Line, id string) error {
	if i := slices.IndexFunc(lines, func(l eventlog.Line) bool { return l.RequestID == id && l.Job != "" }); i >= 0 {
		id = lines[i].Job
	}
	first, last := -1, -1
	for i, l := range lines {
		if l.IsAbout(id) {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return fmt.Errorf("%w %s", errNoLines, id)
	}
	start := lines[first].Time
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var previous time.Time
	for i, l := range lines {
		aboutJob := l.IsAbout(id)
		if !aboutJob && (i > last || l.Time.Before(start.Add(-leadTime)) || !slices.Contains(siteEvents, l.Event)) {
			continue
		}
		if aboutJob {
			if gap := l.Time.Sub(previous); !previous.IsZero() && gap > minGap {
				_, _ = fmt.Fprintf(w, "\t\t\t(%.1f s without a line about the job)\n", gap.Seconds()) // Flush reports errors.
			}
			previous = l.Time
		}
		_, _ = fmt.Fprintf(w, "%+.3f s\t%s\t%d\t%s\n", l.Time.Sub(start).Seconds(), l.Process, l.Event, describe(l)) // Flush reports errors.
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	_, err := fmt.Fprintf(out, "\njob %s: %s\n", id, summarize(lines, id))
	return err
}

// omittedFields are the fields that describe omits: explain prints them elsewhere, or
// the description of the event replaces them.
var omittedFields = []string{"level", "time", "Process", "Event", "Job", "message"}

// describe returns the description of the line's event and the fields of the line.
func describe(l eventlog.Line) string {
	parts := []string{eventDescriptions[l.Event] + " "}
	if eventDescriptions[l.Event] == "" {
		parts[0] = "event "
	}
	for _, f := range parseFields(l.Text) {
		if !slices.Contains(omittedFields, f.name) && f.value != `""` {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	return strings.TrimSpace(strings.Join(parts, " "))
}

// field is a field of a line with its value as JSON.
type field struct {
	name, value string
}

// parseFields returns the fields of a JSON object in their order.
func parseFields(text []byte) []field {
	d := json.NewDecoder(bytes.NewReader(text))
	var out []field
	if _, err := d.Token(); err != nil {
		return nil
	}
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		var value json.RawMessage
		if err != nil || !ok || d.Decode(&value) != nil {
			return out
		}
		out = append(out, field{name, string(value)})
	}
	return out
}

// eventDescriptions are the short descriptions of the events.
var eventDescriptions = map[int]string{
	platform.EventCallRefused:          "call refused",
	intake.EventSubmitted:              "submission answered",
	intake.EventCancelled:              "cancellation recorded",
	intake.EventCancelledEarly:         "cancelled by a caller before it was recorded",
	intake.EventStoreSilent:            "store silent for an entry",
	intake.EventStoreBack:              "store back for an entry",
	planner.EventJobAdded:              "taken into the plan",
	planner.EventJobCancelled:          "cancelled",
	planner.EventJobEnded:              "occurrence ended",
	planner.EventRunPlanned:            "run planned",
	planner.EventRunEnded:              "run ended",
	planner.EventRunLost:               "run lost",
	planner.EventRunStopped:            "run to be stopped",
	planner.EventRunFailed:             "run failed",
	planner.EventRunFollowed:           "run found again",
	planner.EventStartRefused:          "start refused",
	planner.EventClaim:                 "capacity reclaimed",
	planner.EventUnitWaits:             "waits",
	planner.EventForeignRun:            "unknown run found",
	planner.EventTargetLife:            "worker registered",
	planner.EventWorkerCrash:           "worker crashed",
	planner.EventRunCrashed:            "worker crashed with the run",
	planner.EventJobGivenUp:            "job given up",
	planner.EventDataCentreEvacuated:   "data centre evacuated",
	planner.EventDataCentreReleased:    "data centre used again",
	planner.EventStartsWithheld:        "starts withheld",
	planner.EventStartsResumed:         "starts resumed",
	agent.EventStartOrder:              "start ordered at the worker",
	agent.EventStopOrder:               "stop ordered at the worker",
	agent.EventWorkerGone:              "worker gone",
	agent.EventWorkerDown:              "worker down",
	agent.EventWorkerCrashed:           "worker crashed",
	shard.EventOwned:                   "new planner",
	shard.EventOwnershipEnded:          "planner ended",
	shard.EventTakeOverAsked:           "planner asks for a successor",
	shard.EventTargetLapsed:            "leases lapsed",
	follow.EventStoreLost:              "store lost",
	follow.EventStoreRegained:          "store regained",
	process.EventStarted:               "process started",
	process.EventStopping:              "process stopping",
	process.EventStopped:               "process stopped",
	configuration.EventInForce:         "configuration in force",
	stdout.EventLinesLeftOut:           "log lines left out",
	intake.EventRefusedByLoad:          "refused because of load",
	planner.EventStopWithheld:          "stop withheld by the disruption budget",
	planner.EventInterference:          "tasks are slow beside others",
	planner.EventInterferenceWithdrawn: "tasks no longer slow beside others",
	agent.EventOwnStop:                 "stopped for lack of a planner",
	shard.EventFenceRaised:             "fencing token raised",
}

// summary summarizes the lines about a job.
type summary struct {
	acceptedAt, firstPlannedAt time.Time
	refusedCalls               int
	refusalReason              string // of the last refused call
	waitReason                 string // of the last wait for a place
	plannedRuns                map[string]struct{}
	linesByEvent               map[int]int // number of lines by event
	lastState                  string      // final state of the occurrence that ended last
}

// summarize returns the summary of the lines about a job.
func summarize(lines []eventlog.Line, id string) *summary {
	s := &summary{plannedRuns: make(map[string]struct{}), linesByEvent: make(map[int]int)}
	for _, l := range lines {
		if l.IsAbout(id) {
			s.add(l)
		}
	}
	return s
}

func (s *summary) add(l eventlog.Line) {
	s.linesByEvent[l.Event]++
	var f struct {
		Outcome, State, Reason, Error string
		Run                           int
	}
	l.Decode(&f)
	switch l.Event {
	case intake.EventSubmitted:
		switch {
		case f.Outcome == "accepted" && s.acceptedAt.IsZero():
			s.acceptedAt = l.Time
		case f.Outcome == "refused":
			s.refusedCalls++
			s.refusalReason = f.Error
		}
	case platform.EventCallRefused:
		s.refusedCalls++
		s.refusalReason = f.Reason
	case planner.EventRunPlanned:
		if s.firstPlannedAt.IsZero() {
			s.firstPlannedAt = l.Time
		}
		s.plannedRuns[fmt.Sprint(l.Task, "/", f.Run)] = struct{}{}
	case planner.EventUnitWaits:
		s.waitReason = f.Reason
	case planner.EventJobEnded:
		s.lastState = f.State
	}
}

// String returns the summary as one line of text.
func (s *summary) String() string {
	var out []string
	if s.refusedCalls > 0 {
		out = append(out, fmt.Sprintf("%d calls refused, the last one because: %s;", s.refusedCalls, s.refusalReason))
	}
	switch {
	case s.acceptedAt.IsZero():
		out = append(out, "no line says that it was accepted;")
	case s.firstPlannedAt.IsZero():
		out = append(out, "accepted, never placed;")
	default:
		out = append(out, fmt.Sprintf("first placed %.3f s after acceptance;", s.firstPlannedAt.Sub(s.acceptedAt).Seconds()))
	}
	if s.waitReason != "" {
		out = append(out, fmt.Sprintf("waited because: %s;", s.waitReason))
	}
	out = append(out, fmt.Sprintf("%d runs, %d lost, %d stopped, %d failed;", len(s.plannedRuns), s.linesByEvent[planner.EventRunLost],
		s.linesByEvent[planner.EventRunStopped], s.linesByEvent[planner.EventRunFailed]))
	switch ended := s.linesByEvent[planner.EventJobEnded]; ended {
	case 0:
		out = append(out, "no end recorded")
	case 1:
		out = append(out, s.lastState)
	default:
		out = append(out, fmt.Sprintf("%d occurrences ended, the last one %s", ended, s.lastState))
	}
	return strings.Join(out, " ")
}
