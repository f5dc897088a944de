package experiment_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

// loads are the loads of the example deployments, and grown those of the deployments
// after their growth, and large that of a fleet of 240 workers.
var (
	loads = []string{"quillfold/load", "brno/load"}
	grown = []string{"quillfold/load-grown", "brno/load-grown"}
	large = []string{"quillfold/load-large"}
)

func readLoad(t testing.TB, name string) experiment.Load {
	t.Helper()
	text, err := os.ReadFile("../examples/" + name + ".json")
	qt.Assert(t, err, qt.IsNil)
	l, err := experiment.ParseLoad(text)
	qt.Assert(t, err, qt.IsNil)
	return l
}

// Guards against differences between policies that are due to chance: two runs with one
// seed and policy must be identical.
func TestRunsRepeat(t *testing.T) {
	const seeds = 12
	for _, name := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := readLoad(t, name)
			for seed := range uint64(seeds) {
				// Without headroom, more runs are preempted.
				o := experiment.Options{Seed: seed, Policy: planner.Policy{NoHeadroom: seed%2 == 0}}
				x, y := experiment.Run(l, o), experiment.Run(l, o)
				qt.Assert(t, x.Jobs, qt.DeepEquals, y.Jobs)
				qt.Assert(t, x.Wasted, qt.Equals, y.Wasted)
			}
		})
	}
}

// Guards against a load without periodic checkpoints that the experiment can't play.
func TestNoPeriodicCheckpoints(t *testing.T) {
	l := readLoad(t, loads[0])
	l.Site.CheckpointMillis = 0
	qt.Check(t, len(experiment.Run(l, experiment.Options{Seed: 1}).Jobs) > 0, qt.IsTrue)
}
