package experiment_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/experiment"
)

// loads are those of the example deployments.
var loads = []string{"quillfold", "brno"}

func readLoad(t testing.TB, name string) experiment.Load {
	t.Helper()
	text, err := os.ReadFile("../examples/" + name + "/load.json")
	qt.Assert(t, err, qt.IsNil)
	l, err := experiment.ParseLoad(text)
	qt.Assert(t, err, qt.IsNil)
	return l
}

// Guards against a comparison of policies by chance: two runs of one seed must be
// the same.
func TestRunsRepeat(t *testing.T) {
	for _, name := range loads {
		t.Run(name, func(t *testing.T) {
			l := readLoad(t, name)
			x, y := experiment.Run(l, experiment.Options{Seed: 7}), experiment.Run(l, experiment.Options{Seed: 7})
			qt.Assert(t, x.Jobs, qt.DeepEquals, y.Jobs)
			qt.Assert(t, x.Wasted, qt.Equals, y.Wasted)
		})
	}
}

func TestTable(t *testing.T) {
	for _, name := range loads {
		l := readLoad(t, name)
		var sum experiment.Summary
		for seed := range uint64(40) {
			sum.Add(experiment.Run(l, experiment.Options{Seed: seed}))
		}
		t.Logf("%s\n%s", name, sum.String())
	}
}
