package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/jessevdk/go-flags"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

func testConfig(queueLimit int) string {
	site := operator.NewSite("north").WithDataCentre(operator.NewDataCentre("dc1").WithRack("r1", 3).WithRack("r2", 3))
	return string(operator.NewConfig(site).
		WithWorkspace(operator.NewWorkspace("web").WithQueueLimit(queueLimit).WithGuarantee(operator.NewShape(2, 8))).
		WithKind(operator.NewKind("web", "render", operator.ClassLong)).JSON())
}

// runConfigCommand parses and executes a command line as main does.
func runConfigCommand(t *testing.T, store *tabletest.Store, stdin, line string) (stdout, stderr string, code int) {
	t.Helper()
	var out, errOut bytes.Buffer
	env := &Env{Context: t.Context(), Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errOut, OpenStore: func(url string) (table.Store, error) {
		if url != "http://platform" {
			return nil, errors.New("unknown platform " + url)
		}
		return store, nil
	}}
	parser := flags.NewNamedParser("medlargrade", flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.AddCommand("config", "Configuration", "", NewConfig(env))
	qt.Assert(t, err, qt.IsNil)
	_, err = parser.AddCommand("evacuate", "Evacuate", "", &Evacuate{Env: env})
	qt.Assert(t, err, qt.IsNil)
	_, err = parser.ParseArgs(strings.Fields(line))
	if err != nil {
		errOut.WriteString(err.Error())
	}
	return out.String(), errOut.String(), ExitCode(err)
}

// Guards against a wrong exit code of a config subcommand, and against changes missing
// from its output. The cases share a store and run in order.
func TestConfigCommands(t *testing.T) {
	store := tabletest.New()
	file := filepath.Join(t.TempDir(), "config.json")
	qt.Assert(t, os.WriteFile(file, []byte(testConfig(5)), 0o600), qt.IsNil)
	invalid := strings.Replace(testConfig(0), `"Class": "long"`, `"Class": "slow"`, 1)
	tests := []struct {
		name, line, stdin string
		code              int
		stdout, stderr    string // substrings
	}{
		{"check", "config check -", testConfig(1), 0, "no problems: 6 workers, 16 of 48 slots guaranteed, 1 workspaces, 1 kinds\n", ""},
		{"check problems", "config check -", invalid, 2, "", "problem: Workspaces[0].QueueLimit: 0 must be positive\nproblem: Kinds[0].Class: \"slow\" must be short, long or fill\n-: 2 problems"},
		{"check unknown field", "config check -", `{"Sites": 1}`, 2, "", "Sites: unknown field"},
		{"check no file", "config check /nonexistent", "", 1, "", "no such file"},
		{"no argument", "config check", "", 2, "", "required argument"},
		{"no platform", "config show", "", 2, "", "required flag"},
		{"show nothing", "config show --platform http://platform", "", 1, "", "no configuration has been applied"},
		{"expected version of nothing", "config apply --expect 5 --platform http://platform -", testConfig(1), 3, "", "expected generation 5, but none has been applied: nothing applied"},
		{"first apply", "config apply --platform http://platform -", testConfig(1), 0, "generation 1 accepted\n", ""},
		{"diff", "config diff --platform http://platform -", testConfig(2), 0, "~ Workspaces[web].QueueLimit: 1 -> 2\n1 changes from generation 1\n", ""},
		{"diff exit code", "config diff --exit-code --platform http://platform -", testConfig(2), 6, "~ Workspaces[web]", ""},
		{"no diff exit code", "config diff --exit-code --platform http://platform -", testConfig(1), 0, "no differences from generation 1\n", ""},
		{"diff of an invalid file", "config diff --platform http://platform -", invalid, 0, "~ Kinds[web/render].Class: long -> slow", "problem: Kinds[0].Class"},
		{"apply problems", "config apply --platform http://platform -", invalid, 2, "", "2 problems, nothing applied"},
		{"apply", "config apply --expect 1 --platform http://platform -", testConfig(2), 0, "1 changes from generation 1\ngeneration 2 accepted\n", ""},
		{"apply race", "config apply --expect 1 --platform http://platform -", testConfig(3), 3, "", "expected generation 1, found generation 2: nothing applied"},
		{"apply same", "config apply --platform http://platform -", testConfig(2), 0, "no differences from generation 2\n", ""},
		{"apply file", "config apply --platform http://platform " + file, "", 0, "generation 3 accepted", ""},
		{"show", "config show --platform http://platform", "", 0, testConfig(5), ""},
		{"show generation", "config show --generation --platform http://platform", "", 0, "3\n", ""},
		{"show earlier", "config show --at 1 --platform http://platform", "", 0, testConfig(1), ""},
		{"show unknown", "config show --at 9 --platform http://platform", "", 1, "", "no such version"},
		{"other platform", "config show --platform http://other", "", 1, "", "unknown platform http://other"},
		{"help", "config apply --help", "", 0, "", "5 the change may or may not be"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stdout, stderr, code := runConfigCommand(t, store, tt.stdin, tt.line)
			qt.Assert(t, code, qt.Equals, tt.code, qt.Commentf("stdout %s stderr %s", stdout, stderr))
			qt.Assert(t, stdout, qt.Contains, tt.stdout)
			qt.Assert(t, strings.Join(strings.Fields(stderr), " "), qt.Contains, strings.Join(strings.Fields(tt.stderr), " "))
		})
	}
}

// Guards against a failed apply that is reported as accepted or as refused.
func TestConfigApplyFaults(t *testing.T) {
	const apply = "config apply --platform http://platform -"
	tests := []struct {
		name   string
		inject func(t *testing.T, s *tabletest.Store)
		code   int
		want   string
	}{
		{"down", func(_ *testing.T, s *tabletest.Store) { s.SetDown(true) }, 1, "store unavailable"},
		{"answers lost", func(_ *testing.T, s *tabletest.Store) {
			s.OnCommit(func(table.Tx) tabletest.CommitResult { return tabletest.RequestLost })
		}, 5, "may or may not be accepted"},
		{"race", func(t *testing.T, s *tabletest.Store) {
			s.OnCommit(func(table.Tx) tabletest.CommitResult {
				s.OnCommit(nil)
				_, _, code := runConfigCommand(t, s, testConfig(9), apply)
				qt.Check(t, code, qt.Equals, 0)
				return tabletest.Normal
			})
		}, 3, "expected generation 1, found generation 2: nothing applied"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tabletest.New()
				_, _, code := runConfigCommand(t, store, testConfig(1), apply)
				qt.Assert(t, code, qt.Equals, 0)
				tt.inject(t, store)
				stdout, stderr, code := runConfigCommand(t, store, testConfig(2), apply)
				qt.Assert(t, code, qt.Equals, tt.code)
				qt.Assert(t, stderr, qt.Contains, tt.want)
				qt.Assert(t, stdout, qt.Not(qt.Contains), "accepted")
			})
		})
	}
}
