package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jessevdk/go-flags"

	"github.com/medlargrade/medlargrade/process"
)

// parseFlags fills a command from arguments without executing it.
func parseFlags(t *testing.T, command any, args ...string) {
	t.Helper()
	_, err := flags.NewParser(command, flags.Default).ParseArgs(args)
	qt.Assert(t, err, qt.IsNil)
}

func writeSettings(t *testing.T, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(path, []byte(body), 0o600), qt.IsNil)
	return path
}

// Guards against example settings that don't work for users who copy them.
func TestExampleSettings(t *testing.T) {
	e := entryCommand{Settings: "../../examples/settings/entry.json"}
	entry, err := e.loadSettings()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, time.Duration(entry.DrainTime), qt.Equals, time.Minute)
	c := targetCommand{Settings: "../../examples/settings/target.json"}
	target, err := c.loadSettings()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, target.Platform, qt.Equals, entry.Platform)
}

// Guards against flags that are ignored, against an absent flag that erases a value
// from the file, and against lost defaults.
func TestFlagsOverFile(t *testing.T) {
	path := writeSettings(t, `{"Name": "e1", "DataCentre": "dc1", "CallerAddress": "127.0.0.1:1",
		"OperatorAddress": "127.0.0.1:3", "Platform": "http://127.0.0.1:4", "DrainTime": "5s", "Bounds": {"StopTime": "900ms"}}`)
	var e entryCommand
	parseFlags(t, &e, "--settings", path, "--name", "e2", "--caller-address", "127.0.0.1:9")
	entry, err := e.loadSettings()
	qt.Assert(t, err, qt.IsNil)
	bounds := process.DefaultBounds()
	bounds.StopTime = process.Duration(900 * time.Millisecond)
	qt.Check(t, entry, qt.Equals, process.EntrySettings{
		Name: "e2", DataCentre: "dc1", CallerAddress: "127.0.0.1:9", OperatorAddress: "127.0.0.1:3",
		Platform: "http://127.0.0.1:4", Config: process.SourceApplied, DrainTime: process.Duration(5 * time.Second), LogLevel: "info", LogLines: 600,
		Bounds: bounds,
	})

	path = writeSettings(t, `{"Name": "t1", "DataCentre": "dc1", "Address": "127.0.0.1:1", "ReportAddress": "127.0.0.1:4",
		"OperatorAddress": "127.0.0.1:2", "Worker": "http://127.0.0.1:3", "Platform": "http://127.0.0.1:5"}`)
	var c targetCommand
	parseFlags(t, &c, "--settings", path, "--config", "platform", "--worker", "http://127.0.0.1:6")
	target, err := c.loadSettings()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, target, qt.Equals, process.TargetSettings{
		Name: "t1", DataCentre: "dc1", Address: "127.0.0.1:1", ReportAddress: "127.0.0.1:4", OperatorAddress: "127.0.0.1:2",
		Worker: "http://127.0.0.1:6", Platform: "http://127.0.0.1:5", Config: process.SourcePlatform, LogLevel: "info",
		LogLines: 600, Bounds: process.DefaultBounds(),
	})
}

// Guards against a start that reports only the first of several problems of the
// settings, and against a misspelt field that is ignored.
func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name    string
		command string
		file    string
		args    []string
		want    []string
	}{
		{
			name: "empty entry", command: "entry",
			want: []string{"Name:", "DataCentre:", "CallerAddress:", "OperatorAddress:", "Platform:"},
		},
		{
			name: "empty target", command: "target",
			want: []string{"Name:", "DataCentre:", "Address:", "ReportAddress:", "OperatorAddress:", "Worker:", "Platform:"},
		},
		{
			name: "values", command: "target",
			args: []string{
				"--address", "localhost:1", "--worker", "https://127.0.0.1:1", "--platform", "x", "--config", "elsewhere", "--log-level", "loud",
			},
			want: []string{`Address: "localhost:1"`, "Worker:", `Platform: "x"`, `Config: "elsewhere"`, "LogLevel:"},
		},
		{name: "drain time", command: "entry", args: []string{"--drain-time=-1s"}, want: []string{"DrainTime: must be positive"}},
		{
			name: "bounds", command: "target", file: `{"Bounds": {"LeaseMax": "-1s", "FarFactor": 0.5}}`,
			want: []string{"Bounds.LeaseMax: must be positive", "Bounds.FarFactor: must be at least 1"},
		},
		{name: "unknown field", command: "entry", file: `{"Name": "e1", "DrianTime": "1s"}`, want: []string{`unknown field "DrianTime"`}},
		{name: "two values", command: "entry", file: `{"Name": "e1"} {}`, want: []string{"data after the end"}},
		{name: "duration without unit", command: "entry", file: `{"DrainTime": "10"}`, want: []string{"duration"}},
		{name: "missing file", command: "target", args: []string{"--settings", "/nonexistent.json"}, want: []string{"/nonexistent.json"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := append([]string{tt.command}, tt.args...)
			if tt.file != "" {
				args = append(args, "--settings", writeSettings(t, tt.file))
			}
			code, _, stderr := runCommand(t, args...)
			qt.Check(t, code, qt.Equals, ExitInvalid)
			for _, want := range tt.want {
				qt.Check(t, strings.Contains(stderr, want), qt.IsTrue, qt.Commentf("%q lacks %q", stderr, want))
			}
		})
	}
}
