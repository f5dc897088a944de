package experiment_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

// Guards against separation that costs callers more than it gains: where batch work and long
// renderings slow each other down, more of the worth must be earned with the policy.
func TestInterferencePays(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 8 runs of 100 s")
	}
	const seeds = 4
	l := readUneven(t, []experiment.SpeedShare{{Speed: 1, Share: 1}}, false)
	l.Site.Interference = []experiment.Interference{
		{Kind: "batch", Beside: "rendering", Factor: 2}, {Kind: "rendering", Beside: "batch", Factor: 2},
	}
	for i := range l.Kinds {
		if l.Kinds[i].Name == "rendering" {
			l.Kinds[i].Accelerators = []int{1, 2, 4}
		}
	}
	policies := []experiment.NamedPolicy{{Name: "without"}, {Name: "with", Policy: planner.Policy{Interference: true}}}
	c, err := experiment.Compare(t.Context(), l, policies, 0, seeds, nil)
	qt.Assert(t, err, qt.IsNil)
	without, with := c.Policies[0], c.Policies[1]
	t.Logf("share without %.3f, with %.3f", without.Share, with.Share)
	qt.Check(t, with.Share > without.Share, qt.IsTrue)
}

// Guards against a policy that changes decisions where nothing interferes.
func TestInterferenceOnOtherSites(t *testing.T) {
	l := readLoad(t, loads[0])
	for seed := range uint64(3) {
		with := experiment.Run(l, experiment.Options{Seed: seed, Policy: planner.Policy{Interference: true}})
		without := experiment.Run(l, experiment.Options{Seed: seed})
		qt.Assert(t, with.Jobs, qt.DeepEquals, without.Jobs, qt.Commentf("seed %d", seed))
	}
}
