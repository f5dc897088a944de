package matrix

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// rowStepsOf names the steps that write each table.
var rowStepsOf = map[string][]string{
	"TableConfig": {"row-head", "row-change"},
	"TableJob":    {"row-claim", "row-dispatch", "row-requeue", "row-end"},
	"TableQueue":  {"row-queue", "row-dequeue"},
	"TableEntry":  {"row-beat"},
}

// workerStepsOf names the steps of each path and action of the worker's protocol.
var workerStepsOf = map[string][]string{
	"PathTasks":        {"worker-launch", "worker-wait"},
	"PathLeases":       {"worker-leases"},
	"PathUsage":        {"worker-usage"},
	"ActionRelease":    {"worker-release"},
	"ActionCheckpoint": {"worker-checkpoint"},
	"ActionThrottle":   {"worker-throttle"},
	"ActionStop":       {"worker-stop"},
}

// Guards against a new message, table or worker call at which no fault strikes.
func TestEveryStepIsStruck(t *testing.T) {
	once(t)
	var want []string
	for _, d := range []drpc.Description{targetrpc.DRPCTargetDescription{}, entryrpc.DRPCEntryDescription{}} {
		for i := range d.NumMethods() {
			name, _, _, _, ok := d.Method(i)
			qt.Assert(t, ok, qt.IsTrue)
			want = append(want, path.Base(name))
		}
	}
	want = append(want, named(t, "../state/rows/formats.go", rowStepsOf, "Table")...)
	want = append(want, named(t, "../protocol/workerapi/workerapi.go", workerStepsOf, "Path", "Action")...)
	want = append(want, "row-read", "row-scan", "object-get", "object-put")

	struck := make(map[point]bool)
	for _, sc := range scenarios {
		for _, p := range profile(t, sc) {
			struck[p] = true
		}
	}
	for _, s := range want {
		for _, ph := range []phase{before, after} {
			qt.Check(t, struck[point{s, ph}], qt.IsTrue, qt.Commentf("no fault strikes %s-%s", s, ph))
		}
	}
	for p := range maps.Keys(struck) {
		qt.Check(t, slices.Contains(want, p.step), qt.IsTrue, qt.Commentf("step %s is in no list", p.step))
	}
}

// named returns the steps of all constants of a file whose names have one of the
// prefixes.
func named(t *testing.T, file string, steps map[string][]string, prefixes ...string) []string {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var out []string
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		lit, ok := spec.Values[0].(*ast.BasicLit)
		if !ok || lit.Kind != token.STRING {
			return true
		}
		name := spec.Names[0].Name
		if !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) }) {
			return true
		}
		value, _ := strconv.Unquote(lit.Value)
		qt.Check(t, steps[name], qt.Not(qt.HasLen), 0, qt.Commentf("%s = %q has no step in the matrix", name, value))
		out = append(out, steps[name]...)
		return true
	})
	return out
}
