package experiment_test

import (
	"fmt"
	"hash/fnv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/experiment"
)

// Guards against new policies that change the decisions of deployments that don't set them:
// on the loads of the examples, the jobs must start and end as they did before there were
// any. The digests are those of commit 2e30a77, which has none of the contention policies. A
// change of the default policy or of the simulated workers replaces them.
func TestDefaultDecisionsUnchanged(t *testing.T) {
	tests := []struct{ name, want string }{
		{"quillfold/load", "9610337a9e7aeb20"},
		{"brno/load", "677ba32f1a0d3282"},
		{"quillfold/load-grown", "6ec48b1fa7b56788"},
		{"brno/load-grown", "b827978c1bc2c7e0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := fnv.New64a()
			for seed := range uint64(3) {
				r := experiment.Run(readLoad(t, tt.name), experiment.Options{Seed: seed})
				for _, j := range r.Jobs {
					_, _ = fmt.Fprintln(h, j.ID, j.StartDelay, j.Turnaround, j.State)
				}
				_, _ = fmt.Fprintln(h, r.Starts, r.Stopped)
			}
			qt.Check(t, fmt.Sprintf("%016x", h.Sum64()), qt.Equals, tt.want)
		})
	}
}
