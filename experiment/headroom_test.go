package experiment_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

// Guards against headroom for urgent work that costs more than it gains: on the loads of
// the examples, it must raise the share of the worth that callers get and reduce the
// wasted work, compared to a policy without headroom.
func TestHeadroomPays(t *testing.T) {
	const seeds = 12
	for _, name := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := readLoad(t, name)
			var with, without experiment.Summary
			for seed := range uint64(seeds) {
				with.Add(experiment.Run(l, experiment.Options{Seed: seed}))
				without.Add(experiment.Run(l, experiment.Options{Seed: seed, Policy: planner.Policy{NoHeadroom: true}}))
			}
			t.Logf("with:    %s", with.Line())
			t.Logf("without: %s", without.Line())
			qt.Check(t, with.Share() > without.Share(), qt.IsTrue)
			qt.Check(t, with.Waste() < without.Waste(), qt.IsTrue)
		})
	}
}
