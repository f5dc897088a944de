package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/overview"
)

// runCommand executes the command line and returns its exit code and output. It
// redirects the standard streams, so tests that use it can't run in parallel.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	oldOut, oldErr := os.Stdout, os.Stderr
	defer func() { os.Stdout, os.Stderr = oldOut, oldErr }()
	var files [2]*os.File
	for i := range files {
		f, err := os.CreateTemp(t.TempDir(), "")
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = f.Close() }()
		files[i] = f
	}
	os.Stdout, os.Stderr = files[0], files[1]
	code = execute(args)
	var texts [2]string
	for i, f := range files {
		_, err := f.Seek(0, io.SeekStart)
		qt.Assert(t, err, qt.IsNil)
		b, err := io.ReadAll(f)
		qt.Assert(t, err, qt.IsNil)
		texts[i] = string(b)
	}
	return code, texts[0], texts[1]
}

// Guards against a subcommand without help, against a flag without a description, and
// against a description that ends in a period.
func TestHelp(t *testing.T) {
	code, stdout, stderr := runCommand(t, "--help")
	qt.Check(t, code, qt.Equals, ExitOK)
	qt.Check(t, stderr, qt.Equals, "")
	for _, c := range commands() {
		qt.Check(t, stdout, qt.Contains, c.name+" ")
		qt.Check(t, stdout, qt.Contains, c.short)
	}
	for _, c := range newParser().Commands() {
		t.Run(c.Name, func(t *testing.T) {
			code, stdout, stderr := runCommand(t, c.Name, "--help")
			qt.Check(t, code, qt.Equals, ExitOK)
			qt.Check(t, stderr, qt.Equals, "")
			qt.Check(t, stdout, qt.Contains, "medlargrade [OPTIONS] "+c.Name)
			if c.Name != "config" { // has subcommands
				qt.Check(t, strings.HasSuffix(c.LongDescription, "."), qt.IsTrue)
			}
			for _, g := range append(c.Groups(), c.Group) {
				for _, o := range g.Options() {
					qt.Check(t, o.Description, qt.Not(qt.Equals), "", qt.Commentf("--%s", o.LongName))
					qt.Check(t, strings.HasSuffix(o.Description, "."), qt.IsFalse, qt.Commentf("--%s", o.LongName))
				}
			}
		})
	}
}

// Guards against a usage error whose exit code is not ExitInvalid.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"unknown"},
		{"submit"},
		{"submit", "--unknown"},
		{"job", "ws"},
		{"entry", "--drain-time", "soon"},
		{"submit", "--workspace", "w", "--kind", "k", "--payload", "{"},
		{"submit", "--workspace", "w", "--kind", "k", "--payload", "@/nonexistent"},
		{"submit", "--workspace", "w", "--kind", "k", "--adjacent", "near"},
	} {
		code, stdout, stderr := runCommand(t, args...)
		qt.Check(t, code, qt.Equals, ExitInvalid, qt.Commentf("%q", args))
		qt.Check(t, stdout, qt.Equals, "")
		qt.Check(t, stderr, qt.Not(qt.Equals), "")
	}
}

// Guards against a wrong exit code of submit, such as success for a request that
// failed, did not run or has an unknown outcome.
func TestSubmitExitCodes(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		code   int
		stderr string
	}{
		{"ran", 200, `{"Outcome":"Ran","Answer":{"Parts":[1]}}`, ExitOK, ""},
		{"accepted", 202, `{"State":"Queued","Key":"k"}`, ExitOK, ""},
		{"failed", 200, `{"Outcome":"Ran","Answer":{"Parts":[""],"Failed":true,"Error":"blunt"}}`, ExitFailed, "the task failed: blunt"},
		{"not run", 503, `{"Outcome":"NotRun","Reason":"StoreDown","Detail":"not recorded"}`, ExitNotRun, "not run: StoreDown: not recorded"},
		{"key conflict", 409, `{"Outcome":"NotRun","Reason":"KeyConflict"}`, ExitNotRun, "not run: KeyConflict"},
		{"unknown", 200, `{"Outcome":"Unknown","Detail":"stopped"}`, ExitUnknown, "the outcome is unknown"},
		{"unknown by an internal error", 500, `{"Outcome":"Unknown"}`, ExitUnknown, "the outcome is unknown"},
		{
			"invalid", 400, `{"Outcome":"NotRun","Reason":"Invalid","Errors":[{"Field":"Deadline","Message":"must be above zero"},{"Field":"Key","Message":"is bad"}]}`,
			ExitInvalid, "Deadline: must be above zero; Key: is bad",
		},
		{"unknown workspace", 400, `{"Outcome":"NotRun","Reason":"Invalid","Detail":"unknown workspace \"w\""}`, ExitInvalid, `unknown workspace "w"`},
		{"no entry behind the address", 502, `<html>`, ExitFailed, "502"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b, _ := io.ReadAll(r.Body)
				got = r.Method + " " + r.URL.String() + " " + string(b)
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer srv.Close()
			code, stdout, stderr := runCommand(t, "submit", "--entry", srv.URL, "--wait", "3s",
				"--workspace", "w", "--kind", "k", "--workers", "2", "--at-most-once", "--payload", `{"A": 1}`)
			qt.Check(t, code, qt.Equals, tt.code)
			qt.Check(t, stderr, qt.Contains, tt.stderr)
			qt.Check(t, stderr == "", qt.Equals, tt.stderr == "")
			qt.Check(t, strings.HasPrefix(stdout, "{"), qt.Equals, tt.body[0] == '{')
			qt.Check(t, got, qt.Equals, `POST /v1/jobs?wait=3s {"Workspace":"w","Kind":"k","Shape":{"Workers":2,"Accelerators":1,"Adjacent":"none"},`+
				`"Idempotent":false,"Payload":{"A":1}}`)
		})
	}
}

