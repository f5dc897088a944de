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

	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// tableFiles are the files that declare the tables of the store.
var tableFiles = []string{"../state/job/job.go", "../coordination/shard/row.go", "../coordination/configuration/apply.go"}

// Guards against a new drpc method, table or worker call at which no fault is injected.
func TestEveryStepIsStruck(t *testing.T) {
	onlyFirstShard(t)
	want := []string{"rows-get", "rows-feed", "blob-put", "blob-get", "run-start", "run-stop", "hold", "row-cancel"}
	d := agentrpc.DRPCAgentDescription{}
	for i := range d.NumMethods() {
		name, _, _, _, ok := d.Method(i)
		qt.Assert(t, ok, qt.IsTrue)
		want = append(want, path.Base(name))
	}
	for _, file := range tableFiles {
		want = append(want, tableSteps(t, file)...)
	}
	// These tables are only written together with tables of higher precedence.
	want = slices.DeleteFunc(want, func(s string) bool {
		return s == "row-"+job.TableWaiting || s == "row-"+job.TableIdempotencyKeys || s == "row-"+shard.TableTargets
	})

	covered := make(map[point]bool)
	for _, sc := range scenarios {
		for _, p := range faultPoints(t, sc) {
			covered[p] = true
		}
	}
	for _, s := range want {
		for _, ph := range []phase{before, after} {
			qt.Check(t, covered[point{s, ph}], qt.IsTrue, qt.Commentf("no fault is injected at %s-%s", s, ph))
		}
	}
	for p := range maps.Keys(covered) {
		known := slices.Contains(want, p.step) || p.step == "row-"+shard.TableTargets || p.step == "row-"+job.TableWaiting
		qt.Check(t, known, qt.IsTrue, qt.Commentf("step %s is not an expected step", p.step))
	}
}

// tableSteps returns the steps that write the tables which a file declares.
func tableSteps(t *testing.T, file string) []string {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var out []string
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Table") {
			return true
		}
		lit, ok := spec.Values[0].(*ast.BasicLit)
		if !ok || lit.Kind != token.STRING {
			return true
		}
		value, err := strconv.Unquote(lit.Value)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, slices.Contains(tablePrecedence, value), qt.IsTrue, qt.Commentf("table %s is missing in tablePrecedence", value))
		out = append(out, "row-"+value)
		return true
	})
	return out
}
