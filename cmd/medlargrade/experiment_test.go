package main

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against input of the experiment that is taken although it is invalid, or refused
// without saying why.
func TestExperimentInput(t *testing.T) {
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	load := "../../examples/yushan/load.json"
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"no runs", []string{load, "--runs=0"}, "runs: 0 is not between 1 and 10000"},
		{"no such load", []string{"missing.json"}, "read load: .*"},
		{"a load without a site", []string{write("load.json", "{}")}, `(?s)load .*check load: Site: Workers and PerRack must be positive.*Kinds is empty`},
		{"unknown field of a policy", []string{load, "--policy", write("p.json", `{"Headroom": 1}`)}, `policy .*: json: unknown field "Headroom"`},
		{"two policies in one file", []string{load, "--policy", write("p.json", `{} {}`)}, "policy .*: data after the end of the policy"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c experimentCommand
			parseFlags(t, &c, tt.args...)
			qt.Check(t, ExitCode(c.Execute(nil)), qt.Equals, ExitInvalid)
			_, _, err := c.read()
			qt.Check(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// Guards against policies that are mixed up, or named other than their files.
func TestExperimentPolicies(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "no-headroom.json")
	qt.Assert(t, os.WriteFile(path, []byte(`{"NoHeadroom": true}`), 0o600), qt.IsNil)
	var c experimentCommand
	parseFlags(t, &c, "../../examples/cedarwave/load.json", "--policy", path)
	_, policies, err := c.read()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, policies, qt.HasLen, 1)
	qt.Check(t, policies[0].Name, qt.Equals, "no-headroom")
	qt.Check(t, policies[0].Policy.NoHeadroom, qt.IsTrue)
}