// Guards against wrong requests and exit codes of the other commands for callers.
func TestCallerExitCodes(t *testing.T) {
	tests := []struct {
		args   []string
		status int
		body   string
		code   int
		want   string
	}{
		{[]string{"job", "w", "k"}, 200, `{"Outcome":"Ran"}`, ExitOK, "GET /v1/workspaces/w/jobs/k?wait=30s"},
		{[]string{"job", "w", "k"}, 404, `{"Errors":[{"Field":"key","Message":"no such job"}]}`, ExitFailed, "GET /v1/workspaces/w/jobs/k?wait=30s"},
		{[]string{"job", "w", "a b"}, 400, `{"Errors":[{"Field":"key","Message":"bad"}]}`, ExitInvalid, "GET /v1/workspaces/w/jobs/a%20b?wait=30s"},
		{[]string{"job", "w", "k"}, 500, `{"Errors":[{"Field":"","Message":"internal error"}]}`, ExitFailed, "GET /v1/workspaces/w/jobs/k?wait=30s"},
		{[]string{"cancel", "w", "k"}, 202, `{"State":"Dispatched"}`, ExitOK, "DELETE /v1/workspaces/w/jobs/k"},
		{[]string{"list", "--workspace", "w", "--limit", "2", "--after", "j"}, 200, `{"Jobs":[]}`, ExitOK, "GET /v1/workspaces/w/jobs?after=j&limit=2"},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args, " ")+fmt.Sprint(tt.status), func(t *testing.T) {
			var got string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r.Method + " " + r.URL.String()
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer srv.Close()
			code, _, _ := runCommand(t, append(tt.args, "--entry", srv.URL)...)
			qt.Check(t, code, qt.Equals, tt.code)
			qt.Check(t, got, qt.Equals, tt.want)
		})
	}
	code, _, stderr := runCommand(t, "job", "--entry", "http://127.0.0.1:1", "w", "k")
	qt.Check(t, code, qt.Equals, ExitFailed)
	qt.Check(t, stderr, qt.Contains, "look up http://127.0.0.1:1")
}

// Guards against a table whose columns don't match their headers.
func TestStatusTable(t *testing.T) {
	o := overview.Overview{
		ConfigVersion: 7, Planner: overview.Planner{Name: "t1", Epoch: 3, Age: "120ms"}, Ended: 5,
		Targets: []overview.Target{
			{Name: "t1", Address: "127.0.0.1:1", Runs: 2},
			{Name: "target-2", Address: "127.0.0.1:12", Silent: true},
		},
		Workspaces: []overview.Workspace{{Name: "ws", Guaranteed: 20, InUse: 5, Waiting: 4}},
		Jobs: []overview.Job{{
			ID: "j", Occurrence: 1, Workspace: "ws", Kind: "k", State: "running", Tasks: 9, Done: 3, Running: 2, Accelerators: 16, Failures: 1, Crashes: 2,
		}},
		Malformed: []string{"Jobs/x", "Targets/y"},
	}
	var out strings.Builder
	qt.Assert(t, writeStatus(&out, o), qt.IsNil)
	qt.Check(t, out.String(), qt.Equals, `configuration 7  planner t1  epoch 3  last write 120ms ago  ended 5

TARGET    ADDRESS       RUNS  STATE
t1        127.0.0.1:1   2     answers
target-2  127.0.0.1:12  0     silent

WORKSPACE  GUARANTEED  IN USE  WAITING
ws         20          5       4

JOB  WORKSPACE  KIND  STATE    TASKS  DONE  RUNNING  ACCELERATORS  FAILURES  CRASHES
j/1  ws         k     running  9      3     2        16            1         2

rows that can't be decoded and are left out: Jobs/x, Targets/y
`)
}

// Guards against a submission that isn't repeated although it has not run, against one that is
// repeated although it may have run, and against one that is repeated for ever.
func TestSubmitRetries(t *testing.T) {
	const notYet = `{"Outcome":"NotRun","Reason":"NotReady","RetryAfter":"10ms"}`
	tests := []struct {
		name    string
		retry   string
		answers []string // the last one is repeated
		calls   int
		code    int
	}{
		{"no retry", "0s", []string{notYet}, 1, ExitNotRun},
		{"served later", "1m", []string{notYet, notYet, `{"Outcome":"Ran","Answer":{"Parts":[1]}}`}, 3, ExitOK},
		{"never to be served", "1m", []string{`{"Outcome":"NotRun","Reason":"NeverFits"}`}, 1, ExitNotRun},
		{"may have run", "1m", []string{`{"Outcome":"Unknown","RetryAfter":"10ms"}`}, 1, ExitUnknown},
		{"until the time is over", "35ms", []string{notYet}, 4, ExitNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			calls := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, tt.answers[min(calls, len(tt.answers)-1)]) // The client reports a lost answer.
				calls++
			}))
			defer srv.Close()
			code, _, _ := runCommand(t, "submit", "--entry", srv.URL, "--retry", tt.retry, "--workspace", "w", "--kind", "k")
			qt.Check(t, code, qt.Equals, tt.code)
			if tt.retry == "35ms" { // on a busy machine a call takes longer
				qt.Check(t, calls >= 1 && calls <= tt.calls, qt.IsTrue, qt.Commentf("%d calls", calls))
				return
			}
			qt.Check(t, calls, qt.Equals, tt.calls)
		})
	}
}
