package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const testLog = `{"time":"2026-01-01T10:00:01.000Z","Process":"t1","Event":550,"Job":"00000000000000aa","Kind":"long","Tasks":2}` + "\n"

// Guards against exit codes and errors that don't tell an unreadable log from a page that can't
// be written, and against a page that is left half written.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	log := filepath.Join(dir, "site.log")
	qt.Assert(t, os.WriteFile(log, []byte(testLog), 0o600), qt.IsNil)
	tests := []struct {
		name   string
		args   []string
		stdin  string
		code   int
		stderr string // part of it
	}{
		{name: "standard input", args: []string{"--out", filepath.Join(dir, "a.html")}, stdin: testLog},
		{name: "file", args: []string{"--log", log, "--out", filepath.Join(dir, "b.html")}},
		{name: "unknown flag", args: []string{"--logs", log}, code: exitInvalid, stderr: "logs"},
		{name: "missing log", args: []string{"--log", filepath.Join(dir, "none.log")}, code: exitInvalid, stderr: "none.log"},
		{name: "page in a missing folder", args: []string{"--log", log, "--out", filepath.Join(dir, "none", "c.html")}, code: exitFailed, stderr: "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stderr bytes.Buffer
			qt.Check(t, run(tt.args, strings.NewReader(tt.stdin), &stderr), qt.Equals, tt.code)
			if tt.stderr != "" {
				qt.Check(t, stderr.String(), qt.Contains, tt.stderr)
				return
			}
			page, err := os.ReadFile(tt.args[len(tt.args)-1])
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(page), qt.Contains, "<td>long</td>")
		})
	}
}
