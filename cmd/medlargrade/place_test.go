package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/state/table"
)

// Guards against a placement that is reported although it can't be known, against an invalid or
// refused submission that is placed, and against wrong exit codes. The cases share a store and run
// in order.
func TestPlaceCommand(t *testing.T) {
	server := httptest.NewServer(platform.New(platform.Settings{}, zerolog.Nop()))
	defer server.Close()
	reply, status := `{"State": "waits", "Reason": "too little room", "Planner": "t7", "Unreached": [{"Name": "t9", "Since": "3s"}]}`, 200
	planner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.Method+r.URL.Path, qt.Equals, "POST/place")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(reply))
	}))
	defer planner.Close()
	store, err := openStore(server.URL)
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "request.json")
	place := func(request string, args ...string) (int, string) {
		arg := "j1"
		if request != "" {
			arg = file
			qt.Assert(t, os.WriteFile(file, []byte(request), 0o600), qt.IsNil)
		}
		code, stdout, stderr := runCommand(t, append([]string{"place", arg, "--platform", server.URL}, args...)...)
		return code, stdout + stderr
	}
	valid := `{"Workspace": "web", "Kind": "render", "Shape": {"Workers": 1, "Accelerators": 1}}`
	writeOwner := func(row string) func() {
		return func() {
			_, err := store.Commit(t.Context(), table.Tx{Part: process.ShardPart}.WithWrite(shard.TableShard, shard.OwnerKey, []byte(row)))
			qt.Assert(t, err, qt.IsNil)
		}
	}
	tests := []struct {
		name    string
		prepare func()
		request string // empty for the ID j1
		args    []string
		code    int
		want    string
	}{
		{"no planner", nil, "", nil, 5, "no process plans the site"},
		{"no configuration", nil, valid, nil, 5, "there is no configuration"},
		{"no address of the planner", writeOwner(`{"Epoch": 1, "Name": "t7"}`), "", nil, 5, "give --process"},
		{"planner does not answer", writeOwner(`{"Epoch": 1, "Name": "t7", "OperatorAddress": "127.0.0.1:1"}`), "", nil, 5, "the planner does not answer"},
		{"recorded job", writeOwner(`{"Epoch": 1, "Name": "t7", "OperatorAddress": "` + strings.TrimPrefix(planner.URL, "http://") + `"}`), "", nil, 0, "because: too little room"},
		{"silent target", nil, "", nil, 0, "not reached: t9, last answer 3s ago"},
		{"JSON", nil, "", []string{"--json"}, 0, `"State": "waits"`},
		{"submission", func() {
			cfg, err := operator.Parse([]byte(testConfig(1)))
			qt.Assert(t, err, qt.IsNil)
			_, err = configuration.Apply(t.Context(), store, 0, cfg)
			qt.Assert(t, err, qt.IsNil)
		}, valid, nil, 0, "planner t7"},
		{"malformed submission", nil, `{"Workspace": 3}`, nil, 2, "Workspace"},
		{"refused submission", nil, strings.Replace(valid, `"Accelerators": 1`, `"Accelerators": 9`, 1), nil, 0, "an entry would refuse it: NeverFits: the shape does not fit the empty site  retry after never"},
		{"platform's format without a kind", nil, `{"Steps": [{"Count": 1}]}`, []string{"--config", "platform"}, 5, "there is no configuration"},
		{"not the planner", func() { status, reply = 503, "this process does not plan the shard" }, "", nil, 5, "does not plan the shard"},
		{"unknown job", func() { status, reply = 404, "the planner does not know the job j1" }, "", nil, 1, "does not know the job j1"},
		{"store down", server.Close, valid, nil, 5, "the store does not answer"},
		{"store down, planner known", func() { status, reply = 200, `{"State": "starts"}` }, "", []string{"--process", planner.URL}, 0, "starts"},
	}
	for _, tt := range tests {
		if tt.prepare != nil {
			tt.prepare()
		}
		code, out := place(tt.request, tt.args...)
		qt.Check(t, code, qt.Equals, tt.code, qt.Commentf("%s: %s", tt.name, out))
		qt.Check(t, out, qt.Contains, tt.want, qt.Commentf("%s", tt.name))
	}
}
