package main

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/eventlog"
)

// explainLogs returns the output of explain for logs.
func explainLogs(t *testing.T, id string, logs ...string) string {
	t.Helper()
	var lines []eventlog.Line
	for _, l := range logs {
		var err error
		lines, err = eventlog.Read(lines, strings.NewReader(l))
		qt.Assert(t, err, qt.IsNil)
	}
	eventlog.Sort(lines)
	var out bytes.Buffer
	qt.Assert(t, explain(&out, lines, id), qt.IsNil)
	return out.String()
}

const (
	// entryLog has a collector's prefix before a line, and lines of other programs.
	entryLog = `started by hand
  19.1 e1 {"level":"info","time":"2026-01-01T10:00:00.000Z","Process":"e1","Event":610,"Job":"aa","RequestID":"r7","Outcome":"refused","error":"the store does not answer"}
{"level":"info","time":"2026-01-01T10:00:01.000Z","Process":"e1","Event":613,"Gap":700}
{"level":"info","time":"2026-01-01T10:00:01.200Z","Process":"e1","Event":610,"Job":"aa","Outcome":"accepted"}
{"level":"info","time":"2026-01-01T10:00:01.300Z","Process":"e1","Event":610,"Job":"aab","Outcome":"accepted"}
{"no":"event"}
{broken
`
	plannerLog = `{"level":"info","time":"2026-01-01T09:59:50.000Z","Process":"t1","Event":643,"Epoch":3}
{"level":"info","time":"2026-01-01T10:00:05.500Z","Process":"t1","Event":554,"Task":"aa.0.0.0","Run":1,"How":"done"}
{"level":"info","time":"2026-01-01T10:00:05.501Z","Process":"t1","Event":552,"Job":"aa","State":"completed"}
{"level":"info","time":"2026-01-01T10:00:01.250Z","Process":"t1","Event":563,"Job":"aa","Reason":"too little room","Empty":""}
{"level":"info","time":"2026-01-01T10:00:03.250Z","Process":"t1","Event":553,"Task":"aa.0.0.0","Run":1,"Target":"t2"}
{"level":"warn","time":"2026-01-01T10:00:04.000Z","Process":"t1","Event":380,"BeyondBudget":7}
{"level":"info","time":"2026-01-01T10:00:09.000Z","Process":"t1","Event":643,"Epoch":4}
`
)

// Guards against an explanation that lacks lines of a process or of the job's tasks, is
// out of order, hides gaps or left-out log lines, or mixes up jobs.
func TestExplain(t *testing.T) {
	got := explainLogs(t, "aa", plannerLog, entryLog)
	want := []string{
		"+0.000 s  e1  610  submission answered  RequestID=\"r7\" Outcome=\"refused\" error=\"the store does not answer\"",
		"+1.000 s  e1  613  store back for an entry  Gap=700",
		"(1.2 s without a line about the job)",
		"+1.200 s  e1  610  submission answered  Outcome=\"accepted\"",
		"+1.250 s  t1  563  waits  Reason=\"too little room\"",
		"(2.0 s without a line about the job)",
		"+3.250 s  t1  553  run planned  Task=\"aa.0.0.0\" Run=1 Target=\"t2\"",
		"+4.000 s  t1  380  log lines left out  BeyondBudget=7",
		"(2.2 s without a line about the job)",
		"+5.500 s  t1  554  run ended  Task=\"aa.0.0.0\" Run=1 How=\"done\"",
		"+5.501 s  t1  552  occurrence ended  State=\"completed\"",
		"",
		"job aa: 1 calls refused, the last one because: the store does not answer; first placed 2.050 s after acceptance; " +
			"waited because: too little room; 1 runs, 0 lost, 0 stopped, 0 failed; completed",
		"",
	}
	var lines []string
	for _, l := range strings.Split(got, "\n") {
		lines = append(lines, strings.TrimSpace(l))
	}
	qt.Check(t, lines, qt.DeepEquals, want)
}

// Guards against a job that can't be found by the ID of a call about it.
func TestExplainCall(t *testing.T) {
	qt.Check(t, explainLogs(t, "r7", plannerLog, entryLog), qt.Equals, explainLogs(t, "aa", plannerLog, entryLog))
}

// Guards against output for a job of which there are no lines.
func TestExplainUnknownJob(t *testing.T) {
	lines, err := eventlog.Read(nil, strings.NewReader(entryLog))
	qt.Assert(t, err, qt.IsNil)
	var out bytes.Buffer
	qt.Check(t, explain(&out, lines, "a"), qt.ErrorIs, errNoLines)
	qt.Check(t, out.String(), qt.Equals, "")
}

// Guards against summaries that claim what the lines don't say.
func TestSummary(t *testing.T) {
	tests := []struct{ name, log, want string }{
		{
			"not placed", `{"time":"2026-01-01T10:00:01.200Z","Process":"e1","Event":610,"Job":"aa","Outcome":"accepted"}`,
			"job aa: accepted, never placed; 0 runs, 0 lost, 0 stopped, 0 failed; no end recorded",
		},
		{
			"only refused", `{"time":"2026-01-01T10:00:01.200Z","Process":"e1","Event":680,"Job":"aa","Status":401,"Reason":"unknown key"}`,
			"job aa: 1 calls refused, the last one because: unknown key; no line says that it was accepted; 0 runs, 0 lost, 0 stopped, 0 failed; no end recorded",
		},
		{
			"recurring", `{"time":"2026-01-01T10:00:01Z","Process":"t","Event":552,"Job":"aa","State":"completed"}
{"time":"2026-01-01T10:00:02Z","Process":"t","Event":552,"Job":"aa","State":"failed"}`,
			"job aa: no line says that it was accepted; 0 runs, 0 lost, 0 stopped, 0 failed; 2 occurrences ended, the last one failed",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Check(t, strings.HasSuffix(strings.TrimSpace(explainLogs(t, "aa", tt.log)), tt.want), qt.IsTrue,
				qt.Commentf("%s", explainLogs(t, "aa", tt.log)))
		})
	}
}

// Guards against an explanation that does not say why a job was refused because of load, and by
// what the entry knew.
func TestExplainRefusalByLoad(t *testing.T) {
	got := explainLogs(t, "aa", `{"level":"info","time":"2026-01-01T10:00:00.000Z","Process":"e1","Event":610,"Job":"aa","Outcome":"refused","error":"the job can't be served in time"}
{"level":"info","time":"2026-01-01T10:00:00.000Z","Process":"e1","Event":614,"Job":"aa","Reason":"TooLate","Wait":70000,"Limit":43000,"RetryAfter":4000,"RowAge":200,"Tasks":90}
`)
	qt.Check(t, got, qt.Contains, `refused because of load  Reason="TooLate" Wait=70000 Limit=43000 RetryAfter=4000 RowAge=200 Tasks=90`)
	qt.Check(t, got, qt.Contains, "1 calls refused, the last one because: the job can't be served in time;")
}
