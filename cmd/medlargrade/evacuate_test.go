package main

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// Guards against a request that is recorded for a misspelt data centre or where nobody reads it,
// and against wrong exit codes. The cases share a store and run in order.
func TestEvacuateCommand(t *testing.T) {
	const flags = " --platform http://platform"
	store := tabletest.New()
	_, _, code := runConfigCommand(t, store, testConfig(1), "config apply --platform http://platform -")
	qt.Assert(t, code, qt.Equals, 0)
	tests := []struct {
		name, line     string
		code           int
		stdout, stderr string // substrings
	}{
		{"none", "evacuate", 0, "no data centre is evacuated\n", ""},
		{"unknown", "evacuate dc9", 2, "", `unknown data centre "dc9": the configuration names dc1; use --force`},
		{"request", "evacuate dc1 --reason cooling", 0, "nothing more is started in dc1\n", ""},
		{"forced", "evacuate dc9 --force", 0, "nothing more is started in dc9\n", ""},
		{"list", "evacuate", 0, ": cooling\ndc9", ""},
		{"release", "evacuate dc1 --release", 0, "dc1 is used again\n", ""},
		{"release of an unknown one", "evacuate dc9 --release", 0, "dc9 is used again\n", ""},
		{"list again", "evacuate", 0, "no data centre is evacuated\n", ""},
		{"flags without data centre", "evacuate --release", 2, "", "the flags need a data centre"},
		{"reason of a withdrawal", "evacuate dc1 --release --reason x", 2, "", "a withdrawal has no reason"},
		{"platform", "evacuate dc1 --config platform", 2, "", "its operator writes or removes the row evacuate/dc1 of table op"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stdout, stderr, code := runConfigCommand(t, store, "", tt.line+flags)
			qt.Assert(t, code, qt.Equals, tt.code, qt.Commentf("stdout %s stderr %s", stdout, stderr))
			qt.Check(t, stdout, qt.Contains, tt.stdout)
			qt.Check(t, stderr, qt.Contains, tt.stderr)
		})
	}
	tx := table.Tx{}.WithWrite(platform.OperatorTable, platform.ConfigKey, []byte(`{"Version": 1}`)).
		WithWrite(platform.OperatorTable, platform.EvacuationPrefix+"dc1", nil)
	_, err := store.Commit(t.Context(), tx)
	qt.Assert(t, err, qt.IsNil)
	_, stderr, code := runConfigCommand(t, store, "", "evacuate dc1"+flags)
	qt.Check(t, code, qt.Equals, 2)
	qt.Check(t, stderr, qt.Contains, "the platform is the source of the configuration")
	stdout, _, code := runConfigCommand(t, store, "", "evacuate --config platform"+flags)
	qt.Check(t, code, qt.Equals, 0)
	qt.Check(t, stdout, qt.Equals, "dc1\n")
}

// Guards against a request that is reported as not recorded although it may be.
func TestEvacuateWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tabletest.New()
		store.OnCommit(func(table.Tx) tabletest.CommitResult { return tabletest.RequestLost })
		_, stderr, code := runConfigCommand(t, store, "", "evacuate dc1 --force --platform http://platform")
		qt.Check(t, code, qt.Equals, 5)
		qt.Check(t, stderr, qt.Contains, "may or may not be recorded")
	})
}
