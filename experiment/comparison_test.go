package experiment_test

import (
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

// overload is the factor of the rate of submissions in the busy variant of a load.
const overload = 1.6

// variants returns variants of a load: unchanged, with a higher rate of submissions,
// and with faults of workers.
func variants(l experiment.Load) map[string]experiment.Load {
	variant := func(list ...experiment.Trouble) experiment.Load {
		x := l
		x.Troubles = list
		return x
	}
	busy := l
	busy.Kinds = slices.Clone(l.Kinds)
	for i := range busy.Kinds {
		busy.Kinds[i].PerSecond *= overload
	}
	return map[string]experiment.Load{
		"calm": l, "busy": busy,
		"fail": variant(experiment.Trouble{What: experiment.TroubleFail, AtSeconds: 8, ForSeconds: 8, Workers: 1}),
		"slow": variant(experiment.Trouble{What: experiment.TroubleSlow, AtSeconds: 8, ForSeconds: 8, Workers: 2, Factor: 6.5}),
		"hang": variant(experiment.Trouble{What: experiment.TroubleHang, AtSeconds: 8, ForSeconds: 6, Workers: 1}),
		"crash": variant(experiment.Trouble{What: experiment.TroubleCrash, AtSeconds: 8, ForSeconds: 4, Workers: 2},
			experiment.Trouble{What: experiment.TroubleDrain, AtSeconds: 14, ForSeconds: 6, Workers: 2}),
	}
}

// TestComparison logs the results of the loads. EXPERIMENT_SEEDS is the number of runs
// of each variant. Headroom is disabled if NO_HEADROOM is not empty.
func TestComparison(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("EXPERIMENT_SEEDS"), 10, 32)
	if err != nil {
		t.Skip("EXPERIMENT_SEEDS is not set")
	}
	for _, name := range slices.Concat(loads, grown, large) {
		for variant, l := range variants(readLoad(t, name)) {
			t.Run(name+"/"+variant, func(t *testing.T) {
				t.Parallel()
				var sum experiment.Summary
				for seed := range n {
					sum.Add(experiment.Run(l, experiment.Options{Seed: seed, Policy: planner.Policy{NoHeadroom: os.Getenv("NO_HEADROOM") != ""}}))
				}
				t.Logf("%s %s %s", name, variant, sum.String())
			})
		}
	}
}
