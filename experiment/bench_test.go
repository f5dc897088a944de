package experiment_test

import (
	"slices"
	"testing"

	"github.com/medlargrade/medlargrade/experiment"
)

// BenchmarkLoads measures the planner and the simulation over a run of 74 s of
// simulated time, which is LengthSeconds plus FinishSeconds of the loads.
func BenchmarkLoads(b *testing.B) {
	for _, name := range slices.Concat(loads, grown) {
		l := readLoad(b, name)
		b.Run(name, func(b *testing.B) {
			seed := uint64(0)
			for b.Loop() {
				experiment.Run(l, experiment.Options{Seed: seed % 4})
				seed++
			}
		})
	}
}
